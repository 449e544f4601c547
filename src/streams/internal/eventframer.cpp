#include "streams/eventframer.h"

namespace beryllever::streams {

namespace {

constexpr char kEventEnd[] = "\n\n";
constexpr char kEndEvent[] = "data: [DONE]\n\n";
constexpr size_t kEventEndBytes = 2;

}

EventFramer::EventFramer(uint64_t aOffset, MakeId aMakeId)
  : mOffset(aOffset)
  , mMakeId(std::move(aMakeId))
{
}

std::string
EventFramer::Add(const std::string& aBytes)
{
  mPartial += aBytes;
  std::string events;
  size_t start = 0;
  for (size_t end = mPartial.find(kEventEnd); end != std::string::npos;
       end = mPartial.find(kEventEnd, start)) {
    const size_t size = end + kEventEndBytes - start;
    mOffset += size;
    events += "id: " + mMakeId(mOffset) + "\n";
    events.append(mPartial, start, size);
    mHasEnded = mPartial.compare(start, size, kEndEvent) == 0;
    start += size;
  }
  mPartial.erase(0, start);
  return events;
}

}
