#include "cli/commands.h"
#include "cli/internal/client.h"
#include "framework/global/identifiers.h"
#include "framework/tracing/tracer.h"

#include <iostream>

namespace beryllever::cli {

using settings::Json;

namespace {

constexpr std::chrono::hours kChatTime{ 1 };
constexpr std::chrono::minutes kCallTime{ 2 };
constexpr int kMaxTries = 5;

/** Base URLs of the entries to use, the asked one last. */
std::vector<std::string>
EntriesFor(Client& aClient, const std::string& aEntry)
{
  std::vector<std::string> entries;
  const ClientAnswer answer = aClient.Get(aEntry + "/v1/addresses");
  const Json json =
    Json::parse(answer.mAnswer.mBody.toStdString(), nullptr, false);
  if (json.is_object() && json.contains("addresses")) {
    for (const Json& address : json["addresses"]) {
      entries.push_back(address.value("url", ""));
    }
  }
  entries.push_back(aEntry);
  return entries;
}

net::Headers
HeadersFor(const SendOptions& aOptions, const tracing::TraceContext& aTrace)
{
  net::Headers headers{
    { "Content-Type", "application/json" },
    { "X-Workspace", QByteArray::fromStdString(aOptions.mWorkspace) },
    { "traceparent", QByteArray::fromStdString(aTrace.ToHeader()) }
  };
  if (aOptions.mTimeoutMilliseconds > 0) {
    headers.emplaceBack("X-Timeout-Milliseconds",
                        QByteArray::number(aOptions.mTimeoutMilliseconds));
  }
  return headers;
}

tracing::TraceContext
NewTrace()
{
  return { global::RandomHex(16), global::RandomHex(8) };
}

/** Prints the text of server-sent events and remembers the last event's id. */
class EventPrinter
{
public:
  explicit EventPrinter(bool aIsJson)
    : mIsJson(aIsJson)
  {
  }

  void Take(const QByteArray& aBytes)
  {
    mPartial += aBytes;
    for (qsizetype end = mPartial.indexOf("\n\n"); end >= 0;
         end = mPartial.indexOf("\n\n")) {
      TakeEvent(mPartial.left(end));
      mPartial.remove(0, end + 2);
    }
  }

  /** Forgets a partial event, which comes again with the resumed answer. */
  void Reset() { mPartial.clear(); }
  const QByteArray& LastId() const { return mLastId; }
  bool IsDone() const { return mIsDone; }

private:
  void TakeEvent(const QByteArray& aEvent)
  {
    for (const QByteArray& line : aEvent.split('\n')) {
      if (line.startsWith("id: ")) {
        mLastId = line.mid(4);
      } else if (line.startsWith("data: ")) {
        Print(line.mid(6));
      }
    }
  }

  void Print(const QByteArray& aData)
  {
    if (aData == "[DONE]") {
      mIsDone = true;
      return;
    }
    if (mIsJson) {
      std::cout << aData.toStdString() << std::endl;
      return;
    }
    const Json json = Json::parse(aData.toStdString(), nullptr, false);
    const Json::json_pointer content("/choices/0/delta/content");
    if (json.is_object() && json.contains(content) &&
        json[content].is_string()) {
      std::cout << json[content].get<std::string>() << std::flush;
    }
  }

  const bool mIsJson;
  QByteArray mPartial;
  QByteArray mLastId;
  bool mIsDone = false;
};

/** Whether another entry may be tried: the answer says so, or a stream broke
 * off. */
bool
MayTryAgain(const ClientAnswer& aAnswer, bool aCanResume)
{
  const bool isCut = !aAnswer.mOutcome.mIsComplete;
  const bool isNotRun = aAnswer.mAnswer.Header("X-Execution") == "not_run" &&
                        !aAnswer.mAnswer.Header("Retry-After").isEmpty();
  return isNotRun || (isCut && (aCanResume || !aAnswer.mOutcome.mIsSent));
}

int
StreamChat(Client& aClient,
           const SendOptions& aOptions,
           const CommonOptions& aCommon,
           const Json& aBody)
{
  const tracing::TraceContext trace = NewTrace();
  const auto entries = EntriesFor(aClient, aOptions.mEntry);
  EventPrinter printer(aCommon.mIsJson);
  ClientAnswer answer;
  for (int i = 0; i < kMaxTries; ++i) {
    net::HttpCallRequest request{
      .mMethod = "POST",
      .mUrl = QUrl(QString::fromStdString(entries[i % entries.size()] +
                                          "/v1/chat/completions")),
      .mHeaders = HeadersFor(aOptions, trace),
      .mBody = QByteArray::fromStdString(aBody.dump())
    };
    if (!printer.LastId().isEmpty()) {
      request.mHeaders.emplaceBack("Last-Event-ID", printer.LastId());
    }
    printer.Reset();
    answer = aClient.Send(request, kChatTime, [&](const QByteArray& aBytes) {
      printer.Take(aBytes);
    });
    if (printer.IsDone() || !MayTryAgain(answer, true)) {
      break;
    }
  }
  if (!printer.IsDone()) {
    return ReportFailure(answer, aCommon.mIsJson);
  }
  if (!aCommon.mIsJson) {
    std::cout << std::endl << "trace: " << trace.mTraceId << std::endl;
  }
  return kExitGood;
}

/** Sends a request whole, to the next entry as long as it has not run. */
ClientAnswer
SendWhole(Client& aClient,
          const SendOptions& aOptions,
          const std::string& aPath,
          const std::string& aBody,
          const tracing::TraceContext& aTrace)
{
  const auto entries = EntriesFor(aClient, aOptions.mEntry);
  ClientAnswer answer;
  for (int i = 0; i < kMaxTries; ++i) {
    net::HttpCallRequest request{ .mMethod = "POST",
                                  .mUrl = QUrl(QString::fromStdString(
                                    entries[i % entries.size()] + aPath)),
                                  .mHeaders = HeadersFor(aOptions, aTrace),
                                  .mBody = QByteArray::fromStdString(aBody) };
    if (!aOptions.mTicket.empty()) {
      request.mHeaders.emplaceBack("Idempotency-Key",
                                   QByteArray::fromStdString(aOptions.mTicket));
    }
    answer = aClient.Send(request, kCallTime);
    // A ticket makes every copy of a request safe to send.
    if (!MayTryAgain(answer, !aOptions.mTicket.empty())) {
      break;
    }
  }
  return answer;
}

int
PrintWhole(const ClientAnswer& aAnswer,
           const CommonOptions& aCommon,
           const tracing::TraceContext& aTrace)
{
  if (!aAnswer.mOutcome.mIsComplete || aAnswer.mOutcome.mStatus != 200) {
    return ReportFailure(aAnswer, aCommon.mIsJson);
  }
  std::cout << aAnswer.mAnswer.mBody.toStdString() << std::endl;
  if (!aCommon.mIsJson) {
    std::cout << "trace: " << aTrace.mTraceId << std::endl;
  }
  return kExitGood;
}

}

int
SendChat(const SendOptions& aOptions, const CommonOptions& aCommon)
{
  Client client;
  const Json message{ { "role", "user" }, { "content", aOptions.mText } };
  const Json body{ { "messages", Json::array({ message }) },
                   { "stream", !aOptions.mIsWhole } };
  if (!aOptions.mIsWhole) {
    return StreamChat(client, aOptions, aCommon, body);
  }
  const tracing::TraceContext trace = NewTrace();
  return PrintWhole(
    SendWhole(client, aOptions, "/v1/chat/completions", body.dump(), trace),
    aCommon,
    trace);
}

int
SendCall(const SendOptions& aOptions, const CommonOptions& aCommon)
{
  Client client;
  const tracing::TraceContext trace = NewTrace();
  SendOptions options = aOptions;
  if (options.mTicket.empty()) {
    // With a ticket of its own the call can be sent again after a lost answer.
    const ClientAnswer issued =
      SendWhole(client, options, "/v1/tickets/" + options.mKind, "{}", trace);
    const Json json =
      Json::parse(issued.mAnswer.mBody.toStdString(), nullptr, false);
    if (issued.mOutcome.mStatus != 201 || !json.is_object()) {
      return ReportFailure(issued, aCommon.mIsJson);
    }
    options.mTicket = json.value("ticket", "");
    std::cerr << "ticket: " << options.mTicket << std::endl;
  }
  return PrintWhole(
    SendWhole(
      client, options, "/v1/calls/" + options.mKind, options.mText, trace),
    aCommon,
    trace);
}

int
Outcome(const SendOptions& aOptions, const CommonOptions& aCommon)
{
  Client client;
  const tracing::TraceContext trace = NewTrace();
  return PrintWhole(
    SendWhole(client, aOptions, "/v1/outcomes", "{}", trace), aCommon, trace);
}

}
