#include "gateway/endpointloadtable.h"

#include <algorithm>

namespace beryllever::gateway {

namespace {

using std::chrono::milliseconds;

/** Age beyond which data of a response no longer shows that its endpoint, or
 * the group that it belongs to, is at work. */
constexpr milliseconds kMaxDataAge{ 500 };

}

EndpointLoadTable::EndpointLoadTable(const global::IClock& aClock)
  : mClock(aClock)
{
}

void
EndpointLoadTable::RecordReport(const std::string& aEndpoint,
                                const LoadReport& aReport)
{
  Load& load = mLoads[aEndpoint];
  load.mReport = aReport;
  load.mOutstandingAtReport = load.mOutstanding;
  mLatestReportAt = std::max(mLatestReportAt, aReport.mReceivedAt);
}

void
EndpointLoadTable::RecordSent(const std::string& aEndpoint)
{
  ++mLoads[aEndpoint].mOutstanding;
}

void
EndpointLoadTable::RecordEnded(const std::string& aEndpoint)
{
  Load& load = mLoads[aEndpoint];
  load.mOutstanding = std::max(0, load.mOutstanding - 1);
}

void
EndpointLoadTable::RecordData(const std::string& aEndpoint)
{
  Load& load = mLoads[aEndpoint];
  load.mDataAt = mClock.Now();
  if (load.mReport) {
    mLatestDataAt = mClock.Now();
  }
}

int
EndpointLoadTable::Outstanding(const std::string& aEndpoint) const
{
  const Load* load = Find(aEndpoint);
  return load == nullptr ? 0 : load->mOutstanding;
}

double
EndpointLoadTable::EstimatedRequests(const std::string& aEndpoint) const
{
  const Load* load = Find(aEndpoint);
  if (load == nullptr) {
    return 0;
  }
  const double own = load->mOutstanding;
  if (!HasFreshReport(*load)) {
    return own;
  }
  const double change = load->mOutstanding - load->mOutstandingAtReport;
  return std::max(own, load->mReport->mRequests + change);
}

bool
EndpointLoadTable::HasFreshReport(const std::string& aEndpoint) const
{
  const Load* load = Find(aEndpoint);
  return load != nullptr && HasFreshReport(*load);
}

bool
EndpointLoadTable::IsClosed(const std::string& aEndpoint) const
{
  const Load* load = Find(aEndpoint);
  return load != nullptr && HasFreshReport(*load) && !load->mReport->mIsOpen;
}

double
EndpointLoadTable::Slowdown(const std::string& aEndpoint) const
{
  const Load* load = Find(aEndpoint);
  return load != nullptr && load->mReport
           ? std::max(1.0, load->mReport->mSlowdown)
           : 1.0;
}

global::TimePoint::duration
EndpointLoadTable::ReportDelay(const std::string& aEndpoint) const
{
  const Load* load = Find(aEndpoint);
  return load != nullptr && load->mReport
           ? mLatestReportAt - load->mReport->mReceivedAt
           : global::TimePoint::duration::zero();
}

bool
EndpointLoadTable::IsSilent(const std::string& aEndpoint) const
{
  const Load* load = Find(aEndpoint);
  const bool doOthersSend = mClock.Now() - mLatestDataAt < kMaxDataAge;
  const bool hasSent = load != nullptr && load->mDataAt &&
                       mLatestDataAt - *load->mDataAt < kMaxDataAge;
  return doOthersSend && !hasSent && ReportDelay(aEndpoint) > kMaxReportAge;
}

void
EndpointLoadTable::RemoveIf(
  const std::function<bool(const std::string&)>& aIsObsolete)
{
  std::erase_if(mLoads,
                [&](const auto& aLoad) { return aIsObsolete(aLoad.first); });
}

const EndpointLoadTable::Load*
EndpointLoadTable::Find(const std::string& aEndpoint) const
{
  const auto it = mLoads.find(aEndpoint);
  return it == mLoads.end() ? nullptr : &it->second;
}

bool
EndpointLoadTable::HasFreshReport(const Load& aLoad) const
{
  return aLoad.mReport &&
         mClock.Now() - aLoad.mReport->mReceivedAt < kMaxReportAge;
}

}
