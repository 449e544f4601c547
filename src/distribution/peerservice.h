#pragma once

#include "beryllever.grpc.pb.h"
#include "transport/serverstream.h"

#include <QObject>
#include <functional>
#include <memory>

namespace beryllever::distribution {

using FollowStream = transport::ServerStream<v1::FollowUpdate>;

/** Accepts the calls of followers and hands them to the control thread. */
class PeerService : public v1::Peer::CallbackService
{
public:
  using OnFollow =
    std::function<void(v1::FollowRequest, std::shared_ptr<FollowStream>)>;

  PeerService(QObject* aContext, OnFollow aOnFollow);

  grpc::ServerWriteReactor<v1::FollowUpdate>* Follow(
    grpc::CallbackServerContext* aContext,
    const v1::FollowRequest* aRequest) override;

private:
  QObject* mContext;
  OnFollow mOnFollow;
};

}
