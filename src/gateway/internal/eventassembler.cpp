#include "gateway/eventassembler.h"

#include <charconv>

namespace beryllever::gateway {

namespace {

/** Value of the event's id field, if it has a number as its id. */
std::optional<int64_t>
IdOf(std::string_view aEvent)
{
  constexpr std::string_view kId = "id:";
  for (size_t start = 0; start < aEvent.size();) {
    size_t end = aEvent.find('\n', start);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kId)) {
      continue;
    }
    line.remove_prefix(kId.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    int64_t id = 0;
    const auto [last, ec] =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}

std::string
EventAssembler::Take(std::string_view aBytes)
{
  constexpr std::string_view kEnd = "\n\n";
  mRest.append(aBytes);
  std::string whole;
  size_t start = 0;
  for (size_t end = mRest.find(kEnd); end != std::string::npos;
       end = mRest.find(kEnd, start)) {
    const std::string_view event =
      std::string_view(mRest).substr(start, end + kEnd.size() - start);
    start = end + kEnd.size();
    if (IsWanted(event)) {
      whole += event;
    }
  }
  mRest.erase(0, start);
  return whole;
}

std::string
EventAssembler::TakeRest()
{
  return std::move(mRest);
}

void
EventAssembler::BeginResumption()
{
  mRest.clear();
  mIsResumed = true;
}

bool
EventAssembler::IsWanted(std::string_view aEvent)
{
  const auto id = IdOf(aEvent);
  if (!id) {
    return true;
  }
  if (mIsResumed && mLastId && *id <= *mLastId) {
    return false;
  }
  if (mIsResumed && mLastId && *id != *mLastId + 1) {
    mHasGap = true;
  }
  mLastId = id;
  return true;
}

}
