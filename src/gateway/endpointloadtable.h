#pragma once

#include "framework/global/iclock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace beryllever::gateway {

/** Age beyond which a report no longer reflects the current load. */
constexpr std::chrono::milliseconds kMaxReportAge{ 800 };

/** Load of an endpoint as reported by its agent. */
struct LoadReport
{
  /** Requests running or queued at the endpoint, from all gateways. */
  int mRequests = 0;
  /** Whether the endpoint's group accepts requests. */
  bool mIsOpen = true;
  /** Factor by which requests take longer than usual; 1 is normal. */
  double mSlowdown = 1;
  /** When this process received the report. */
  global::TimePoint mReceivedAt{};
};

/** Load of the endpoints, from the requests of this gateway and the reports of
 * the agents, and whether they give signs of life. */
class EndpointLoadTable
{
public:
  explicit EndpointLoadTable(const global::IClock& aClock);

  void RecordReport(const std::string& aEndpoint, const LoadReport& aReport);
  void RecordSent(const std::string& aEndpoint);
  void RecordEnded(const std::string& aEndpoint);
  /** Records that the endpoint has sent a part of a response. */
  void RecordData(const std::string& aEndpoint);

  /** Requests of this gateway at the endpoint. */
  int Outstanding(const std::string& aEndpoint) const;
  /** Requests at the endpoint, from its report and the changes since then. */
  double EstimatedRequests(const std::string& aEndpoint) const;
  /** Whether the endpoint's report is recent enough to be believed. */
  bool HasFreshReport(const std::string& aEndpoint) const;
  /** Whether a report that is believed says that the endpoint is closed. */
  bool IsClosed(const std::string& aEndpoint) const;
  /** Slowdown in the latest report of any age, at least 1. */
  double Slowdown(const std::string& aEndpoint) const;
  /** How much older the endpoint's report is than the latest of any; zero if
   * it has none. */
  global::TimePoint::duration ReportDelay(const std::string& aEndpoint) const;
  /** Whether neither the endpoint sends data nor its agent reports, while
   * others do both: its machine is probably frozen, dead or cut off. */
  bool IsSilent(const std::string& aEndpoint) const;
  void RemoveIf(const std::function<bool(const std::string&)>& aIsObsolete);

private:
  struct Load
  {
    int mOutstanding = 0;
    /** Latest report, of any age. */
    std::optional<LoadReport> mReport;
    int mOutstandingAtReport = 0;
    /** When the endpoint last sent a part of a response. */
    std::optional<global::TimePoint> mDataAt;
  };

  const Load* Find(const std::string& aEndpoint) const;
  bool HasFreshReport(const Load& aLoad) const;

  const global::IClock& mClock;
  std::map<std::string, Load> mLoads;
  /** When the latest report of any endpoint was received. */
  global::TimePoint mLatestReportAt{};
  /** When any endpoint with an agent last sent a part of a response. */
  global::TimePoint mLatestDataAt{};
};

}
