#include "configuration/processsettings.h"
#include "framework/global/identifiers.h"
#include "framework/kernel/kernel.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "gateway/internal/gatewaynode.h"
#include "operations/ioperatorpages.h"
#include "transport/grpcserver.h"

namespace beryllever::gateway {

namespace {

constexpr int kRank = 40;

/** Module that runs the gateway in processes of that role. */
class GatewayModule : public kernel::IModule
{
public:
  std::string_view Name() const override { return "gateway"; }
  bool IsWanted(std::string_view aRole) const override
  {
    return aRole == mesh::kGatewayRole;
  }
  void RegisterExports(kernel::Kernel&) override {}

  void Start(kernel::Kernel& aKernel) override
  {
    const auto settings = aKernel.Get<configuration::IProcessSettings>();
    mNode = std::make_unique<GatewayNode>(
      *aKernel.Get<global::IClock>(),
      *settings,
      GatewayDependencies{ aKernel.Get<published::IRecordCodec>(),
                           aKernel.Get<IRequestCodec>(),
                           aKernel.Get<IDirectoryCodec>(),
                           aKernel.Get<published::IPublishedSource>() },
      *aKernel.Get<metrics::Metrics>());
    aKernel.Get<transport::GrpcServer>()->Add(mNode->MeshService());
    const auto pages = aKernel.Get<operations::IOperatorPages>();
    pages->AddStatusSection("gateway", [this] { return mNode->Status(); });
    pages->AddReadinessCheck([this] { return mNode->NotReadyReason(); });
    mNode->Start();
  }

  void Reload(const configuration::IProcessSettings& aSettings) override
  {
    mNode->Reload(aSettings);
  }
  void BeginStop() override { mNode->BeginDraining(); }
  bool IsIdle() const override { return mNode->IsDrained(); }
  void Stop() override { mNode->Stop(); }

private:
  std::unique_ptr<GatewayNode> mNode;
};

const kernel::ModuleRegistrar kRegistrar(kRank, [] {
  return std::make_unique<GatewayModule>();
});

}

}
