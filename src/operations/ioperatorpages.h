#pragma once

#include "framework/settings/jsondocument.h"

#include <QByteArray>
#include <QMap>
#include <functional>
#include <string>

namespace beryllever::operations {

/** HTTP pages for operators: health, readiness, metrics, status and the pages
 * that modules add. */
class IOperatorPages
{
public:
  using Query = QMap<QByteArray, QByteArray>;
  using Page = std::function<settings::Json(const Query&)>;

  virtual ~IOperatorPages() = default;

  /** Adds a page, which responds with JSON. */
  virtual void AddPage(const std::string& aPath, Page aPage) = 0;
  /** Adds a section to the status page. */
  virtual void AddStatusSection(const std::string& aName,
                                std::function<settings::Json()> aSection) = 0;
  /** Adds a readiness check, which returns the reason why the process is not
   * ready, or an empty string. */
  virtual void AddReadinessCheck(std::function<std::string()> aCheck) = 0;
};

}
