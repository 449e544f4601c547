#pragma once

#include "credits/creditstypes.h"
#include "framework/global/iclock.h"
#include "framework/net/httpcall.h"

#include <QTimer>
#include <functional>
#include <optional>
#include <string>

namespace beryllever::agent {

/** Polls the health of the local back end. */
class BackEndMonitor
{
public:
  /** Called with a report, or with nothing if the back end is unreachable or
   * has sent no valid report for too long. */
  using OnReport =
    std::function<void(const std::optional<credits::BackEndReport>&)>;

  BackEndMonitor(const global::IClock& aClock,
                 const std::string& aBackEnd,
                 OnReport aOnReport);

private:
  void Poll();
  void HandleResponse(const net::HttpOutcome& aOutcome,
                      const QByteArray& aBody);

  const global::IClock& mClock;
  const QUrl mUrl;
  OnReport mOnReport;
  QTimer mTimer;
  bool mIsPolling = false;
  global::TimePoint mReportDeadline;
};

}
