#include "distribution/peerservice.h"

namespace beryllever::distribution {

PeerService::PeerService(QObject* aContext, OnFollow aOnFollow)
  : mContext(aContext)
  , mOnFollow(std::move(aOnFollow))
{
}

grpc::ServerWriteReactor<v1::FollowUpdate>*
PeerService::Follow(grpc::CallbackServerContext*,
                    const v1::FollowRequest* aRequest)
{
  const auto stream = FollowStream::Make(mContext);
  transport::Post(mContext, [this, request = *aRequest, stream] {
    mOnFollow(request, stream);
  });
  return stream.get();
}

}
