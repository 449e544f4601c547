#include "tickets/ticketbook.h"

#include <algorithm>

namespace beryllever::tickets {

namespace {

constexpr std::chrono::seconds kBeginTime{ 60 };
constexpr std::chrono::minutes kKeepTime{ 15 };
constexpr size_t kRecordBytes = 128;

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
  Forget();
  const uint64_t number = ++mIssued;
  const global::TimePoint now = mClock.Now();
  mRecords[number] = { .mBeginDeadline = now + kBeginTime,
                       .mForgetDeadline = now + kKeepTime };
  mHeldBytes += kRecordBytes;
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
  record->mForgetDeadline = mClock.Now() + kKeepTime;
  mHeldBytes += aBody.size();
  Forget();
}

void
TicketBook::Cancel(const Ticket& aTicket)
{
  End(aTicket, TicketState::Void);
}

void
TicketBook::Lose(const Ticket& aTicket)
{
  End(aTicket, TicketState::Unknown);
}

Outcome
TicketBook::Look(const Ticket& aTicket)
{
  if (const Record* record = Find(aTicket)) {
    return { record->mState, record->mHttpStatus, record->mBody };
  }
  const bool isOurs =
    aTicket.mEndpoint == mEndpoint && aTicket.mIncarnation == mIncarnation;
  const bool isForgotten =
    isOurs && aTicket.mNumber > 0 && aTicket.mNumber <= mForgottenUpTo;
  const bool isOtherIncarnation =
    aTicket.mEndpoint == mEndpoint && aTicket.mIncarnation != mIncarnation;
  return { isForgotten || isOtherIncarnation ? TicketState::Unknown
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
  return Look(aTicket);
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
TicketBook::End(const Ticket& aTicket, TicketState aState)
{
  if (Record* record = Find(aTicket);
      record && record->mState == TicketState::Running) {
    record->mState = aState;
  }
}

void
TicketBook::Forget()
{
  const global::TimePoint now = mClock.Now();
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    const bool isOld = now >= it->second.mForgetDeadline;
    const bool isOverBudget = mHeldBytes > mMaxBytes;
    if (!isOld && !isOverBudget) {
      break;
    }
    const auto current = it++;
    // A running request must find its record when it ends.
    if (current->second.mState != TicketState::Running) {
      Erase(current);
    }
  }
}

void
TicketBook::Erase(std::map<uint64_t, Record>::iterator aIt)
{
  mForgottenUpTo = std::max(mForgottenUpTo, aIt->first);
  mHeldBytes -= kRecordBytes + aIt->second.mBody.size();
  mRecords.erase(aIt);
}

}
