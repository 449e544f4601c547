#include "gateway/internal/endpointstatements.h"

#include "framework/log/log.h"

namespace beryllever::gateway {

namespace {

constexpr char kLogTag[] = "endpoint";
constexpr char kStatementsMetric[] = "beryllever_endpoint_statements";

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
}

}
