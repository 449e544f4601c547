#pragma once

#include "beryllever.grpc.pb.h"
#include "transport/post.h"

#include <functional>

namespace beryllever::expertmap {

/** What the control thread does with the orders of leads. */
class IStepLeaseCalls
{
public:
  using OnGranted = std::function<void(const v1::GrantReply&)>;

  virtual ~IStepLeaseCalls() = default;

  virtual v1::PromiseReply TakePromise(const v1::PromiseRequest& aRequest) = 0;
  /** Answers once the engine has taken the order. */
  virtual void TakeGrant(const v1::GrantRequest& aRequest,
                         OnGranted aOnGranted) = 0;
};

/** Takes the orders of leads and hands them to the control thread. */
class StepLeaseService : public v1::StepLease::CallbackService
{
public:
  StepLeaseService(QObject* aControl, IStepLeaseCalls& aCalls);

  grpc::ServerUnaryReactor* Promise(grpc::CallbackServerContext* aContext,
                                    const v1::PromiseRequest* aRequest,
                                    v1::PromiseReply* aReply) override;
  grpc::ServerUnaryReactor* Grant(grpc::CallbackServerContext* aContext,
                                  const v1::GrantRequest* aRequest,
                                  v1::GrantReply* aReply) override;

private:
  QObject* mControl;
  IStepLeaseCalls& mCalls;
};

}
