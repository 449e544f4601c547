#pragma once

#include "published/publishedtypes.h"

namespace beryllever::published {

/** Decodes published items; implemented by the platform's adapter, which knows
 * their format. */
class IRecordCodec
{
public:
  virtual ~IRecordCodec() = default;

  /** Never throws: an item that cannot be decoded is Unreadable with a reason.
   */
  virtual Item Decode(const std::string& aKey,
                      const std::string& aData) const = 0;
};

}
