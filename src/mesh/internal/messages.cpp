#include "mesh/internal/messages.h"

#include <algorithm>

namespace beryllever::mesh {

namespace {

using std::chrono::milliseconds;

/** Notices on parts of prompts that are taken from one message. */
constexpr size_t kMaxNotices = 128;
/** Crashes that are taken from one notice. */
constexpr int kMaxCrashes = 8;

StoreAccess
StoreAccessFromNumber(int aNumber)
{
  const bool isKnown = aNumber >= static_cast<int>(StoreAccess::None) &&
                       aNumber <= static_cast<int>(StoreAccess::Failing);
  return isKnown ? static_cast<StoreAccess>(aNumber) : StoreAccess::None;
}

v1::PartNotice::Kind
ToMessage(quarantine::NoticeKind aKind)
{
  switch (aKind) {
    case quarantine::NoticeKind::Suspected:
      return v1::PartNotice::SUSPECTED;
    case quarantine::NoticeKind::Sound:
      return v1::PartNotice::SOUND;
    case quarantine::NoticeKind::Withdrawn:
      return v1::PartNotice::WITHDRAWN;
  }
  return v1::PartNotice::UNKNOWN;
}

std::optional<quarantine::NoticeKind>
KindFromMessage(v1::PartNotice::Kind aKind)
{
  switch (aKind) {
    case v1::PartNotice::SUSPECTED:
      return quarantine::NoticeKind::Suspected;
    case v1::PartNotice::SOUND:
      return quarantine::NoticeKind::Sound;
    case v1::PartNotice::WITHDRAWN:
      return quarantine::NoticeKind::Withdrawn;
    default:
      return std::nullopt;
  }
}

}

void
ToMessage(const Member& aMember, v1::Member& aMessage)
{
  aMessage.set_vm(aMember.mVm);
  aMessage.set_role(aMember.mRole);
  aMessage.set_incarnation(aMember.mIncarnation);
  aMessage.set_heartbeat(aMember.mHeartbeat);
  aMessage.set_peer_address(aMember.mPeerAddress);
  aMessage.set_availability_zone(aMember.mAvailabilityZone);
  aMessage.set_caller_address(aMember.mCallerAddress);
  aMessage.set_is_serving(aMember.mIsServing);
  aMessage.set_published_revision(aMember.mPublishedPosition.mRevision);
  aMessage.set_published_era(aMember.mPublishedPosition.mEra);
  aMessage.set_store_access(static_cast<int>(aMember.mStoreAccess));
  aMessage.set_known_gateways(static_cast<uint32_t>(aMember.mKnownGateways));
  if (aMember.mLoad) {
    v1::EndpointLoad& load = *aMessage.mutable_load();
    load.set_endpoint_address(aMember.mLoad->mEndpointAddress);
    load.set_requests(aMember.mLoad->mRequests);
    load.set_is_open(aMember.mLoad->mIsOpen);
    load.set_group(aMember.mLoad->mGroup);
    load.set_rank(aMember.mLoad->mRank);
    load.set_group_size(aMember.mLoad->mGroupSize);
    load.set_may_lead(aMember.mLoad->mMayLead);
    load.set_pace(aMember.mLoad->mPace);
  }
}

Member
FromMessage(const v1::Member& aMessage)
{
  Member member{ .mVm = aMessage.vm(),
                 .mRole = aMessage.role(),
                 .mIncarnation = aMessage.incarnation(),
                 .mHeartbeat = aMessage.heartbeat(),
                 .mPeerAddress = aMessage.peer_address(),
                 .mAvailabilityZone = aMessage.availability_zone(),
                 .mCallerAddress = aMessage.caller_address(),
                 .mIsServing = aMessage.is_serving(),
                 .mPublishedPosition = { aMessage.published_era(),
                                         aMessage.published_revision() },
                 .mStoreAccess = StoreAccessFromNumber(aMessage.store_access()),
                 .mKnownGateways =
                   static_cast<int>(aMessage.known_gateways()) };
  if (aMessage.has_load()) {
    member.mLoad = EndpointLoad{ aMessage.load().endpoint_address(),
                                 aMessage.load().requests(),
                                 aMessage.load().is_open(),
                                 aMessage.load().group(),
                                 aMessage.load().rank(),
                                 aMessage.load().group_size(),
                                 aMessage.load().may_lead(),
                                 aMessage.load().pace() };
  }
  return member;
}

void
ToMessage(const quarantine::Notices& aNotices, PartNotices& aMessages)
{
  for (const quarantine::Notice& notice : aNotices) {
    v1::PartNotice& message = *aMessages.Add();
    message.set_kind(ToMessage(notice.mKind));
    message.set_part(notice.mPart);
    for (const quarantine::EndpointLife& crash : notice.mCrashes) {
      v1::EndpointLife& life = *message.add_crashes();
      life.set_endpoint(crash.mEndpoint);
      life.set_incarnation(crash.mIncarnation);
    }
    message.set_since_crash_milliseconds(notice.mSinceCrash.count());
    message.set_refusal_milliseconds(notice.mRefusalTime.count());
    message.set_trial_milliseconds(notice.mTrialTime.count());
    message.set_has_begun(notice.mHasBegun);
  }
}

quarantine::Notices
FromMessage(const PartNotices& aMessages)
{
  quarantine::Notices notices;
  for (const v1::PartNotice& message : aMessages) {
    const auto kind = KindFromMessage(message.kind());
    if (!kind || notices.size() >= kMaxNotices) {
      continue;
    }
    quarantine::Notice notice{
      .mKind = *kind,
      .mPart = message.part(),
      .mCrashes = {},
      .mSinceCrash = milliseconds(message.since_crash_milliseconds()),
      .mRefusalTime = milliseconds(message.refusal_milliseconds()),
      .mTrialTime = milliseconds(message.trial_milliseconds()),
      .mHasBegun = message.has_begun()
    };
    for (int i = 0; i < std::min(message.crashes_size(), kMaxCrashes); ++i) {
      notice.mCrashes.push_back(
        { message.crashes(i).endpoint(), message.crashes(i).incarnation() });
    }
    notices.push_back(std::move(notice));
  }
  return notices;
}

void
ToMessage(const RecordBatch& aBatch,
          global::TimePoint aNow,
          v1::FetchReply& aMessage)
{
  aMessage.set_revision(aBatch.mPosition.mRevision);
  aMessage.set_era(aBatch.mPosition.mEra);
  aMessage.set_is_full(aBatch.mIsFull);
  for (const published::Record& record : aBatch.mRecords) {
    v1::PublishedRecord& message = *aMessage.add_records();
    message.set_key(record.mKey);
    message.set_data(record.mData);
    message.set_revision(record.mPosition.mRevision);
    message.set_era(record.mPosition.mEra);
    message.set_is_deleted(record.mIsDeleted);
    if (record.mKeptUntil > aNow) {
      message.set_kept_milliseconds(
        std::chrono::ceil<milliseconds>(record.mKeptUntil - aNow).count());
    }
  }
}

RecordBatch
FromMessage(const v1::FetchReply& aMessage, global::TimePoint aNow)
{
  RecordBatch batch{ .mPosition = { aMessage.era(), aMessage.revision() },
                     .mIsFull = aMessage.is_full(),
                     .mRecords = {} };
  for (const v1::PublishedRecord& record : aMessage.records()) {
    const milliseconds kept(record.kept_milliseconds());
    batch.mRecords.push_back(
      { .mKey = record.key(),
        .mData = record.data(),
        .mPosition = { record.era(), record.revision() },
        .mIsDeleted = record.is_deleted(),
        .mKeptUntil = kept.count() > 0 ? aNow + kept : global::TimePoint{} });
  }
  return batch;
}

}
