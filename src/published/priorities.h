#pragma once

#include "published/publishedtypes.h"

namespace beryllever::published {

/** Names of the pools whose requests have different priorities: those of their
 * routes, or of the workspaces that may use these routes, differ. */
std::set<std::string>
FindPrioritizedPools(const Configuration& aConfiguration);

}
