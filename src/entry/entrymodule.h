#pragma once

#include "framework/kernel/imodule.h"

#include <QThread>
#include <atomic>
#include <memory>

namespace beryllever::net {
class HttpServer;
}

namespace beryllever::streams {
class MemoryBudget;
}

namespace beryllever::entry {

class CallerInterface;
class Router;
struct SessionContext;

/** Entry process, to which callers connect. */
class EntryModule : public kernel::IModule
{
public:
  EntryModule();
  ~EntryModule() override;

  std::string_view Name() const override { return "entry"; }
  bool IsWanted(std::string_view aRole) const override
  {
    return aRole == "entry";
  }
  void RegisterExports(kernel::Kernel&) override {}
  void Start(kernel::Kernel& aKernel) override;
  void BeginStop() override;
  bool IsIdle() const override;
  void Stop() override;

private:
  void StartTraffic(const kernel::Kernel& aKernel);

  QThread mTrafficThread;
  QObject* mTrafficContext = nullptr;
  std::unique_ptr<streams::MemoryBudget> mBudget;
  std::unique_ptr<Router> mRouter;
  std::unique_ptr<SessionContext> mContext;
  std::unique_ptr<CallerInterface> mInterface;
  std::unique_ptr<net::HttpServer> mServer;
};

}
