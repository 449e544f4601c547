#pragma once

#include "framework/global/errors.h"
#include "framework/net/httpexchange.h"

#include <string>

namespace beryllever::entry {

/** Optional details of an error response. */
struct ErrorDetails
{
  /** URL at which the caller can retry; sent in the Location header. */
  std::string mLocation;
  /** Ticket with which the caller can query the outcome later. */
  std::string mTicket;
};

/** JSON body of an error response. */
std::string
MakeErrorBody(const global::Error& aError, const ErrorDetails& aDetails = {});

/** Sends an error response. Status and header fields follow from the error
 * kind.
 */
void
ReplyError(net::HttpExchange* aExchange,
           const global::Error& aError,
           const ErrorDetails& aDetails = {});

void
ReplyJson(net::HttpExchange* aExchange, int aStatus, const std::string& aBody);

}
