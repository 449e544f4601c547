#include "gateway/internal/endpointstatements.h"

#include "framework/log/log.h"

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "endpoint";
constexpr char kStatementsMetric[] = "beryllever_endpoint_statements";
constexpr unsigned kServiceUnavailableStatus = 503;

void
RecordPause(TrafficContext& aContext,
            const published::Endpoint& aEndpoint,
            std::chrono::duration<double> aStated)
{
  const RecordedPause pause =
    aContext.mBalancer.Availability().RecordPause(aEndpoint, aStated);
  if (pause.mIsAbsurd) {
    LOGW("Endpoint asks for an absurd pause. endpoint="
         << aEndpoint.mId << " born=" << aEndpoint.mBorn
         << " pool=" << aEndpoint.mPool << " statedSeconds=" << aStated.count()
         << " keptMilliseconds=" << pause.mLength.count());
    aContext.mMetrics.Count(kStatementsMetric, { { "kind", "absurd_pause" } });
  }
  if (pause.mIsNew) {
    LOGI("Endpoint asks for a pause; it gets no requests until then. endpoint="
         << aEndpoint.mId << " born=" << aEndpoint.mBorn << " pool="
         << aEndpoint.mPool << " milliseconds=" << pause.mLength.count());
    aContext.mMetrics.Count(kStatementsMetric, { { "kind", "pause" } });
  }
}

}

void
RecordStatements(TrafficContext& aContext,
                 const published::Endpoint& aEndpoint,
                 unsigned aStatus,
                 const ResponseMetadata& aMetadata)
{
  // Another endpoint at the address speaks for itself.
  if (aMetadata.mIsMisdirected) {
    return;
  }
  if (aMetadata.mIsLeaving &&
      aContext.mBalancer.Availability().RecordLeaving(aEndpoint)) {
    LOGI("Endpoint says that it leaves; it gets no new requests until it "
         "starts anew. endpoint="
         << aEndpoint.mId << " born=" << aEndpoint.mBorn
         << " pool=" << aEndpoint.mPool << " status=" << aStatus);
    aContext.mMetrics.Count(kStatementsMetric, { { "kind", "leaving" } });
  }
  if (aStatus == kServiceUnavailableStatus && aMetadata.mRetryAfter) {
    RecordPause(aContext, aEndpoint, *aMetadata.mRetryAfter);
  }
}

}
