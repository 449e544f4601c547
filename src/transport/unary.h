#pragma once

#include "transport/post.h"

#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>

namespace beryllever::transport {

/** A call with one request and one answer, kept alive until its end. */
template<typename Request, typename Reply>
struct UnaryCall
{
  grpc::ClientContext mContext;
  Request mRequest;
  Reply mReply;
};

/**
 * Makes a call and hands its end to a function on the thread of the context.
 * The starter gets the client context, the request, the reply and the
 * completion.
 */
template<typename Request, typename Reply, typename Starter, typename OnEnd>
void
CallUnary(QObject* aContext,
          Request aRequest,
          std::chrono::system_clock::time_point aDeadline,
          const Starter& aStarter,
          OnEnd aOnEnd)
{
  auto call = std::make_shared<UnaryCall<Request, Reply>>();
  call->mContext.set_deadline(aDeadline);
  call->mRequest = std::move(aRequest);
  aStarter(&call->mContext,
           &call->mRequest,
           &call->mReply,
           [aContext, call, aOnEnd](const grpc::Status& aStatus) {
             Post(aContext,
                  [call, aOnEnd, aStatus] { aOnEnd(aStatus, call->mReply); });
           });
}

}
