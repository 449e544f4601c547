#pragma once

#include "framework/kernel/imodule.h"
#include "framework/net/connectionlimit.h"

#include <QObject>
#include <QThread>
#include <memory>

namespace beryllever::agent {

class AgentCore;
class AgentService;

/** Agent process on an endpoint's VM, in front of the local back end. */
class AgentModule : public kernel::IModule
{
public:
  AgentModule();
  ~AgentModule() override;

  std::string_view Name() const override { return "agent"; }
  bool IsWanted(std::string_view aRole) const override
  {
    return aRole == "agent";
  }
  void RegisterExports(kernel::Kernel&) override {}
  void Start(kernel::Kernel& aKernel) override;
  void BeginStop() override;
  bool IsIdle() const override;
  void Stop() override;

private:
  /** Bounds what the streams of one agent can make an entry buffer at once. */
  static constexpr size_t kMaxBackEndConnections = 32;

  net::ConnectionLimit mBackEndConnections{ kMaxBackEndConnections };
  QThread mTrafficThread;
  QObject* mTrafficContext = nullptr;
  QObject mControlContext;
  std::shared_ptr<AgentService> mService;
  std::unique_ptr<AgentCore> mCore;
};

}
