#pragma once

#include "published/publishedtypes.h"

#include <functional>

namespace beryllever::published {

/** What a source hands over; all calls come on the control thread. */
class ISourceListener
{
public:
  virtual ~ISourceListener() = default;

  /** All items whose revision is at most aRevision; later changes may be among
   * them. */
  virtual void TakeListing(std::vector<Record> aRecords,
                           uint64_t aRevision) = 0;
  /** Changes since the last listing or change, up to aRevision. */
  virtual void TakeChanges(std::vector<Record> aRecords,
                           uint64_t aRevision) = 0;
  /** The source has answered. */
  virtual void TakeContact() = 0;
  /** The source has refused, failed or not answered. */
  virtual void TakeFailure(const std::string& aReason) = 0;
};

/** The platform's published items. They are only read. */
class IPublishedSource
{
public:
  virtual ~IPublishedSource() = default;

  /** Lists everything, then waits for changes until Stop. */
  virtual void Start(ISourceListener& aListener) = 0;
  virtual void Stop() = 0;
};

}
