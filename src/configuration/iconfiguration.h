#pragma once

#include "configuration/tables.h"
#include "configuration/vmlist.h"

#include <functional>
#include <memory>

namespace beryllever::configuration {

/** The configuration in force in this process. Its current values may be read
 * from any thread. */
class IConfiguration
{
public:
  virtual ~IConfiguration() = default;

  virtual std::shared_ptr<const Tables> CurrentTables() const = 0;
  virtual std::shared_ptr<const VmList> CurrentVms() const = 0;
  /** Whether any valid tables have been received. */
  virtual bool IsKnown() const = 0;
  /** Whether this process's VM or availability zone is out of service or
   * leaving. */
  virtual bool IsSelfOutOfService() const = 0;
  /** Registers a function that is called on the control thread after each
   * change. */
  virtual void Subscribe(std::function<void()> aOnChange) = 0;
};

}
