#include "consul/consulplatform.h"
#include "distribution/configurationnode.h"
#include "framework/kernel/kernel.h"
#include "operations/ioperatorpages.h"
#include "transport/grpcserver.h"

namespace beryllever::app {

namespace {

constexpr int kStartOrder = 20;

/** Provides the configuration in force and distributes it to peers. */
class DistributionModule : public kernel::IModule
{
public:
  std::string_view Name() const override { return "distribution"; }
  bool IsWanted(std::string_view aRole) const override
  {
    return aRole == "entry" || aRole == "agent";
  }

  void RegisterExports(kernel::Kernel& aKernel) override
  {
    const auto settings = aKernel.Get<configuration::IProcessSettings>();
    const auto platform =
      std::make_shared<consul::ConsulPlatform>(settings->PlatformUrls());
    mNode = std::make_shared<distribution::ConfigurationNode>(
      *aKernel.Get<global::IClock>(),
      settings,
      platform,
      *aKernel.Get<metrics::Metrics>());
    aKernel.Provide<configuration::IConfiguration>(mNode);
    mService = std::make_shared<distribution::PeerService>(
      &mContext,
      [this](const v1::FollowRequest& aRequest,
             const std::shared_ptr<distribution::FollowStream>& aStream) {
        mNode->AddFollower(aRequest, aStream);
      });
  }

  void Start(kernel::Kernel& aKernel) override
  {
    aKernel.Get<transport::GrpcServer>()->Add(mService);
    const auto pages = aKernel.Get<operations::IOperatorPages>();
    pages->AddStatusSection("configuration", [this] { return Status(); });
    pages->AddReadinessCheck([this] {
      return std::string(mNode->IsKnown() ? "" : "no configuration is known");
    });
    pages->AddReadinessCheck([this] {
      return std::string(mNode->IsSelfOutOfService() ? "out of service" : "");
    });
    pages->AddPage("/vms", [this](const operations::IOperatorPages::Query&) {
      return VmPage();
    });
    mNode->Start();
  }

  void BeginStop() override { mNode->SetLeaving(); }

private:
  settings::Json Status() const
  {
    const auto status = mNode->Status();
    const auto tables = mNode->CurrentTables();
    return { { "tablesRevision", status.mTablesRevision },
             { "vmsRevision", status.mVmsRevision },
             { "watchesPlatform", status.mIsWatcher },
             { "followers", status.mFollowers },
             { "sources", status.mSources },
             { "platformAgeMilliseconds", status.mPlatformAge.count() },
             { "refusal", status.mRefusal },
             { "outAvailabilityZones",
               tables->Service().mOutOfServiceAvailabilityZones },
             { "outVms", tables->Service().mOutOfServiceVms },
             { "isOutOfService", mNode->IsSelfOutOfService() } };
  }

  settings::Json VmPage() const
  {
    settings::Json vms = settings::Json::array();
    for (const auto& [name, vm] : mNode->CurrentVms()->Vms()) {
      vms.push_back(
        settings::Json::parse(configuration::ChangeFromVm(vm, 0).mValue));
    }
    return { { "vms", vms } };
  }

  std::shared_ptr<distribution::ConfigurationNode> mNode;
  std::shared_ptr<distribution::PeerService> mService;
  QObject mContext;
};

const kernel::ModuleRegistrar kRegistrar(kStartOrder, [] {
  return std::make_unique<DistributionModule>();
});

}

}
