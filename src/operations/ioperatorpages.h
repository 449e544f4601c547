#pragma once

#include "framework/settings/jsondocument.h"

#include <QByteArray>
#include <QMap>
#include <functional>
#include <string>

namespace beryllever::operations {

/** Pages for operators: health, readiness, metrics, status and what modules
 * add. */
class IOperatorPages
{
public:
  using Query = QMap<QByteArray, QByteArray>;
  using Page = std::function<settings::Json(const Query&)>;

  virtual ~IOperatorPages() = default;

  /** Adds a page of its own, answered in JSON. */
  virtual void AddPage(const std::string& aPath, Page aPage) = 0;
  /** Adds a part to the status page. */
  virtual void AddStatus(const std::string& aName,
                         std::function<settings::Json()> aPart) = 0;
  /** Adds a condition of readiness; it returns a reason, or nothing if it
   * holds. */
  virtual void AddReadiness(std::function<std::string()> aCondition) = 0;
};

}
