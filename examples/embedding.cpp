// Uses the coordination parts without the daemon: revision spread, credits,
// tickets, step leases.
#include "credits/leasemanager.h"
#include "framework/global/identifiers.h"
#include "spread/revisionstore.h"
#include "steplease/grouplead.h"
#include "steplease/ranklease.h"
#include "tickets/ticketbook.h"

#include <iostream>

using namespace beryllever;

namespace {

bool
SpreadRevisions()
{
  spread::RevisionStore source;
  spread::RevisionStore follower;
  source.TakeSnapshot({ { "colour", "green", 7, false } }, 7);
  follower.Apply(source.ChangesSince(follower.Revision()));
  return follower.Revision() == 7 && follower.Digest() == source.Digest();
}

bool
LeaseCredits(const global::IClock& aClock)
{
  credits::LeaseManager ledger(aClock);
  ledger.SetCapacity(2);
  const credits::Lease lease =
    ledger.Renew("client", { .mInUse = 0, .mWanted = 5 });
  const bool isFirstIn = ledger.Admit("client") == credits::Admission::Admitted;
  const bool isOtherIn = ledger.Admit("other") == credits::Admission::Admitted;
  return lease.mSlots == 2 && isFirstIn && !isOtherIn;
}

bool
RunOnce(const global::IClock& aClock)
{
  tickets::TicketBook book(
    aClock, "10.0.0.1:7000", global::NewIncarnation(), 1 << 20);
  const tickets::Ticket ticket = book.Issue();
  const bool isFirstRun = book.Begin(ticket);
  const bool isSecondRun = book.Begin(ticket);
  book.Complete(ticket, 200, "done");
  return isFirstRun && !isSecondRun && book.GetOutcome(ticket).mBody == "done";
}

bool
LeadGroup()
{
  steplease::RankLease rank(0, 1, 1, steplease::Schedule());
  steplease::GroupLead lead({ 1, "vm", 1 }, { 1 });
  for (const auto& request : lead.PromiseRequests()) {
    lead.HandlePromiseReply(rank.HandlePromiseRequest(request));
  }
  lead.Extend(42, 100);
  for (const auto& grant : lead.GrantRequests()) {
    rank.HandleGrantRequest(grant);
  }
  return rank.Granted().MapAt(99) == 42;
}

}

int
main()
{
  const global::SteadyClock clock;
  const bool isGood =
    SpreadRevisions() && LeaseCredits(clock) && RunOnce(clock) && LeadGroup();
  std::cout << (isGood ? "all parts work" : "a part does not work")
            << std::endl;
  return isGood ? 0 : 1;
}
