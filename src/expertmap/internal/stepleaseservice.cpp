#include "expertmap/internal/stepleaseservice.h"

namespace beryllever::expertmap {

StepLeaseService::StepLeaseService(QObject* aControl, IStepLeaseCalls& aCalls)
  : mControl(aControl)
  , mCalls(aCalls)
{
}

grpc::ServerUnaryReactor*
StepLeaseService::Promise(grpc::CallbackServerContext* aContext,
                          const v1::PromiseRequest* aRequest,
                          v1::PromiseReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  transport::Post(mControl, [this, reactor, aReply, request = *aRequest] {
    *aReply = mCalls.TakePromise(request);
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
StepLeaseService::Grant(grpc::CallbackServerContext* aContext,
                        const v1::GrantRequest* aRequest,
                        v1::GrantReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  transport::Post(mControl, [this, reactor, aReply, request = *aRequest] {
    mCalls.TakeGrant(request,
                     [reactor, aReply](const v1::GrantReply& aGranted) {
                       *aReply = aGranted;
                       reactor->Finish(grpc::Status::OK);
                     });
  });
  return reactor;
}

}
