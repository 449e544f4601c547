#pragma once

#include "entry/internal/relaysession.h"
#include "entry/internal/session.h"
#include "entry/internal/ticketsession.h"

#include <memory>

namespace beryllever::entry {

/**
 * The HTTP interface for callers. Validates a request and starts its session.
 * Runs on the traffic thread.
 */
class CallerInterface
{
public:
  explicit CallerInterface(SessionContext& aContext);

  void Handle(net::HttpExchange* aExchange);

private:
  using Handler = void (CallerInterface::*)(net::HttpExchange*);
  struct HttpRoute
  {
    const char* mMethod;
    const char* mPath;
    Handler mHandler;
    /** Whether the request is new work, which an entry out of service
     * redirects.
     */
    bool mIsNewWork;
  };

  const HttpRoute* FindHttpRoute(const net::HttpRequest& aRequest) const;
  void HandleAddresses(net::HttpExchange* aExchange);
  void HandleChat(net::HttpExchange* aExchange);
  void HandleCall(net::HttpExchange* aExchange);
  void HandleIssueTicket(net::HttpExchange* aExchange);
  void HandleOutcome(net::HttpExchange* aExchange);
  void RedirectToOtherEntry(net::HttpExchange* aExchange);

  global::Result<CallerRequest> ParseRequest(const net::HttpRequest& aRequest,
                                             const std::string& aKind) const;
  static global::Result<bool> ParseIsStreamed(const std::string& aBody);
  static global::Result<ResumePosition> ParseResumePosition(
    const net::HttpRequest& aRequest);
  static global::Result<std::optional<v1::Ticket>> ParseTicket(
    const net::HttpRequest& aRequest);

  SessionContext& mContext;
  uint64_t mAddressSelections = 0;
};

}
