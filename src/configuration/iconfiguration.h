#pragma once

#include "configuration/tables.h"
#include "configuration/vmlist.h"

#include <functional>
#include <memory>

namespace beryllever::configuration {

/** The configuration in force in this process. Current values may be read from
 * any thread. */
class IConfiguration
{
public:
  virtual ~IConfiguration() = default;

  virtual std::shared_ptr<const Tables> CurrentTables() const = 0;
  virtual std::shared_ptr<const VmList> CurrentVms() const = 0;
  /** Whether any accepted tables are known. */
  virtual bool IsKnown() const = 0;
  /** Whether this process's VM or availability zone is out of service or
   * leaving. */
  virtual bool IsSelfOut() const = 0;
  /** Calls a function on the control thread after each change. */
  virtual void Subscribe(std::function<void()> aOnChange) = 0;
};

}
