#include "configuration/processsettings.h"
#include "framework/kernel/kernel.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/tracing/tracer.h"
#include "operations/operatorpages.h"
#include "operations/spanexporter.h"
#include "transport/grpcserver.h"

namespace beryllever::app {

namespace {

constexpr int kCoreStartOrder = 10;
constexpr int kListenStartOrder = 90;

/** Provides the services that all modules use: clock, metrics, tracer, operator
 * pages and gRPC server. */
class CoreModule : public kernel::IModule
{
public:
  std::string_view Name() const override { return "core"; }
  bool IsWanted(std::string_view) const override { return true; }

  void RegisterExports(kernel::Kernel& aKernel) override
  {
    const auto settings = aKernel.Get<configuration::IProcessSettings>();
    const auto clock = std::make_shared<global::SteadyClock>();
    const auto metrics = std::make_shared<metrics::Metrics>();
    mTracer = std::make_shared<tracing::Tracer>(settings->VmName());
    aKernel.Provide<global::IClock>(clock);
    aKernel.Provide<metrics::Metrics>(metrics);
    aKernel.Provide<tracing::Tracer>(mTracer);
    aKernel.Provide<transport::GrpcServer>(
      std::make_shared<transport::GrpcServer>());
    const auto pages =
      std::make_shared<operations::OperatorPages>(*clock, *metrics);
    aKernel.Provide<operations::OperatorPages>(pages);
    aKernel.Provide<operations::IOperatorPages>(pages);
  }

  void Start(kernel::Kernel& aKernel) override
  {
    const auto settings = aKernel.Get<configuration::IProcessSettings>();
    mExporter = std::make_unique<operations::SpanExporter>(
      *mTracer, settings->CollectorUrl());
    aKernel.Get<operations::IOperatorPages>()->AddStatusSection(
      "process", [settings] {
        return settings::Json{ { "role", settings->Role() },
                               { "vm", settings->VmName() },
                               { "availabilityZone",
                                 settings->AvailabilityZone() } };
      });
    aKernel.Get<operations::IOperatorPages>()->AddStatusSection("log", [] {
      const log::LineCounts counts = log::Counts();
      return settings::Json{ { "waitingLines", counts.mWaiting },
                             { "droppedLines", counts.mDropped } };
    });
  }

  void Stop() override { mExporter->Flush(); }

private:
  std::shared_ptr<tracing::Tracer> mTracer;
  std::unique_ptr<operations::SpanExporter> mExporter;
};

/** Starts to listen for peers and operators after all other modules have
 * registered their services and pages. */
class ListenModule : public kernel::IModule
{
public:
  std::string_view Name() const override { return "listen"; }
  bool IsWanted(std::string_view) const override { return true; }
  void RegisterExports(kernel::Kernel&) override {}

  void Start(kernel::Kernel& aKernel) override
  {
    const auto settings = aKernel.Get<configuration::IProcessSettings>();
    mServer = aKernel.Get<transport::GrpcServer>();
    if (!mServer->Start(settings->PeerListenAddress())) {
      throw std::runtime_error("peerListenAddress " +
                               settings->PeerListenAddress() +
                               " cannot be listened on");
    }
    const auto address =
      configuration::ParseAddress(settings->OperatorAddress()).value();
    if (!aKernel.Get<operations::OperatorPages>()->Listen(address.mHost,
                                                          address.mPort)) {
      throw std::runtime_error("operatorAddress " +
                               settings->OperatorAddress() +
                               " cannot be listened on");
    }
  }

  void Stop() override { mServer->Stop(); }

private:
  std::shared_ptr<transport::GrpcServer> mServer;
};

const kernel::ModuleRegistrar kCoreRegistrar(kCoreStartOrder, [] {
  return std::make_unique<CoreModule>();
});
const kernel::ModuleRegistrar kListenRegistrar(kListenStartOrder, [] {
  return std::make_unique<ListenModule>();
});

}

}
