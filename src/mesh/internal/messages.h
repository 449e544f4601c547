#pragma once

#include "mesh.pb.h"
#include "mesh/meshnode.h"

namespace beryllever::mesh {

void
ToMessage(const Member& aMember, v1::Member& aMessage);
Member
FromMessage(const v1::Member& aMessage);

using PartNotices = google::protobuf::RepeatedPtrField<v1::PartNotice>;

void
ToMessage(const quarantine::Notices& aNotices, PartNotices& aMessages);
/** Leaves out notices of an unknown kind and those beyond a bound. */
quarantine::Notices
FromMessage(const PartNotices& aMessages);

void
ToMessage(const RecordBatch& aBatch,
          global::TimePoint aNow,
          v1::FetchReply& aMessage);
RecordBatch
FromMessage(const v1::FetchReply& aMessage, global::TimePoint aNow);

}
