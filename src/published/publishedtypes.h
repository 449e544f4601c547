#pragma once

#include "framework/global/iclock.h"
#include "framework/net/tcpsocket.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace beryllever::published {

using std::chrono::milliseconds;

/** Whether and how a request on a route may be repeated. */
enum class RouteKind
{
  Idempotent,
  NonIdempotent,
  /** The answer is an event stream; repeatable only if the route is resumable.
   */
  Streaming,
};

/** A pool that takes a share of a route's requests. */
struct RouteTarget
{
  std::string mPool;
  double mWeight = 1;
};

/** One row of the published table of routes. */
struct Route
{
  std::string mName;
  std::string mHost;
  /** Begins and ends with a slash. */
  std::string mPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  milliseconds mTimeout{ 0 };
  milliseconds mTargetLatency{ 0 };
  /** Target for the longest pause between two events; 0 if there is none. */
  milliseconds mTargetGap{ 0 };
  /** 0 is the most urgent. */
  int mPriority = 0;
  /** Maximum number of endpoints that one request may be sent to. */
  int mMaxAttempts = 1;
  bool mIsExemptFromKeys = false;
  bool mIsResumable = false;
  std::vector<RouteTarget> mTargets;

  bool IsRepeatable() const
  {
    return mKind == RouteKind::Idempotent ||
           (mKind == RouteKind::Streaming && mIsResumable);
  }
};

/** Performance and capacity figures of the model engines of a pool. */
struct EngineProfile
{
  int mSlots = 1;
  int64_t mMemoryTokens = 0;
  int mStepsPerPass = 1;
  double mStepMilliseconds = 0;
  double mStepMillisecondsPerSequence = 0;
  double mStepMillisecondsPerThousandContext = 0;
  double mPromptTokensPerSecond = 0;
  int mUsualPromptTokens = 0;
  int mUsualAnswerTokens = 0;
  /** Number of layers whose experts are placed individually; 0: no experts. */
  int mExpertLayers = 0;
  int mExperts = 0;
  /** Maximum number of experts that a rank may hold in one layer. */
  int mPlacesPerRank = 0;
  /** Maximum number of experts that one change may add to a rank in one layer.
   */
  int mSparePerRank = 0;
  double mExpertMegabytes = 0;
  double mLinkMegabitsPerSecond = 0;
  /** Share of a token's computation that is done by experts, 0 to 1. */
  double mExpertFraction = 0;
  milliseconds mGroupFormTime{ 0 };
};

/** One row of the published table of pools. */
struct Pool
{
  std::string mName;
  std::string mHealthPath;
  int mMaxConnections = 0;
  /** 0: an endpoint of this pool is never cold. */
  double mColdRequestsPerSecond = 0;
  std::optional<EngineProfile> mEngine;
};

/** A customer, identified by the key that its requests carry. */
struct Workspace
{
  std::string mName;
  /** Overrides the route's priority. */
  std::optional<int> mPriority;
};

/** Limits on the size and duration of callers' requests. */
struct CallerLimits
{
  int64_t mHeaderBytes = 16 * 1024;
  int64_t mBodyBytes = 4 * 1024 * 1024;
  milliseconds mHeaderTimeout{ 3000 };
  milliseconds mIdleTimeout{ 15000 };
};

/** One version of the operators' tables. */
struct Configuration
{
  int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::map<std::string, Pool> mPools;
  CallerLimits mLimits;
  /** Whether requests need a key. */
  bool mHasWorkspaces = false;
  std::map<std::string, Workspace> mWorkspacesByKey;
  /** Pools whose requests have different priorities, see
   * FindPrioritizedPools(). */
  std::set<std::string> mPrioritizedPools;
};

/** Whether an endpoint accepts new requests. */
enum class EndpointState
{
  Ready,
  Leaving,
};

/** One incarnation of a back end, as registered by itself. */
struct Endpoint
{
  std::string mId;
  std::string mPool;
  net::TcpAddress mAddress;
  std::string mAvailabilityZone;
  int mSlots = 1;
  EndpointState mState = EndpointState::Ready;
  milliseconds mColdRemaining{ 0 };
  /** Start time in Unix milliseconds; distinguishes a restart under the same
   * id. */
  int64_t mBorn = 0;

  bool operator==(const Endpoint&) const = default;
};

/** An availability zone that operators have taken out of service. */
struct OutOfService
{
  std::string mAvailabilityZone;

  bool operator==(const OutOfService&) const = default;
};

/** A published item that cannot be decoded. */
struct Unreadable
{
  std::string mReason;
};

/** A published item of a kind that this system does not use. */
struct Ignored
{};

using Item =
  std::variant<Configuration, Endpoint, OutOfService, Unreadable, Ignored>;

/** A point in the history of the store. The era rises by one each time the
 * store is restored from a copy; revisions are unique only within an era. */
struct StorePosition
{
  uint64_t mEra = 0;
  uint64_t mRevision = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StorePosition&) const = default;
};

/** One published item as written at a position. */
struct Record
{
  std::string mKey;
  std::string mData;
  StorePosition mPosition;
  bool mIsDeleted = false;
  /** Time until which a removed endpoint stays in use, because it lapsed in an
   * outage. */
  global::TimePoint mKeptUntil{};
};

/** Published items that one process sends to another. */
struct RecordBatch
{
  StorePosition mPosition;
  /** All items as of that position: what the batch leaves out is gone. If not
   * set, the items are those that have changed since the position asked for. */
  bool mIsFull = false;
  std::vector<Record> mRecords;
};

}
