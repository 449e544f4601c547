#pragma once

#include "mesh.grpc.pb.h"
#include "mesh/meshnode.h"

namespace beryllever::mesh {

/** Serves the calls of peers; the answers are made on the control thread. */
class MeshService : public v1::Mesh::CallbackService
{
public:
  explicit MeshService(MeshNode& aNode);

  grpc::ServerUnaryReactor* Gossip(grpc::CallbackServerContext* aContext,
                                   const v1::GossipRequest* aRequest,
                                   v1::GossipReply* aReply) override;
  grpc::ServerUnaryReactor* Fetch(grpc::CallbackServerContext* aContext,
                                  const v1::FetchRequest* aRequest,
                                  v1::FetchReply* aReply) override;

private:
  MeshNode& mNode;
};

}
