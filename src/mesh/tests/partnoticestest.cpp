#include "mesh/internal/messages.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::mesh;
using std::chrono::milliseconds;

TEST_GROUP(PartNotices){};

TEST(PartNotices, ArriveAsTheyWereSent)
{
  const quarantine::Notice suspected{ .mKind =
                                        quarantine::NoticeKind::Suspected,
                                      .mPart = 0xdeadbeefcafe0123,
                                      .mCrashes = { { "w1", 7 }, { "w2", 9 } },
                                      .mSinceCrash = milliseconds(1),
                                      .mRefusalTime = milliseconds(2),
                                      .mTrialTime = milliseconds(3),
                                      .mHasBegun = true };
  v1::GossipRequest request;
  ToMessage(
    { suspected,
      { .mKind = quarantine::NoticeKind::Sound, .mPart = 5, .mCrashes = {} },
      { .mKind = quarantine::NoticeKind::Withdrawn,
        .mPart = 6,
        .mCrashes = { { "w1", 7 } } } },
    *request.mutable_part_notices());
  v1::GossipRequest received;
  CHECK(received.ParseFromString(request.SerializeAsString()));

  const quarantine::Notices notices = FromMessage(received.part_notices());

  LONGS_EQUAL(3, notices.size());
  CHECK(notices[0].mKind == suspected.mKind);
  CHECK(notices[0].mPart == suspected.mPart);
  CHECK(notices[0].mCrashes == suspected.mCrashes);
  CHECK(notices[0].mSinceCrash == suspected.mSinceCrash);
  CHECK(notices[0].mRefusalTime == suspected.mRefusalTime);
  CHECK(notices[0].mTrialTime == suspected.mTrialTime);
  CHECK(notices[0].mHasBegun);
  CHECK(notices[1].mKind == quarantine::NoticeKind::Sound);
  CHECK(notices[2].mKind == quarantine::NoticeKind::Withdrawn);
}

TEST(PartNotices, UnknownKindsAndTooManyAreLeftOut)
{
  v1::GossipRequest request;
  request.add_part_notices()->set_part(1);
  LONGS_EQUAL(0, FromMessage(request.part_notices()).size());
  for (int i = 0; i < 10000; ++i) {
    request.add_part_notices()->set_kind(v1::PartNotice::SOUND);
  }
  CHECK(FromMessage(request.part_notices()).size() <= 128);
}
