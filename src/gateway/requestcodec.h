#pragma once

#include "framework/global/iclock.h"
#include "framework/net/httpclientconnection.h"
#include "quarantine/soundparts.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** Metadata from the header fields of a caller's request. */
struct RequestMetadata
{
  /** Identifies one attempt of the caller; logged as "request". */
  std::string mRequestId;
  /** Time for which the caller will wait for the response. */
  std::optional<milliseconds> mRemainingTime;
  /** API key, which identifies the workspace. */
  std::string mApiKey;
  int mPromptTokens = 0;
  int mMaxOutputTokens = 0;
  /** The caller's estimate of the output length in tokens; 0 if not given. */
  double mExpectedOutputTokens = 0;
  /** Id of the last event that the caller received, to resume a stream. */
  std::optional<int64_t> mLastEventId;
  /** Parts of the prompt that other requests may have too, in their order. */
  std::vector<quarantine::PromptPart> mSharedParts;
};

/** Metadata sent to the endpoint with one attempt. */
struct AttemptMetadata
{
  std::string mEndpointId;
  /** Empty if the request has no workspace. */
  std::string mWorkspace;
  std::optional<milliseconds> mRemainingTime;
  std::optional<int64_t> mLastEventId;
  /** Order in which the endpoint begins requests, 0 first; not set if the
   * requests of the pool do not differ. */
  std::optional<int> mPriority;
};

/** Metadata from the header fields of an endpoint's response. */
struct ResponseMetadata
{
  std::string mRequestId;
  /** The response carries the endpoint's stamp. */
  bool mIsSigned = false;
  /** The endpoint has not run the request and never will. */
  bool mIsNotExecuted = false;
  /** A different endpoint is listening at the address. */
  bool mIsMisdirected = false;
  /** The endpoint is leaving and takes no new requests. */
  bool mIsLeaving = false;
  /** Time for which the endpoint wants no requests, as stated: it may be
   * negative or absurdly long, and is not a number if it cannot be read. */
  std::optional<std::chrono::duration<double>> mRetryAfter;
  /** Endpoint at which the request failed, if the response names one. */
  std::string mFaultyEndpoint;
  /** Idle timeout of the connection, if stated. */
  std::optional<milliseconds> mKeepAliveTimeout;
};

/** Parses and writes the platform's header fields. */
class IRequestCodec
{
public:
  virtual ~IRequestCodec() = default;

  virtual RequestMetadata ParseRequest(
    const net::http::fields& aFields) const = 0;
  /** Replaces the caller's metadata fields by those for the endpoint. */
  virtual void SetAttemptFields(net::http::fields& aFields,
                                const AttemptMetadata& aMetadata) const = 0;
  virtual ResponseMetadata ParseResponse(
    const net::AnswerHead& aHead) const = 0;
  /** Header fields of a response that the gateway generates itself. */
  virtual net::http::fields LocalResponseFields(
    const std::string& aRequestId,
    std::optional<milliseconds> aRetryAfter) const = 0;
};

/** Query of a caller for the addresses of gateways. */
struct AddressQuery
{
  std::string mHost;
  std::string mRegion;
  std::string mAvailabilityZone;
};

/** Gateway addresses in response to a query. */
struct AddressList
{
  std::vector<std::string> mAddresses;
  /** How long the caller may cache the addresses. */
  std::chrono::seconds mTimeToLive{ 0 };
};

/** Paths and formats of the gateway directory and the readiness page. */
class IDirectoryCodec
{
public:
  virtual ~IDirectoryCodec() = default;

  virtual std::string AddressPath() const = 0;
  virtual std::string ReadinessPath() const = 0;
  virtual AddressQuery ParseAddressQuery(std::string_view aTarget) const = 0;
  virtual std::string FormatAddressList(const AddressList& aList) const = 0;
};

}
