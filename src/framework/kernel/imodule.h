#pragma once

#include <string_view>

namespace beryllever::configuration {
class IProcessSettings;
}

namespace beryllever::kernel {

class Kernel;

/** A part of the daemon that registers itself with the kernel. */
class IModule
{
public:
  virtual ~IModule() = default;

  virtual std::string_view Name() const = 0;
  /** Whether the module takes part in a process with this role. */
  virtual bool IsWanted(std::string_view aRole) const = 0;
  /** Offers the module's interfaces. No other module's interface is there yet.
   */
  virtual void RegisterExports(Kernel& aKernel) = 0;
  /** Starts the work; all interfaces of all modules are there. */
  virtual void Start(Kernel& aKernel) = 0;
  /** Takes over changed settings. */
  virtual void Reload(const configuration::IProcessSettings&) {}
  /** Begins a graceful stop: no new work is taken. */
  virtual void BeginStop() {}
  /** Whether work in flight has ended. */
  virtual bool IsIdle() const { return true; }
  /** Releases everything. */
  virtual void Stop() {}
};

}
