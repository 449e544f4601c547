#include "tickets/ticketbook.h"

#include <algorithm>

namespace beryllever::tickets {

namespace {

constexpr std::chrono::seconds kBeginTimeout{ 60 };
constexpr std::chrono::minutes kRetentionTime{ 15 };
/** Size that a record counts in the memory budget besides its body. */
constexpr size_t kRecordOverheadBytes = 128;

}

TicketBook::TicketBook(const global::IClock& aClock,
                       std::string aEndpoint,
                       uint64_t aIncarnation,
                       size_t aMaxBytes)
  : mClock(aClock)
  , mEndpoint(std::move(aEndpoint))
  , mIncarnation(aIncarnation)
  , mMaxBytes(aMaxBytes)
{
}

Ticket
TicketBook::Issue()
{
  EvictRecords();
  const uint64_t number = ++mIssued;
  const global::TimePoint now = mClock.Now();
  mRecords[number] = { .mBeginDeadline = now + kBeginTimeout,
                       .mEvictionDeadline = now + kRetentionTime };
  mHeldBytes += kRecordOverheadBytes;
  return { mEndpoint, mIncarnation, number };
}

bool
TicketBook::Begin(const Ticket& aTicket)
{
  Record* record = Find(aTicket);
  if (!record || record->mState != TicketState::Open) {
    return false;
  }
  if (mClock.Now() >= record->mBeginDeadline) {
    record->mState = TicketState::Void;
    return false;
  }
  record->mState = TicketState::Running;
  return true;
}

void
TicketBook::Complete(const Ticket& aTicket,
                     int aHttpStatus,
                     const std::string& aBody)
{
  Record* record = Find(aTicket);
  if (!record || record->mState != TicketState::Running) {
    return;
  }
  record->mState = TicketState::Done;
  record->mHttpStatus = aHttpStatus;
  record->mBody = aBody;
  record->mEvictionDeadline = mClock.Now() + kRetentionTime;
  mHeldBytes += aBody.size();
  EvictRecords();
}

void
TicketBook::Cancel(const Ticket& aTicket)
{
  EndRunning(aTicket, TicketState::Void);
}

void
TicketBook::MarkUnknown(const Ticket& aTicket)
{
  EndRunning(aTicket, TicketState::Unknown);
}

Outcome
TicketBook::GetOutcome(const Ticket& aTicket)
{
  if (const Record* record = Find(aTicket)) {
    return { record->mState, record->mHttpStatus, record->mBody };
  }
  const bool isOurs =
    aTicket.mEndpoint == mEndpoint && aTicket.mIncarnation == mIncarnation;
  const bool isEvicted =
    isOurs && aTicket.mNumber > 0 && aTicket.mNumber <= mEvictedUpTo;
  const bool isOtherIncarnation =
    aTicket.mEndpoint == mEndpoint && aTicket.mIncarnation != mIncarnation;
  return { isEvicted || isOtherIncarnation ? TicketState::Unknown
                                           : TicketState::Foreign,
           0,
           "" };
}

Outcome
TicketBook::Settle(const Ticket& aTicket)
{
  if (Record* record = Find(aTicket);
      record && record->mState == TicketState::Open) {
    record->mState = TicketState::Void;
  }
  return GetOutcome(aTicket);
}

TicketBook::Record*
TicketBook::Find(const Ticket& aTicket)
{
  if (aTicket.mEndpoint != mEndpoint || aTicket.mIncarnation != mIncarnation) {
    return nullptr;
  }
  const auto it = mRecords.find(aTicket.mNumber);
  return it == mRecords.end() ? nullptr : &it->second;
}

void
TicketBook::EndRunning(const Ticket& aTicket, TicketState aState)
{
  if (Record* record = Find(aTicket);
      record && record->mState == TicketState::Running) {
    record->mState = aState;
  }
}

void
TicketBook::EvictRecords()
{
  const global::TimePoint now = mClock.Now();
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    const bool isExpired = now >= it->second.mEvictionDeadline;
    const bool isOverBudget = mHeldBytes > mMaxBytes;
    if (!isExpired && !isOverBudget) {
      break;
    }
    const auto current = it++;
    // The record of a running request is kept until the request has ended.
    if (current->second.mState != TicketState::Running) {
      Evict(current);
    }
  }
}

void
TicketBook::Evict(std::map<uint64_t, Record>::iterator aIt)
{
  mEvictedUpTo = std::max(mEvictedUpTo, aIt->first);
  mHeldBytes -= kRecordOverheadBytes + aIt->second.mBody.size();
  mRecords.erase(aIt);
}

}
