#include "expertmap/internal/stepleaseservice.h"

namespace beryllever::expertmap {

StepLeaseService::StepLeaseService(QObject* aControlContext,
                                   IStepLeaseHandler& aHandler)
  : mControlContext(aControlContext)
  , mHandler(aHandler)
{
}

grpc::ServerUnaryReactor*
StepLeaseService::Promise(grpc::CallbackServerContext* aContext,
                          const v1::PromiseRequest* aRequest,
                          v1::PromiseReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  transport::Post(mControlContext,
                  [this, reactor, aReply, request = *aRequest] {
                    *aReply = mHandler.HandlePromise(request);
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
  transport::Post(
    mControlContext, [this, reactor, aReply, request = *aRequest] {
      mHandler.HandleGrant(request,
                           [reactor, aReply](const v1::GrantReply& aGranted) {
                             *aReply = aGranted;
                             reactor->Finish(grpc::Status::OK);
                           });
    });
  return reactor;
}

}
