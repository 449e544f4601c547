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
  /** Address of the agent that issued the ticket. */
  std::string mEndpoint;
  uint64_t mIncarnation = 0;
  /** Sequence number within the incarnation. */
  uint64_t mNumber = 0;
};

/** State of a ticket and its request. */
enum class TicketState
{
  /** Issued; its request has not begun. */
  Open,
  /** The request has begun; its outcome is not known yet. */
  Running,
  /** The back end has answered. */
  Done,
  /** The request has not run and never will. */
  Void,
  /** The request may or may not have run. */
  Unknown,
  /** Never issued by this agent. */
  Foreign,
};

/** State of a ticket, with the answer of the back end if it is Done. */
struct Outcome
{
  TicketState mState = TicketState::Foreign;
  int mHttpStatus = 0;
  std::string mBody;
};

/**
 * The tickets of one incarnation of an agent. The request of a ticket runs at
 * most once. The records are held in memory only: a new incarnation reports the
 * tickets of an older one as Unknown, since it cannot tell that they have not
 * run.
 */
class TicketBook
{
public:
  TicketBook(const global::IClock& aClock,
             std::string aEndpoint,
             uint64_t aIncarnation,
             size_t aMaxBytes);

  /** Issues a ticket whose request can begin until a deadline. */
  Ticket Issue();
  /** Begins the request. Returns true at most once for a ticket, and only
   * before its deadline. */
  bool Begin(const Ticket& aTicket);
  /** Records the back end's answer. */
  void Complete(const Ticket& aTicket,
                int aHttpStatus,
                const std::string& aBody);
  /** Records that no byte of the request has reached the back end, and none
   * will. */
  void Cancel(const Ticket& aTicket);
  /** Records that the back end's answer is lost, so the outcome is unknown. */
  void MarkUnknown(const Ticket& aTicket);

  /** Returns the outcome without changing it. */
  Outcome GetOutcome(const Ticket& aTicket);
  /** Returns the outcome. An open ticket becomes void, so that a late copy of
   * the request cannot run. */
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
    global::TimePoint mEvictionDeadline;
  };

  Record* Find(const Ticket& aTicket);
  void EndRunning(const Ticket& aTicket, TicketState aState);
  void EvictRecords();
  void Evict(std::map<uint64_t, Record>::iterator aIt);

  const global::IClock& mClock;
  const std::string mEndpoint;
  const uint64_t mIncarnation;
  const size_t mMaxBytes;
  uint64_t mIssued = 0;
  /** Highest number of an evicted record; lower ones may still have records. */
  uint64_t mEvictedUpTo = 0;
  size_t mHeldBytes = 0;
  std::map<uint64_t, Record> mRecords;
};

}
