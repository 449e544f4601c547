#include "framework/kernel/kernel.h"
#include "operations/ioperatorpages.h"
#include "rankagent/internal/ranknode.h"
#include "transport/grpcserver.h"

namespace beryllever::rankagent {

namespace {

constexpr int kStartOrder = 40;

/** Agent process of one model engine of a lock-step group. */
class RankAgentModule : public kernel::IModule
{
public:
  std::string_view Name() const override { return "rankagent"; }
  bool IsWanted(std::string_view aRole) const override
  {
    return aRole == mesh::kRankAgentRole;
  }
  void RegisterExports(kernel::Kernel&) override {}

  void Start(kernel::Kernel& aKernel) override
  {
    mNode = std::make_unique<RankNode>(
      *aKernel.Get<global::IClock>(),
      *aKernel.Get<configuration::IProcessSettings>(),
      aKernel.Get<published::IRecordCodec>(),
      aKernel.Get<IEngineCodec>(),
      *aKernel.Get<metrics::Metrics>());
    for (const auto& service : mNode->Services()) {
      aKernel.Get<transport::GrpcServer>()->Add(service);
    }
    aKernel.Get<operations::IOperatorPages>()->AddStatusSection(
      "rank", [this] { return mNode->Status(); });
    mNode->Start();
  }

  void Reload(const configuration::IProcessSettings& aSettings) override
  {
    mNode->Reload(aSettings);
  }
  void BeginStop() override { mNode->BeginStop(); }
  bool IsIdle() const override { return mNode->IsIdle(); }
  void Stop() override { mNode->Stop(); }

private:
  std::unique_ptr<RankNode> mNode;
};

const kernel::ModuleRegistrar kRegistrar(kStartOrder, [] {
  return std::make_unique<RankAgentModule>();
});

}

}
