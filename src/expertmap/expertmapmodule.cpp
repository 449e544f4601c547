#include "expertmap/expertmapmodule.h"

#include "expertmap/internal/expertmapnode.h"
#include "framework/kernel/kernel.h"
#include "operations/ioperatorpages.h"
#include "transport/grpcserver.h"

namespace beryllever::expertmap {

namespace {

constexpr int kStartOrder = 40;
const kernel::ModuleRegistrar kRegistrar(kStartOrder, [] {
  return std::make_unique<ExpertMapModule>();
});

}

ExpertMapModule::ExpertMapModule() = default;
ExpertMapModule::~ExpertMapModule() = default;

void
ExpertMapModule::Start(kernel::Kernel& aKernel)
{
  mNode = std::make_unique<ExpertMapNode>(
    *aKernel.Get<global::IClock>(),
    aKernel.Get<configuration::IProcessSettings>(),
    aKernel.Get<configuration::IConfiguration>(),
    *aKernel.Get<metrics::Metrics>());
  mService = std::make_shared<StepLeaseService>(&mContext, *mNode);
  aKernel.Get<transport::GrpcServer>()->Add(mService);
  aKernel.Get<operations::IOperatorPages>()->AddStatusSection(
    "expertMap", [this] { return mNode->Status(); });
  mNode->Start();
}

}
