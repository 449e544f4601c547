#pragma once

#include "framework/kernel/imodule.h"

#include <QObject>
#include <memory>

namespace beryllever::expertmap {

class ExpertMapNode;
class StepLeaseService;

/** Keeps the local engine rank on the expert map schedule of its group. */
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
