#pragma once

#include "beryllever.grpc.pb.h"
#include "transport/post.h"

#include <functional>

namespace beryllever::expertmap {

/** Handles the leader's requests on the control thread. */
class IStepLeaseHandler
{
public:
  using OnGranted = std::function<void(const v1::GrantReply&)>;

  virtual ~IStepLeaseHandler() = default;

  virtual v1::PromiseReply HandlePromise(
    const v1::PromiseRequest& aRequest) = 0;
  /** Calls aOnGranted with the reply: after the request that sets the schedule
   * at the engine has ended, or at once if the grant is refused. */
  virtual void HandleGrant(const v1::GrantRequest& aRequest,
                           OnGranted aOnGranted) = 0;
};

/** gRPC service that passes the leader's requests to the control thread. */
class StepLeaseService : public v1::StepLease::CallbackService
{
public:
  StepLeaseService(QObject* aControlContext, IStepLeaseHandler& aHandler);

  grpc::ServerUnaryReactor* Promise(grpc::CallbackServerContext* aContext,
                                    const v1::PromiseRequest* aRequest,
                                    v1::PromiseReply* aReply) override;
  grpc::ServerUnaryReactor* Grant(grpc::CallbackServerContext* aContext,
                                  const v1::GrantRequest* aRequest,
                                  v1::GrantReply* aReply) override;

private:
  QObject* mControlContext;
  IStepLeaseHandler& mHandler;
};

}
