#include "agent/agentmodule.h"

#include "agent/internal/agentcore.h"
#include "agent/internal/agentservice.h"
#include "framework/kernel/kernel.h"
#include "operations/ioperatorpages.h"
#include "transport/grpcserver.h"

namespace beryllever::agent {

namespace {

constexpr int kRank = 30;
const kernel::ModuleRegistrar kRegistrar(kRank, [] {
  return std::make_unique<AgentModule>();
});

}

AgentModule::AgentModule() = default;
AgentModule::~AgentModule() = default;

void
AgentModule::Start(kernel::Kernel& aKernel)
{
  const auto settings = aKernel.Get<configuration::IProcessSettings>();
  const auto clock = aKernel.Get<global::IClock>();
  const auto pages = aKernel.Get<operations::IOperatorPages>();
  mTrafficContext = new QObject;
  mTrafficContext->moveToThread(&mTrafficThread);
  mTrafficThread.start();
  mCore = std::make_unique<AgentCore>(
    *clock,
    settings,
    aKernel.Get<configuration::IConfiguration>(),
    *aKernel.Get<metrics::Metrics>(),
    ExecutionContext{ *clock,
                      mBackEndConnections,
                      mTrafficContext,
                      *aKernel.Get<tracing::Tracer>(),
                      settings->BackEnd(),
                      settings->Limits() });
  mService =
    std::make_shared<AgentService>(&mControlContext, mTrafficContext, *mCore);
  aKernel.Get<transport::GrpcServer>()->Add(mService);
  pages->AddStatusSection("agent", [this] { return mCore->Status(); });
  mCore->Start();
}

void
AgentModule::BeginStop()
{
  mCore->BeginStop();
}

bool
AgentModule::IsIdle() const
{
  return mCore->IsIdle();
}

void
AgentModule::Stop()
{
  mTrafficContext->deleteLater();
  mTrafficThread.quit();
  mTrafficThread.wait();
}

}
