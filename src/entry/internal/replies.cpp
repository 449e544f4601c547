#include "entry/internal/replies.h"

#include <nlohmann/json.hpp>

namespace beryllever::entry {

namespace {

QByteArray
Bytes(std::string_view aText)
{
  return QByteArray(aText.data(), static_cast<qsizetype>(aText.size()));
}

}

std::string
MakeErrorBody(const global::Error& aError, const ErrorDetails& aDetails)
{
  const global::Answer& answer = global::AnswerFor(aError.mKind);
  nlohmann::json error{ { "kind", answer.mName },
                        { "message", aError.mMessage },
                        { "execution", global::NameOf(answer.mExecution) },
                        { "retryable", answer.mRetryable } };
  if (!aDetails.mTicket.empty()) {
    error["ticket"] = aDetails.mTicket;
  }
  return nlohmann::json{ { "error", error } }.dump();
}

void
ReplyError(net::HttpExchange* aExchange,
           const global::Error& aError,
           const ErrorDetails& aDetails)
{
  const global::Answer& answer = global::AnswerFor(aError.mKind);
  net::Headers headers{ { "Content-Type", "application/json" },
                        { "X-Error-Kind", Bytes(answer.mName) },
                        { "X-Execution",
                          Bytes(global::NameOf(answer.mExecution)) } };
  if (answer.mRetryable) {
    headers.emplaceBack("Retry-After", "1");
  }
  if (!aDetails.mLocation.empty()) {
    headers.emplaceBack("Location", Bytes(aDetails.mLocation));
  }
  aExchange->Reply(
    answer.mHttpStatus, headers, Bytes(MakeErrorBody(aError, aDetails)));
}

void
ReplyJson(net::HttpExchange* aExchange, int aStatus, const std::string& aBody)
{
  aExchange->Reply(
    aStatus, { { "Content-Type", "application/json" } }, Bytes(aBody));
}

}
