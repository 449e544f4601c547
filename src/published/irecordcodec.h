#pragma once

#include "published/publishedtypes.h"

namespace beryllever::published {

/** Reads published items; the platform's adapter knows their format. */
class IRecordCodec
{
public:
  virtual ~IRecordCodec() = default;

  /** Never throws: an item that cannot be read is Unreadable with a reason. */
  virtual Item Decode(const std::string& aKey,
                      const std::string& aData) const = 0;
};

}
