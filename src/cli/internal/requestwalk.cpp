#include "cli/requestwalk.h"

#include <algorithm>
#include <array>
#include <set>

namespace beryllever::cli {

namespace {

/** Context lines that are shown; the last ones before the request's end. */
constexpr size_t kMaxContext = 12;

/** Value behind "name=", up to a blank or a closing quote. */
std::string
ValueOf(const std::string& aLine, const std::string& aName)
{
  const size_t start = aLine.find(" " + aName + "=");
  if (start == std::string::npos) {
    return "";
  }
  const size_t value = start + aName.size() + 2;
  if (value < aLine.size() && aLine[value] == '"') {
    return aLine.substr(value + 1, aLine.find('"', value + 1) - value - 1);
  }
  return aLine.substr(value, aLine.find(' ', value) - value);
}

/** Time of a line in its ISO form, wherever in the line it stands. */
std::string
TimeOf(const std::string& aLine)
{
  constexpr size_t kTimeLength = 24;
  const size_t t = aLine.find("T");
  constexpr size_t kDateLength = 10;
  for (size_t at = t; at != std::string::npos; at = aLine.find('T', at + 1)) {
    if (at >= kDateLength && aLine[at - 3] == '-' && aLine[at - 6] == '-') {
      return aLine.substr(at - kDateLength, kTimeLength);
    }
  }
  return "";
}

struct Reading
{
  std::string_view mStatus;
  std::string_view mMeaning;
};

constexpr std::array<Reading, 7> kReadings{ {
  { "401", "refused: the key is in no table of that version" },
  { "404", "refused: no route of that version fits host and path" },
  { "499", "cancelled: the caller left before the answer was complete" },
  { "502", "failed: an endpoint may have run it and gave no whole answer" },
  { "503", "refused, not run: no endpoint could take it in time" },
  { "504", "timed out: it was at an endpoint when its time was over" },
  { "200", "answered, or cut in the middle if its outcome says so" },
} };

std::string
CauseOf(const std::string& aEnd)
{
  const std::string status = ValueOf(aEnd, "status");
  for (const Reading& reading : kReadings) {
    if (reading.mStatus == status) {
      return std::string(reading.mMeaning) +
             "; outcome: " + ValueOf(aEnd, "outcome") +
             "; last endpoint: " + ValueOf(aEnd, "endpoint") +
             "; attempts: " + ValueOf(aEnd, "attempts");
    }
  }
  return "status " + status + "; outcome: " + ValueOf(aEnd, "outcome");
}

bool
IsAbout(const std::string& aLine, const std::set<std::string>& aEndpoints)
{
  const bool isTables =
    aLine.find("published: Configuration") != std::string::npos ||
    aLine.find("Availability zone") != std::string::npos ||
    aLine.find("store does not serve") != std::string::npos;
  return isTables ||
         std::any_of(aEndpoints.begin(),
                     aEndpoints.end(),
                     [&](const std::string& aEndpoint) {
                       return aLine.find(aEndpoint) != std::string::npos;
                     });
}

}

RequestWalk
WalkRequest(const std::string& aRequestId,
            const std::vector<std::string>& aLines)
{
  RequestWalk walk;
  std::set<std::string> endpoints;
  std::string end;
  for (const std::string& line : aLines) {
    if (ValueOf(line, "request") != aRequestId) {
      continue;
    }
    walk.mLines.push_back(line);
    if (const std::string endpoint = ValueOf(line, "endpoint");
        !endpoint.empty()) {
      endpoints.insert(endpoint);
    }
    if (line.find("request: Ended.") != std::string::npos) {
      end = line;
    }
  }
  const auto byTime = [](const std::string& aLeft, const std::string& aRight) {
    return TimeOf(aLeft) < TimeOf(aRight);
  };
  std::stable_sort(walk.mLines.begin(), walk.mLines.end(), byTime);
  if (end.empty()) {
    return walk;
  }
  walk.mCause = CauseOf(end);
  for (const std::string& line : aLines) {
    if (ValueOf(line, "request").empty() && IsAbout(line, endpoints) &&
        TimeOf(line) <= TimeOf(end)) {
      walk.mContext.push_back(line);
    }
  }
  std::stable_sort(walk.mContext.begin(), walk.mContext.end(), byTime);
  if (walk.mContext.size() > kMaxContext) {
    walk.mContext.erase(walk.mContext.begin(),
                        walk.mContext.end() - kMaxContext);
  }
  return walk;
}

}
