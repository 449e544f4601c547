#pragma once

#include "mesh.pb.h"
#include "mesh/meshnode.h"

namespace beryllever::mesh {

void
ToMessage(const Member& aMember, v1::Member& aMessage);
Member
FromMessage(const v1::Member& aMessage);

void
ToMessage(const RecordBatch& aBatch,
          global::TimePoint aNow,
          v1::FetchReply& aMessage);
RecordBatch
FromMessage(const v1::FetchReply& aMessage, global::TimePoint aNow);

}
