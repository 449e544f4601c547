#pragma once

#include "framework/kernel/imodule.h"

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <typeindex>
#include <unordered_map>
#include <vector>

namespace beryllever::kernel {

using ModuleFactory = std::function<std::unique_ptr<IModule>()>;

/** Registers a module's factory at load time; one static object a module. */
class ModuleRegistrar
{
public:
  /** Modules start in ascending order of rank and stop in descending order. */
  ModuleRegistrar(int aRank, ModuleFactory aFactory);
};

/** Owns the modules of a process and the interfaces that they offer to each
 * other. */
class Kernel
{
public:
  explicit Kernel(std::string aRole);
  ~Kernel();

  template<typename Interface>
  void Provide(std::shared_ptr<Interface> aService)
  {
    mServices[typeid(Interface)] = std::move(aService);
  }

  /** The registered implementation; a missing one is a fault of the program. */
  template<typename Interface>
  std::shared_ptr<Interface> Get() const
  {
    const auto it = mServices.find(typeid(Interface));
    if (it == mServices.end()) {
      throw std::logic_error(std::string("no module offers ") +
                             typeid(Interface).name());
    }
    return std::static_pointer_cast<Interface>(it->second);
  }

  void RegisterAll();
  void StartAll();
  void Reload(const configuration::IProcessSettings& aSettings);
  void BeginStop();
  bool IsIdle() const;
  void StopAll();

private:
  std::string mRole;
  std::unordered_map<std::type_index, std::shared_ptr<void>> mServices;
  std::vector<std::unique_ptr<IModule>> mModules;
};

}
