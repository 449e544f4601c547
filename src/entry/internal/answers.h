#pragma once

#include "framework/global/errors.h"
#include "framework/net/httpexchange.h"

#include <string>

namespace beryllever::entry {

/** What an error answer says besides the error. */
struct AnswerDetails
{
  /** Where the caller can go instead. */
  std::string mLocation;
  /** Ticket with which the caller can ask for the outcome later. */
  std::string mTicket;
};

/** Body of an error answer, in JSON. */
std::string
ErrorBody(const global::Error& aError, const AnswerDetails& aDetails = {});

/** Answers with an error, as the closed table of errors says. */
void
AnswerError(net::HttpExchange* aExchange,
            const global::Error& aError,
            const AnswerDetails& aDetails = {});

/** Answers with JSON. */
void
AnswerJson(net::HttpExchange* aExchange, int aStatus, const std::string& aBody);

}
