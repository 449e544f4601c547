#include "mesh/internal/meshservice.h"

#include "transport/post.h"

namespace beryllever::mesh {

MeshService::MeshService(MeshNode& aNode)
  : mNode(aNode)
{
}

grpc::ServerUnaryReactor*
MeshService::Gossip(grpc::CallbackServerContext* aContext,
                    const v1::GossipRequest* aRequest,
                    v1::GossipReply* aReply)
{
  grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
  transport::Post(&mNode, [this, aRequest, aReply, reactor] {
    mNode.HandleGossip(*aRequest, *aReply);
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
MeshService::Fetch(grpc::CallbackServerContext* aContext,
                   const v1::FetchRequest* aRequest,
                   v1::FetchReply* aReply)
{
  grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
  transport::Post(&mNode, [this, aRequest, aReply, reactor] {
    mNode.HandleFetch(*aRequest, *aReply);
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

}
