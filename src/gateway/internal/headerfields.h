#pragma once

#include "framework/net/httpclientconnection.h"

#include <string>

namespace beryllever::gateway {

/** Removes the fields that concern one connection only, and those that the
 * Connection field names. */
void
EraseConnectionFields(net::http::fields& aFields);

/** The Host field without its port. */
std::string
HostOf(const net::http::fields& aFields);

}
