#pragma once

#include "credits/creditstypes.h"
#include "framework/global/iclock.h"
#include "framework/net/httpcall.h"

#include <QTimer>
#include <functional>
#include <optional>
#include <string>

namespace beryllever::agent {

/** Reads the local back end's health at an interval. */
class BackEndMonitor
{
public:
  /** Gets a report, or nothing if the back end has been silent for too long. */
  using OnReport =
    std::function<void(const std::optional<credits::BackEndReport>&)>;

  BackEndMonitor(const global::IClock& aClock,
                 QNetworkAccessManager& aManager,
                 const std::string& aBackEnd,
                 OnReport aOnReport);

private:
  void Read();
  void HandleAnswer(const net::HttpOutcome& aOutcome, const QByteArray& aBody);

  const global::IClock& mClock;
  QNetworkAccessManager& mManager;
  const QUrl mUrl;
  OnReport mOnReport;
  QTimer mTimer;
  bool mIsReading = false;
  global::TimePoint mSilenceDeadline;
};

}
