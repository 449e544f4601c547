#pragma once

#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>
#include <vector>

namespace beryllever::transport {

/** Services that a process offers to the system's other processes, on one
 * address. */
class GrpcServer
{
public:
  ~GrpcServer();

  /** Adds a service before the start. */
  void Add(std::shared_ptr<grpc::Service> aService);
  /** Listens; returns false if the address cannot be had. */
  bool Start(const std::string& aAddress);
  /** Ends all calls and stops listening. */
  void Stop();

private:
  std::vector<std::shared_ptr<grpc::Service>> mServices;
  std::unique_ptr<grpc::Server> mServer;
};

}
