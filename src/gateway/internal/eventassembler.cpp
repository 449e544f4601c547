#include "gateway/eventassembler.h"

#include <charconv>

namespace beryllever::gateway {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

/** Returns the number at the start of the event's first id field that has one;
 * text after the number is ignored. */
std::optional<int64_t>
ParseEventId(std::string_view aEvent)
{
  constexpr std::string_view kIdField = "id:";
  for (size_t start = 0; start < aEvent.size();) {
    size_t end = aEvent.find('\n', start);
    end = end == std::string_view::npos ? aEvent.size() : end;
    std::string_view line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
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
EventAssembler::Append(std::string_view aBytes)
{
  mBuffer.append(aBytes);
  std::string events;
  size_t start = 0;
  for (size_t end = mBuffer.find(kEventEnd); end != std::string::npos;
       end = mBuffer.find(kEventEnd, start)) {
    const std::string_view event =
      std::string_view(mBuffer).substr(start, end + kEventEnd.size() - start);
    start = end + kEventEnd.size();
    if (ShouldForward(event)) {
      events += event;
    }
  }
  mBuffer.erase(0, start);
  return events;
}

bool
EventAssembler::CompletesEvent(std::string_view aBytes) const
{
  const bool isEndSplit = mBuffer.ends_with('\n') && aBytes.starts_with('\n');
  return isEndSplit || aBytes.find(kEventEnd) != std::string_view::npos;
}

std::string
EventAssembler::TakeRemainder()
{
  return std::move(mBuffer);
}

void
EventAssembler::BeginResumption()
{
  mBuffer.clear();
  mIsResumed = true;
}

bool
EventAssembler::ShouldForward(std::string_view aEvent)
{
  const auto id = ParseEventId(aEvent);
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
