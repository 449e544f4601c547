#include "expertmap/internal/messages.h"

namespace beryllever::expertmap {

namespace {

using Segments = google::protobuf::RepeatedPtrField<v1::MapSegment>;

void
WriteSegments(const steplease::Schedule& aSchedule, Segments* aSegments)
{
  for (const steplease::Segment& segment : aSchedule.Segments()) {
    v1::MapSegment* message = aSegments->Add();
    message->set_first_step(segment.mFirst);
    message->set_end_step(segment.mEnd);
    message->set_map_version(segment.mMap);
  }
}

steplease::Schedule
ReadSegments(const Segments& aSegments)
{
  std::vector<steplease::Segment> segments;
  for (const v1::MapSegment& message : aSegments) {
    segments.push_back(
      { message.first_step(), message.end_step(), message.map_version() });
  }
  return steplease::Schedule(std::move(segments));
}

}

v1::Epoch
ToMessage(const steplease::Epoch& aEpoch)
{
  v1::Epoch epoch;
  epoch.set_counter(aEpoch.mCounter);
  epoch.set_vm(aEpoch.mVm);
  epoch.set_incarnation(aEpoch.mIncarnation);
  return epoch;
}

steplease::Epoch
FromMessage(const v1::Epoch& aEpoch)
{
  return { aEpoch.counter(), aEpoch.vm(), aEpoch.incarnation() };
}

v1::PromiseRequest
ToMessage(const steplease::PromiseRequest& aRequest, const std::string& aGroup)
{
  v1::PromiseRequest request;
  request.set_group(aGroup);
  *request.mutable_epoch() = ToMessage(aRequest.mEpoch);
  request.set_rank(aRequest.mRank);
  request.mutable_incarnations()->Add(aRequest.mIncarnations.begin(),
                                      aRequest.mIncarnations.end());
  return request;
}

steplease::PromiseRequest
FromMessage(const v1::PromiseRequest& aRequest)
{
  return { FromMessage(aRequest.epoch()),
           aRequest.rank(),
           steplease::Incarnations(aRequest.incarnations().begin(),
                                   aRequest.incarnations().end()) };
}

v1::PromiseReply
ToMessage(const steplease::PromiseReply& aReply)
{
  v1::PromiseReply reply;
  reply.set_is_promised(aReply.mIsPromised);
  reply.set_incarnation(aReply.mIncarnation);
  *reply.mutable_promised() = ToMessage(aReply.mPromised);
  WriteSegments(aReply.mSchedule, reply.mutable_schedule());
  return reply;
}

steplease::PromiseReply
FromMessage(const v1::PromiseReply& aReply,
            const steplease::Epoch& aEpoch,
            int aRank)
{
  return { aEpoch,
           aRank,
           aReply.is_promised(),
           aReply.incarnation(),
           FromMessage(aReply.promised()),
           ReadSegments(aReply.schedule()) };
}

v1::GrantRequest
ToMessage(const steplease::GrantRequest& aRequest, const std::string& aGroup)
{
  v1::GrantRequest request;
  request.set_group(aGroup);
  *request.mutable_epoch() = ToMessage(aRequest.mEpoch);
  request.set_rank(aRequest.mRank);
  request.set_incarnation(aRequest.mIncarnation);
  WriteSegments(aRequest.mSchedule, request.mutable_schedule());
  return request;
}

steplease::GrantRequest
FromMessage(const v1::GrantRequest& aRequest)
{
  return { FromMessage(aRequest.epoch()),
           aRequest.rank(),
           aRequest.incarnation(),
           ReadSegments(aRequest.schedule()) };
}

}
