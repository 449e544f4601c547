#pragma once

#include "framework/global/iclock.h"

#include <cstdint>
#include <map>
#include <string>

namespace beryllever::tickets {

/** Permission to run one non-idempotent request once, at one incarnation of one
 * agent. */
struct Ticket
{
  /** Address of the agent that has issued the ticket. */
  std::string mEndpoint;
  uint64_t mIncarnation = 0;
  /** Counts the tickets of the incarnation. */
  uint64_t mNumber = 0;
};

/** What is known about the request of a ticket. */
enum class TicketState
{
  /** Issued; nothing has come for it. */
  Open,
  /** Handed to the back end; no answer yet. */
  Running,
  /** The back end has answered. */
  Done,
  /** It has not run and never will. */
  Void,
  /** It may or may not have run. */
  Unknown,
  /** Never issued by this incarnation. */
  Foreign,
};

/** Answer of the back end to the request of a ticket. */
struct Outcome
{
  TicketState mState = TicketState::Foreign;
  int mHttpStatus = 0;
  std::string mBody;
};

/**
 * The tickets of one incarnation of an agent. Each ticket is run at most once.
 * The book lives in memory: a new incarnation knows nothing of an older one's
 * tickets and says so, rather than that they have not run.
 */
class TicketBook
{
public:
  TicketBook(const global::IClock& aClock,
             std::string aEndpoint,
             uint64_t aIncarnation,
             size_t aMaxBytes);

  /** Issues a ticket that can be begun until its deadline. */
  Ticket Issue();
  /** Begins the request: true exactly once for a ticket, and only before its
   * deadline. */
  bool Begin(const Ticket& aTicket);
  /** Records the back end's answer. */
  void Complete(const Ticket& aTicket,
                int aHttpStatus,
                const std::string& aBody);
  /** Records that no byte of the request has reached the back end; it never
   * will. */
  void Cancel(const Ticket& aTicket);
  /** Records that the back end's answer is lost. */
  void Lose(const Ticket& aTicket);

  /** What is known, without changing it. */
  Outcome Look(const Ticket& aTicket);
  /** What is known; an open ticket is made void, so that a late copy cannot
   * run. */
  Outcome Settle(const Ticket& aTicket);

  uint64_t Incarnation() const { return mIncarnation; }
  size_t HeldBytes() const { return mHeldBytes; }

private:
  struct Record
  {
    TicketState mState = TicketState::Open;
    int mHttpStatus = 0;
    std::string mBody;
    global::TimePoint mBeginDeadline;
    global::TimePoint mForgetDeadline;
  };

  Record* Find(const Ticket& aTicket);
  void End(const Ticket& aTicket, TicketState aState);
  void Forget();
  void Erase(std::map<uint64_t, Record>::iterator aIt);

  const global::IClock& mClock;
  const std::string mEndpoint;
  const uint64_t mIncarnation;
  const size_t mMaxBytes;
  uint64_t mIssued = 0;
  /** Records up to this number may be gone. */
  uint64_t mForgottenUpTo = 0;
  size_t mHeldBytes = 0;
  std::map<uint64_t, Record> mRecords;
};

}
