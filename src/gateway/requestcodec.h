#pragma once

#include "framework/global/iclock.h"
#include "framework/net/httpclientconnection.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace beryllever::gateway {

using std::chrono::milliseconds;

/** What a caller states about a request in its header fields. */
struct RequestFacts
{
  /** Names one try of a caller; the log's request id. */
  std::string mRequestId;
  /** Time that the caller will wait. */
  std::optional<milliseconds> mTimeLeft;
  /** Key that names the workspace. */
  std::string mKey;
  int mPromptTokens = 0;
  int mMaxAnswerTokens = 0;
  /** Caller's guess at the answer's tokens; 0 if it made none. */
  double mExpectedAnswerTokens = 0;
  /** The caller goes on after this event of a stream. */
  std::optional<int64_t> mResumeAfter;
};

/** What is told to the endpoint with one attempt. */
struct AttemptFacts
{
  std::string mEndpointId;
  /** Empty if the request has no workspace. */
  std::string mWorkspace;
  std::optional<milliseconds> mTimeLeft;
  std::optional<int64_t> mResumeAfter;
};

/** What an endpoint's answer says about itself. */
struct AnswerFacts
{
  std::string mRequestId;
  /** The endpoint vouches for the body. */
  bool mIsSigned = false;
  /** The request has not run and will not. */
  bool mIsNotRun = false;
  /** Another endpoint stands at this address. */
  bool mIsMisdirected = false;
  /** Endpoint that the answer blames, or empty. */
  std::string mFaultyEndpoint;
  /** For how long an idle connection stays open, if stated. */
  std::optional<milliseconds> mKeepAlive;
};

/** Translates between header fields and their meaning. */
class IRequestCodec
{
public:
  virtual ~IRequestCodec() = default;

  virtual RequestFacts ReadRequest(const net::http::fields& aFields) const = 0;
  /** Turns a caller's header fields into those for an endpoint. */
  virtual void PrepareAttempt(net::http::fields& aFields,
                              const AttemptFacts& aFacts) const = 0;
  virtual AnswerFacts ReadAnswer(const net::AnswerHead& aHead) const = 0;
  /** Header fields of an answer that the system gives itself. */
  virtual net::http::fields OwnAnswerFields(
    const std::string& aRequestId,
    std::optional<milliseconds> aRetryAfter) const = 0;
};

/** A caller asks which addresses to use. */
struct AddressQuestion
{
  std::string mHost;
  std::string mRegion;
  std::string mAvailabilityZone;
};

/** The answer to that question. */
struct AddressAnswer
{
  std::vector<std::string> mAddresses;
  std::chrono::seconds mTimeToLive{ 0 };
};

/** Translates the pages on which callers and the platform ask about entries. */
class IDirectoryCodec
{
public:
  virtual ~IDirectoryCodec() = default;

  /** Path of the address page. */
  virtual std::string AddressPath() const = 0;
  /** Path of the readiness page. */
  virtual std::string ReadinessPath() const = 0;
  virtual AddressQuestion ReadQuestion(std::string_view aTarget) const = 0;
  virtual std::string WriteAnswer(const AddressAnswer& aAnswer) const = 0;
};

}
