#pragma once

#include "entry/internal/relaysession.h"
#include "entry/internal/session.h"
#include "entry/internal/ticketsession.h"

#include <memory>

namespace beryllever::entry {

/**
 * The HTTP interface for callers. Checks a request and starts its session.
 * Lives on the traffic thread.
 */
class CallerInterface
{
public:
  explicit CallerInterface(SessionContext& aContext);

  void Handle(net::HttpExchange* aExchange);

private:
  using Handler = void (CallerInterface::*)(net::HttpExchange*);
  struct Entry
  {
    const char* mMethod;
    const char* mPath;
    Handler mHandler;
    /** Whether it is new work, which an entry out of service sends elsewhere.
     */
    bool mIsWork;
  };

  const Entry* Find(const net::HttpRequest& aRequest) const;
  void HandleAddresses(net::HttpExchange* aExchange);
  void HandleChat(net::HttpExchange* aExchange);
  void HandleCall(net::HttpExchange* aExchange);
  void HandleIssue(net::HttpExchange* aExchange);
  void HandleOutcome(net::HttpExchange* aExchange);
  void SendElsewhere(net::HttpExchange* aExchange);

  global::Result<CallerRequest> ReadRequest(const net::HttpRequest& aRequest,
                                            const std::string& aKind) const;
  static global::Result<bool> ReadIsStreamed(const std::string& aBody);
  static global::Result<ResumeFrom> ReadResumeFrom(
    const net::HttpRequest& aRequest);
  static global::Result<std::optional<v1::Ticket>> ReadTicket(
    const net::HttpRequest& aRequest);

  SessionContext& mContext;
  uint64_t mAddressAnswers = 0;
};

}
