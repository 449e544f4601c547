#pragma once

#include "gateway/internal/trafficcontext.h"

namespace beryllever::gateway {

/** Records what an endpoint has said in the head of a response about taking
 * requests, and logs and counts what is new. */
void
RecordStatements(TrafficContext& aContext,
                 const published::Endpoint& aEndpoint,
                 unsigned aStatus,
                 const ResponseMetadata& aMetadata);

}
