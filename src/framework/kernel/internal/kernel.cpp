#include "framework/kernel/kernel.h"

#include "framework/log/log.h"

#include <algorithm>
#include <map>

namespace beryllever::kernel {

namespace {

constexpr char kLogTag[] = "kernel";

std::multimap<int, ModuleFactory>&
Factories()
{
  static std::multimap<int, ModuleFactory> sFactories;
  return sFactories;
}

}

ModuleRegistrar::ModuleRegistrar(int aRank, ModuleFactory aFactory)
{
  Factories().emplace(aRank, std::move(aFactory));
}

Kernel::Kernel(std::string aRole)
  : mRole(std::move(aRole))
{
}

Kernel::~Kernel() = default;

void
Kernel::RegisterAll()
{
  for (const auto& [rank, factory] : Factories()) {
    auto module = factory();
    if (!module->IsWanted(mRole)) {
      continue;
    }
    module->RegisterExports(*this);
    mModules.push_back(std::move(module));
  }
}

void
Kernel::StartAll()
{
  for (const auto& module : mModules) {
    module->Start(*this);
    LOGI("Started module=" << module->Name());
  }
}

void
Kernel::Reload(const configuration::IProcessSettings& aSettings)
{
  for (const auto& module : mModules) {
    module->Reload(aSettings);
  }
}

void
Kernel::BeginStop()
{
  LOGI("Graceful stop begins; no new work is taken.");
  std::for_each(mModules.rbegin(), mModules.rend(), [](const auto& aModule) {
    aModule->BeginStop();
  });
}

bool
Kernel::IsIdle() const
{
  return std::all_of(mModules.begin(), mModules.end(), [](const auto& aModule) {
    return aModule->IsIdle();
  });
}

void
Kernel::StopAll()
{
  std::for_each(mModules.rbegin(), mModules.rend(), [](const auto& aModule) {
    aModule->Stop();
  });
  LOGI("All work has ended; the process exits.");
}

}
