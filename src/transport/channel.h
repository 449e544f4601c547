#pragma once

#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace beryllever::transport {

/**
 * Makes a channel with a connection of its own. It never sends a call again by
 * itself, holds little of what its reader has not taken, and closes a
 * connection that has gone silent.
 */
std::shared_ptr<grpc::Channel>
MakeChannel(const std::string& aAddress);

}
