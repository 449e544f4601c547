#pragma once

#include "framework/kernel/imodule.h"

#include <QObject>
#include <memory>

namespace beryllever::expertmap {

class ExpertMapNode;
class StepLeaseService;

/** Keeps an engine rank on its group's expert maps. */
class ExpertMapModule : public kernel::IModule
{
public:
  ExpertMapModule();
  ~ExpertMapModule() override;

  std::string_view Name() const override { return "expertmap"; }
  bool IsWanted(std::string_view aRole) const override
  {
    return aRole == "agent";
  }
  void RegisterExports(kernel::Kernel&) override {}
  void Start(kernel::Kernel& aKernel) override;

private:
  std::unique_ptr<ExpertMapNode> mNode;
  std::shared_ptr<StepLeaseService> mService;
  QObject mContext;
};

}
