#include "entry/internal/callerinterface.h"

#include "framework/settings/jsondocument.h"
#include "routing/addressselector.h"
#include "transport/tokens.h"

#include <algorithm>

namespace beryllever::entry {

using global::ErrorKind;
using global::Result;
using settings::Json;

namespace {

/** Shorter than the promise about availability zones, so that kept answers end
 * before it does. */
constexpr std::chrono::seconds kAddressesTtl{ 2 };
constexpr char kCallsPath[] = "/v1/calls/";
constexpr char kWorkspaceHeader[] = "x-workspace";
constexpr char kTimeoutHeader[] = "x-timeout-milliseconds";
constexpr char kTicketHeader[] = "idempotency-key";

/** Runs a function that may fail, and answers with its error. */
template<typename Function>
void
AnswerIfFailed(net::HttpExchange* aExchange, Function&& aFunction)
{
  global::Resolve(
    [&]() -> Result<void> { return aFunction(); },
    [&](const global::Error& aError) { AnswerError(aExchange, aError); });
}

}

CallerInterface::CallerInterface(SessionContext& aContext)
  : mContext(aContext)
{
}

void
CallerInterface::Handle(net::HttpExchange* aExchange)
{
  const Entry* entry = Find(aExchange->Request());
  if (!entry) {
    AnswerError(
      aExchange,
      { ErrorKind::InvalidRequest, "there is no such method and path" });
    return;
  }
  if (!mContext.mConfiguration->IsKnown()) {
    AnswerError(aExchange,
                { ErrorKind::NotReady, "no configuration is known yet" });
    return;
  }
  if (entry->mIsWork && mContext.mConfiguration->IsSelfOutOfService()) {
    SendElsewhere(aExchange);
    return;
  }
  (this->*entry->mHandler)(aExchange);
}

const CallerInterface::Entry*
CallerInterface::Find(const net::HttpRequest& aRequest) const
{
  static const Entry sEntries[] = {
    { "GET", "/v1/addresses", &CallerInterface::HandleAddresses, false },
    { "POST", "/v1/chat/completions", &CallerInterface::HandleChat, true },
    { "POST", "/v1/tickets/", &CallerInterface::HandleIssue, true },
    { "POST", kCallsPath, &CallerInterface::HandleCall, true },
    { "POST", "/v1/outcomes", &CallerInterface::HandleOutcome, false },
  };
  const auto* it = std::find_if(
    std::begin(sEntries), std::end(sEntries), [&](const Entry& aEntry) {
      const QByteArray path(aEntry.mPath);
      const bool isPathMatch = path.endsWith('/')
                                 ? aRequest.mPath.startsWith(path)
                                 : aRequest.mPath == path;
      return aRequest.mMethod == aEntry.mMethod && isPathMatch;
    });
  return it == std::end(sEntries) ? nullptr : it;
}

void
CallerInterface::HandleAddresses(net::HttpExchange* aExchange)
{
  const std::string key =
    mContext.mSettings->VmName() + std::to_string(++mAddressAnswers);
  Json addresses = Json::array();
  const auto tables = mContext.mConfiguration->CurrentTables();
  const auto vms = mContext.mConfiguration->CurrentVms();
  const bool isSelfOut = mContext.mConfiguration->IsSelfOutOfService();
  for (const auto& address : routing::SelectAddresses(*tables, *vms, key)) {
    // A process that stops knows it before the platform's list does.
    if (isSelfOut && address.mVm == mContext.mSettings->VmName()) {
      continue;
    }
    addresses.push_back({ { "url", "http://" + address.mAddress },
                          { "availabilityZone", address.mAvailabilityZone } });
  }
  const Json body{ { "addresses", addresses },
                   { "ttlSeconds", kAddressesTtl.count() },
                   { "revision", tables->Revision() } };
  AnswerJson(aExchange, 200, body.dump());
}

void
CallerInterface::HandleChat(net::HttpExchange* aExchange)
{
  AnswerIfFailed(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(request, ReadRequest(http, configuration::kChatKind));
    BOOST_LEAF_AUTO(isStreamed, ReadIsStreamed(request.mBody));
    BOOST_LEAF_AUTO(resumeFrom, ReadResumeFrom(http));
    std::make_shared<RelaySession>(
      mContext, aExchange, std::move(request), isStreamed, resumeFrom)
      ->Start();
    return {};
  });
}

void
CallerInterface::HandleCall(net::HttpExchange* aExchange)
{
  AnswerIfFailed(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(
      request,
      ReadRequest(http, http.mPath.mid(sizeof(kCallsPath) - 1).toStdString()));
    BOOST_LEAF_AUTO(ticket, ReadTicket(http));
    if (request.mRoute->mIsIdempotent && !ticket) {
      std::make_shared<RelaySession>(
        mContext, aExchange, std::move(request), false, std::nullopt)
        ->Start();
    } else {
      std::make_shared<TicketSession>(
        mContext, aExchange, std::move(request), TicketPurpose::Run, ticket)
        ->Start();
    }
    return {};
  });
}

void
CallerInterface::HandleIssue(net::HttpExchange* aExchange)
{
  AnswerIfFailed(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(
      request,
      ReadRequest(http,
                  http.mPath.mid(sizeof("/v1/tickets/") - 1).toStdString()));
    std::make_shared<TicketSession>(mContext,
                                    aExchange,
                                    std::move(request),
                                    TicketPurpose::Issue,
                                    std::nullopt)
      ->Start();
    return {};
  });
}

void
CallerInterface::HandleOutcome(net::HttpExchange* aExchange)
{
  AnswerIfFailed(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(ticket, ReadTicket(http));
    if (!ticket) {
      return global::Fail(
        ErrorKind::UnknownTicket,
        "the header Idempotency-Key with the ticket is missing");
    }
    CallerRequest request{
      .mWorkspace = http.Header(kWorkspaceHeader).toStdString(),
      .mKind = "outcome",
      .mRoute = std::make_shared<configuration::Route>(),
      .mDeadline = mContext.mClock.Now() + configuration::Route().mTimeout
    };
    std::make_shared<TicketSession>(
      mContext, aExchange, std::move(request), TicketPurpose::Settle, ticket)
      ->Start();
    return {};
  });
}

void
CallerInterface::SendElsewhere(net::HttpExchange* aExchange)
{
  const std::string key =
    mContext.mSettings->VmName() + std::to_string(++mAddressAnswers);
  const auto addresses =
    routing::SelectAddresses(*mContext.mConfiguration->CurrentTables(),
                             *mContext.mConfiguration->CurrentVms(),
                             key);
  const auto other =
    std::find_if(addresses.begin(),
                 addresses.end(),
                 [&](const routing::EntryAddress& aDdress) {
                   return aDdress.mVm != mContext.mSettings->VmName();
                 });
  if (other == addresses.end()) {
    AnswerError(
      aExchange,
      { ErrorKind::NotRun, "this entry takes no new work and knows no other" });
    return;
  }
  const std::string location =
    "http://" + other->mAddress + aExchange->Request().mPath.toStdString();
  AnswerError(aExchange,
              { ErrorKind::OutOfService, "this entry takes no new work" },
              { .mLocation = location });
}

Result<CallerRequest>
CallerInterface::ReadRequest(const net::HttpRequest& aRequest,
                             const std::string& aKind) const
{
  CallerRequest request{ .mWorkspace =
                           aRequest.Header(kWorkspaceHeader).toStdString(),
                         .mKind = aKind,
                         .mBody = aRequest.mBody.toStdString() };
  if (request.mWorkspace.empty()) {
    return global::Fail(ErrorKind::InvalidRequest,
                        "the header X-Workspace is missing");
  }
  request.mRoute = mContext.mConfiguration->CurrentTables()->FindRoute(
    request.mWorkspace, aKind);
  if (!request.mRoute) {
    return global::Fail(ErrorKind::UnknownWorkspace,
                        "no route for workspace " + request.mWorkspace +
                          " and kind " + aKind);
  }
  std::chrono::milliseconds timeout = request.mRoute->mTimeout;
  if (const QByteArray text = aRequest.Header(kTimeoutHeader);
      !text.isEmpty()) {
    bool isNumber = false;
    const int milliseconds = text.toInt(&isNumber);
    if (!isNumber || milliseconds < 1) {
      return global::Fail(ErrorKind::InvalidRequest,
                          "X-Timeout-Milliseconds is not a positive number");
    }
    timeout = std::min(timeout, std::chrono::milliseconds(milliseconds));
  }
  request.mDeadline = mContext.mClock.Now() + timeout;
  // The body of a call must not be empty, or its sending could not be told from
  // its not being sent.
  if (request.mBody.empty()) {
    request.mBody = "{}";
  }
  return request;
}

Result<bool>
CallerInterface::ReadIsStreamed(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object() || !json.contains("messages") ||
      !json["messages"].is_array()) {
    return global::Fail(
      ErrorKind::InvalidRequest,
      "the body is not a JSON object with an array of messages");
  }
  const auto it = json.find("stream");
  if (it != json.end() && !it->is_boolean()) {
    return global::Fail(ErrorKind::InvalidRequest, "stream is not a boolean");
  }
  return it != json.end() && it->get<bool>();
}

Result<ResumeFrom>
CallerInterface::ReadResumeFrom(const net::HttpRequest& aRequest)
{
  const QByteArray id = aRequest.Header("last-event-id");
  if (id.isEmpty()) {
    return ResumeFrom();
  }
  BOOST_LEAF_AUTO(position, transport::DecodePosition(id.toStdString()));
  return ResumeFrom(position);
}

Result<std::optional<v1::Ticket>>
CallerInterface::ReadTicket(const net::HttpRequest& aRequest)
{
  const QByteArray text = aRequest.Header(kTicketHeader);
  if (text.isEmpty()) {
    return std::optional<v1::Ticket>();
  }
  BOOST_LEAF_AUTO(ticket, transport::DecodeTicket(text.toStdString()));
  return std::optional<v1::Ticket>(ticket);
}

}
