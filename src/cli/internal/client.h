#pragma once

#include "framework/net/httpcall.h"

#include <functional>
#include <string>

namespace beryllever::cli {

/** Answer of an HTTP request, waited for. */
struct ClientAnswer
{
  net::HttpOutcome mOutcome;
  net::HttpAnswer mAnswer;
};

/** HTTP requests that the tool waits for. */
class Client
{
public:
  /** Sends a request; the function, if any, gets the answer's bytes as they
   * come. */
  ClientAnswer Send(
    const net::HttpCallRequest& aRequest,
    std::chrono::milliseconds aTimeout,
    const std::function<void(const QByteArray&)>& aOnBytes = {});
  ClientAnswer Get(const std::string& aUrl);
};

/** Prints why there is no good answer, and returns the exit code for it. */
int
ReportFailure(const ClientAnswer& aAnswer, bool aIsJson);

}
