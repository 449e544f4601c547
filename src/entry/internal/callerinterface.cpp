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

/** Shorter than the guaranteed time for taking an availability zone out of
 * service, so that cached addresses expire within it. */
constexpr std::chrono::seconds kAddressesTtl{ 2 };
constexpr char kCallsPath[] = "/v1/calls/";
constexpr char kWorkspaceHeader[] = "x-workspace";
constexpr char kTimeoutHeader[] = "x-timeout-milliseconds";
constexpr char kTicketHeader[] = "idempotency-key";

/** Runs a function and sends an error response if it fails. */
template<typename Function>
void
ReplyOnError(net::HttpExchange* aExchange, Function&& aFunction)
{
  global::Resolve(
    [&]() -> Result<void> { return aFunction(); },
    [&](const global::Error& aError) { ReplyError(aExchange, aError); });
}

}

CallerInterface::CallerInterface(SessionContext& aContext)
  : mContext(aContext)
{
}

void
CallerInterface::Handle(net::HttpExchange* aExchange)
{
  const HttpRoute* route = FindHttpRoute(aExchange->Request());
  if (!route) {
    ReplyError(aExchange,
               { ErrorKind::InvalidRequest, "unknown method or path" });
    return;
  }
  if (!mContext.mConfiguration->IsKnown()) {
    ReplyError(aExchange,
               { ErrorKind::NotReady, "no configuration is known yet" });
    return;
  }
  if (route->mIsNewWork && mContext.mConfiguration->IsSelfOutOfService()) {
    RedirectToOtherEntry(aExchange);
    return;
  }
  (this->*route->mHandler)(aExchange);
}

const CallerInterface::HttpRoute*
CallerInterface::FindHttpRoute(const net::HttpRequest& aRequest) const
{
  static const HttpRoute sHttpRoutes[] = {
    { "GET", "/v1/addresses", &CallerInterface::HandleAddresses, false },
    { "POST", "/v1/chat/completions", &CallerInterface::HandleChat, true },
    { "POST", "/v1/tickets/", &CallerInterface::HandleIssueTicket, true },
    { "POST", kCallsPath, &CallerInterface::HandleCall, true },
    { "POST", "/v1/outcomes", &CallerInterface::HandleOutcome, false },
  };
  const auto* it =
    std::find_if(std::begin(sHttpRoutes),
                 std::end(sHttpRoutes),
                 [&](const HttpRoute& aRoute) {
                   const QByteArray path(aRoute.mPath);
                   const bool isPathMatch = path.endsWith('/')
                                              ? aRequest.mPath.startsWith(path)
                                              : aRequest.mPath == path;
                   return aRequest.mMethod == aRoute.mMethod && isPathMatch;
                 });
  return it == std::end(sHttpRoutes) ? nullptr : it;
}

void
CallerInterface::HandleAddresses(net::HttpExchange* aExchange)
{
  const std::string key =
    mContext.mSettings->VmName() + std::to_string(++mAddressSelections);
  Json addresses = Json::array();
  const auto tables = mContext.mConfiguration->CurrentTables();
  const auto vms = mContext.mConfiguration->CurrentVms();
  const bool isSelfOut = mContext.mConfiguration->IsSelfOutOfService();
  for (const auto& address : routing::SelectAddresses(*tables, *vms, key)) {
    // The list of VMs may still contain this process while it stops.
    if (isSelfOut && address.mVm == mContext.mSettings->VmName()) {
      continue;
    }
    addresses.push_back({ { "url", "http://" + address.mAddress },
                          { "availabilityZone", address.mAvailabilityZone } });
  }
  const Json body{ { "addresses", addresses },
                   { "ttlSeconds", kAddressesTtl.count() },
                   { "revision", tables->Revision() } };
  ReplyJson(aExchange, 200, body.dump());
}

void
CallerInterface::HandleChat(net::HttpExchange* aExchange)
{
  ReplyOnError(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(request, ParseRequest(http, configuration::kChatKind));
    BOOST_LEAF_AUTO(isStreamed, ParseIsStreamed(request.mBody));
    BOOST_LEAF_AUTO(resumePosition, ParseResumePosition(http));
    std::make_shared<RelaySession>(
      mContext, aExchange, std::move(request), isStreamed, resumePosition)
      ->Start();
    return {};
  });
}

void
CallerInterface::HandleCall(net::HttpExchange* aExchange)
{
  ReplyOnError(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(
      request,
      ParseRequest(http, http.mPath.mid(sizeof(kCallsPath) - 1).toStdString()));
    BOOST_LEAF_AUTO(ticket, ParseTicket(http));
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
CallerInterface::HandleIssueTicket(net::HttpExchange* aExchange)
{
  ReplyOnError(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(
      request,
      ParseRequest(http,
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
  ReplyOnError(aExchange, [&]() -> Result<void> {
    const net::HttpRequest& http = aExchange->Request();
    BOOST_LEAF_AUTO(ticket, ParseTicket(http));
    if (!ticket) {
      return global::Fail(
        ErrorKind::UnknownTicket,
        "the Idempotency-Key header with the ticket is missing");
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
CallerInterface::RedirectToOtherEntry(net::HttpExchange* aExchange)
{
  const std::string key =
    mContext.mSettings->VmName() + std::to_string(++mAddressSelections);
  const auto addresses =
    routing::SelectAddresses(*mContext.mConfiguration->CurrentTables(),
                             *mContext.mConfiguration->CurrentVms(),
                             key);
  const auto other =
    std::find_if(addresses.begin(),
                 addresses.end(),
                 [&](const routing::EntryAddress& aAddress) {
                   return aAddress.mVm != mContext.mSettings->VmName();
                 });
  if (other == addresses.end()) {
    ReplyError(
      aExchange,
      { ErrorKind::NotRun,
        "this entry accepts no new requests and no other entry is known" });
    return;
  }
  const std::string location =
    "http://" + other->mAddress + aExchange->Request().mPath.toStdString();
  ReplyError(aExchange,
             { ErrorKind::OutOfService, "this entry accepts no new requests" },
             { .mLocation = location });
}

Result<CallerRequest>
CallerInterface::ParseRequest(const net::HttpRequest& aRequest,
                              const std::string& aKind) const
{
  CallerRequest request{ .mWorkspace =
                           aRequest.Header(kWorkspaceHeader).toStdString(),
                         .mKind = aKind,
                         .mBody = aRequest.mBody.toStdString() };
  if (request.mWorkspace.empty()) {
    return global::Fail(ErrorKind::InvalidRequest,
                        "the X-Workspace header is missing");
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
  // Whether a request was sent is determined from reads of its body, so the
  // body must not be empty.
  if (request.mBody.empty()) {
    request.mBody = "{}";
  }
  return request;
}

Result<bool>
CallerInterface::ParseIsStreamed(const std::string& aBody)
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

Result<ResumePosition>
CallerInterface::ParseResumePosition(const net::HttpRequest& aRequest)
{
  const QByteArray id = aRequest.Header("last-event-id");
  if (id.isEmpty()) {
    return ResumePosition();
  }
  BOOST_LEAF_AUTO(position, transport::DecodePosition(id.toStdString()));
  return ResumePosition(position);
}

Result<std::optional<v1::Ticket>>
CallerInterface::ParseTicket(const net::HttpRequest& aRequest)
{
  const QByteArray text = aRequest.Header(kTicketHeader);
  if (text.isEmpty()) {
    return std::optional<v1::Ticket>();
  }
  BOOST_LEAF_AUTO(ticket, transport::DecodeTicket(text.toStdString()));
  return std::optional<v1::Ticket>(ticket);
}

}
