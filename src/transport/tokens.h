#pragma once

#include "beryllever.pb.h"
#include "framework/global/errors.h"

#include <string>

namespace beryllever::transport {

/** Text of a ticket for callers. */
std::string
EncodeTicket(const v1::Ticket& aTicket);
/** Error: UnknownTicket. */
global::Result<v1::Ticket>
DecodeTicket(const std::string& aText);

/** Event id of a place in a stream. */
std::string
EncodePosition(const v1::StreamPosition& aPosition);
/** Error: InvalidRequest. */
global::Result<v1::StreamPosition>
DecodePosition(const std::string& aText);

}
