#pragma once

#include "published/publishedtypes.h"

#include <functional>

namespace beryllever::published {

/** Receives what a source has read; all calls are on the control thread. */
class ISourceListener
{
public:
  virtual ~ISourceListener() = default;

  /** All items of the era up to aPosition; later changes may be included. */
  virtual void HandleListing(std::vector<Record> aRecords,
                             const StorePosition& aPosition) = 0;
  /** Changes since the last listing or change, up to aPosition. */
  virtual void HandleChanges(std::vector<Record> aRecords,
                             const StorePosition& aPosition) = 0;
  /** The source has answered. */
  virtual void HandleContact() = 0;
  /** The source has refused or failed, or has not answered in time. */
  virtual void HandleFailure(const std::string& aReason) = 0;
};

/** Read-only access to the platform's published items. */
class IPublishedSource
{
public:
  virtual ~IPublishedSource() = default;

  /** Lists all items, then watches for changes until Stop. */
  virtual void Start(ISourceListener& aListener) = 0;
  virtual void Stop() = 0;
};

}
