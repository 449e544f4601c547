#pragma once

#include "framework/net/httpclientconnection.h"

#include <string>

namespace beryllever::gateway {

/** Removes the hop-by-hop fields, including those that the Connection field
 * lists. */
void
RemoveHopByHopFields(net::http::fields& aFields);

/** Returns the Host field without its port. */
std::string
HostOf(const net::http::fields& aFields);

}
