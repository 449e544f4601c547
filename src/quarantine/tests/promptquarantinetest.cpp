#include "quarantine/promptquarantine.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::quarantine;
using std::chrono::seconds;

namespace {

constexpr PromptPart kDeadly = 0xdead;
constexpr PromptPart kFirst = 1;
constexpr PromptPart kOther = 2;

const EndpointLife kEndpoint{ "rank-3", 100 };

}

TEST_GROUP(PromptQuarantine)
{
  global::ManualClock mClock;
  PromptQuarantine mQuarantine{ mClock, 1 };
  PromptQuarantine mPeer{ mClock, 2 };

  bool IsRefused(const std::vector<PromptPart>& aParts) const
  {
    return mQuarantine.FindRefusal(aParts).has_value();
  }

  static void Tell(const Notices& aNotices, PromptQuarantine& aTo)
  {
    for (const Notice& notice : aNotices) {
      aTo.Apply(notice);
    }
  }
};

TEST(PromptQuarantine, APartIsRefusedAfterItsFirstCrash)
{
  mQuarantine.RecordSound({ kFirst });

  mQuarantine.RecordCrash({ kFirst, kDeadly }, kEndpoint, true);

  const auto refusal = mQuarantine.FindRefusal({ kFirst, kDeadly });
  CHECK(refusal.has_value());
  CHECK_EQUAL(kDeadly, refusal->mPart);
  CHECK(refusal->mRetryAfter > seconds(20));
  CHECK_FALSE(IsRefused({ kFirst }));
  CHECK_FALSE(IsRefused({}));
}

TEST(PromptQuarantine, APartThatWasSeenToBeSoundIsNotSuspectedAfterCrashes)
{
  mQuarantine.RecordSound({ kFirst, kOther });

  for (int i = 0; i < 10; ++i) {
    for (const Notice& notice :
         mQuarantine.RecordCrash({ kFirst, kOther }, { "rank", i }, true)) {
      CHECK(notice.mKind == NoticeKind::Sound);
    }
  }

  CHECK_FALSE(IsRefused({ kFirst, kOther }));
}

TEST(PromptQuarantine, ASoundPartThatBecomesDeadlyCrashesEndpointsForEver)
{
  mQuarantine.RecordSound({ kFirst, kDeadly });
  int crashes = 0;
  for (int i = 0; i < 20; ++i) {
    mClock.Advance(seconds(4));
    mQuarantine.RecordSound({ kFirst });
    if (!IsRefused({ kFirst, kDeadly })) {
      mQuarantine.RecordCrash({ kFirst, kDeadly }, { "rank", i }, true);
      ++crashes;
    }
    CHECK_FALSE(IsRefused({ kFirst }));
  }
  LONGS_EQUAL(2, crashes);
}

TEST(PromptQuarantine, GatewaysCountTheCrashesOfASoundPartEachAlone)
{
  mQuarantine.RecordSound({ kFirst, kDeadly });
  mPeer.RecordSound({ kFirst, kDeadly });
  mClock.Advance(seconds(4));
  Tell(mPeer.RecordCrash({ kFirst, kDeadly }, { "rank", 1 }, true),
       mQuarantine);
  CHECK_FALSE(IsRefused({ kDeadly }));
  mClock.Advance(seconds(4));
  Tell(mPeer.RecordSound({ kFirst }), mQuarantine);

  Tell(mQuarantine.RecordCrash({ kFirst, kDeadly }, { "rank", 2 }, true),
       mPeer);

  for (const PromptQuarantine* gateway : { &mQuarantine, &mPeer }) {
    CHECK(gateway->FindRefusal({ kDeadly }).has_value());
    CHECK_FALSE(gateway->FindRefusal({ kFirst }).has_value());
  }
}

TEST(PromptQuarantine, ACrashThatASoundAnswerFollowsIsNotCounted)
{
  for (int i = 0; i < 20; ++i) {
    mClock.Advance(seconds(4));
    mQuarantine.RecordSound({ kOther });
    Tell(mQuarantine.RecordCrash({ kOther }, { "rank", i }, true), mPeer);
    CHECK_FALSE(IsRefused({ kOther }));
    CHECK_FALSE(mPeer.FindRefusal({ kOther }).has_value());
    mClock.Advance(seconds(1));
    Tell(mQuarantine.RecordSound({ kOther }), mPeer);
  }
}

TEST(PromptQuarantine, GatewaysAnswerEachOtherForEverAboutASoundPart)
{
  constexpr int kMaxNotices = 20;
  for (const bool hasBegun : { false, true }) {
    for (const bool isSeenAfterwards : { false, true }) {
      PromptQuarantine first{ mClock, 3 };
      PromptQuarantine second{ mClock, 4 };
      second.RecordSound({ kOther });
      mClock.Advance(seconds(1));
      first.RecordCrash({ kOther }, { "rank", 1 }, hasBegun);
      mClock.Advance(seconds(3));
      std::deque<std::pair<PromptQuarantine*, Notice>> sent;
      const auto send = [&](PromptQuarantine* aTo, const Notices& aNotices) {
        for (const Notice& notice : aNotices) {
          sent.emplace_back(aTo, notice);
        }
      };
      send(&second, first.RecordCrash({ kOther }, { "rank", 2 }, hasBegun));
      if (isSeenAfterwards) {
        mClock.Advance(seconds(1));
        second.RecordSound({ kOther });
        for (auto& [to, notice] : sent) {
          notice.mSinceCrash += seconds(2);
        }
      }

      int notices = 0;
      for (; !sent.empty() && notices < kMaxNotices; ++notices) {
        const auto [to, notice] = sent.front();
        sent.pop_front();
        send(to == &first ? &second : &first, to->Apply(notice));
      }

      CHECK(notices < kMaxNotices);
      const bool isRefused = hasBegun && !isSeenAfterwards;
      CHECK_EQUAL(isRefused, first.FindRefusal({ kOther }).has_value());
      CHECK_EQUAL(isRefused, second.FindRefusal({ kOther }).has_value());
    }
  }
}

TEST(PromptQuarantine, AnOldSuspicionOutweighsALaterSoundAnswer)
{
  Notices old = mPeer.RecordCrash({ kOther }, { "rank", 1 }, true);
  mClock.Advance(seconds(2));
  const Notices second = mPeer.RecordCrash({ kOther }, { "rank", 2 }, true);
  mClock.Advance(seconds(3));
  mQuarantine.RecordSound({ kOther });

  for (Notice notice : second) {
    notice.mSinceCrash = seconds(3);
    Tell(mQuarantine.Apply(notice), mPeer);
  }

  CHECK_FALSE(IsRefused({ kOther }));
}

TEST(PromptQuarantine, AnAnswerThatGoesOnClearsItsParts)
{
  mQuarantine.RecordCrash({ kFirst, kDeadly }, kEndpoint, true);

  const Notices notices = mQuarantine.RecordSound({ kFirst });

  LONGS_EQUAL(1, notices.size());
  CHECK(notices[0].mKind == NoticeKind::Sound);
  CHECK_FALSE(IsRefused({ kFirst }));
  CHECK(IsRefused({ kFirst, kDeadly }));
}

TEST(PromptQuarantine, APartThatAllRequestsHaveIsNotRefusedForLong)
{
  // Nothing is known to be sound, as after the start of all gateways.
  mQuarantine.RecordCrash({ kFirst, kDeadly }, kEndpoint, true);
  CHECK(IsRefused({ kFirst, kDeadly }));

  // Once other gateways could speak for it, one request without the other
  // suspect is tried; more of them wait for it.
  CHECK(IsRefused({ kFirst }));
  mClock.Advance(seconds(2));
  CHECK_FALSE(IsRefused({ kFirst }));
  mQuarantine.RecordSent({ kFirst });
  CHECK(IsRefused({ kFirst }));
  mQuarantine.RecordSound({ kFirst });

  CHECK_FALSE(IsRefused({ kFirst, kOther }));
  CHECK(IsRefused({ kFirst, kDeadly }));
}

TEST(PromptQuarantine, APartOfARequestWithoutAnAnswerIsTriedSoon)
{
  mQuarantine.RecordCrash({ kOther }, kEndpoint, false);
  CHECK(IsRefused({ kOther }));

  mClock.Advance(seconds(2));

  CHECK_FALSE(IsRefused({ kOther }));
  mQuarantine.RecordSent({ kOther });
  mQuarantine.RecordCrash({ kOther }, { "rank-5", 1 }, false);
  mClock.Advance(seconds(60));
  CHECK(IsRefused({ kOther }));
}

TEST(PromptQuarantine, TheBegunAnswerIsSuspectedRatherThanThoseThatWaited)
{
  mQuarantine.RecordCrash({ kOther }, kEndpoint, false);
  Tell(mPeer.RecordCrash({ kDeadly }, kEndpoint, true), mQuarantine);

  mClock.Advance(seconds(2));

  CHECK_FALSE(IsRefused({ kOther }));
  CHECK(IsRefused({ kDeadly }));
}

TEST(PromptQuarantine, OneTrialAtATimeAndRarelyWhileItCrashes)
{
  int trials = 0;
  mQuarantine.RecordCrash({ kDeadly }, { "rank", 0 }, true);
  for (int i = 0; i < 3600 * 10; ++i) {
    mClock.Advance(milliseconds(100));
    if (IsRefused({ kDeadly })) {
      continue;
    }
    mQuarantine.RecordSent({ kDeadly });
    CHECK(IsRefused({ kDeadly }));
    mQuarantine.RecordCrash({ kDeadly }, { "rank", ++trials }, true);
  }
  CHECK(trials >= 5);
  CHECK(trials <= 10);
}

TEST(PromptQuarantine, ATrialWithoutAnOutcomeIsFollowedByAnother)
{
  mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true);
  mClock.Advance(seconds(60));
  CHECK_FALSE(IsRefused({ kDeadly }));
  mQuarantine.RecordSent({ kDeadly });
  CHECK(IsRefused({ kDeadly }));

  mClock.Advance(seconds(3));

  CHECK_FALSE(IsRefused({ kDeadly }));
}

TEST(PromptQuarantine, SeveralBreaksOfOneCrashCountOnce)
{
  mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true);
  CHECK(mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true).empty());
  mClock.Advance(seconds(40));
  CHECK_FALSE(IsRefused({ kDeadly }));
}

TEST(PromptQuarantine, AnEndpointThatServesOnHasNotCrashed)
{
  const auto sentAt = mClock.Now();
  Tell(mQuarantine.RecordCrash({ kOther }, kEndpoint, true), mPeer);
  CHECK(IsRefused({ kOther }));
  CHECK(mPeer.RecordAlive(kEndpoint, sentAt).empty());

  mClock.Advance(milliseconds(500));
  Tell(mPeer.RecordAlive(kEndpoint, sentAt), mQuarantine);

  CHECK_FALSE(IsRefused({ kOther }));
}

TEST(PromptQuarantine, AWithdrawnCrashIsNotLearntAgain)
{
  const auto sentAt = mClock.Now();
  const Notices suspected =
    mQuarantine.RecordCrash({ kOther }, kEndpoint, true);
  Tell(suspected, mPeer);
  mClock.Advance(milliseconds(500));
  mQuarantine.RecordAlive(kEndpoint, sentAt);

  const Notices stale = mPeer.Suspected();
  LONGS_EQUAL(1, stale.size());
  Tell(mQuarantine.Apply(stale[0]), mPeer);

  CHECK_FALSE(IsRefused({ kOther }));
  CHECK(mPeer.Suspected().empty());
}

TEST(PromptQuarantine, AnEndpointThatServedOnMayCrashLater)
{
  const auto sentAt = mClock.Now();
  Tell(mQuarantine.RecordCrash({ kOther }, kEndpoint, true), mPeer);
  mClock.Advance(milliseconds(500));
  Tell(mQuarantine.RecordAlive(kEndpoint, sentAt), mPeer);
  mClock.Advance(milliseconds(100));

  for (const Notice& notice :
       mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true)) {
    CHECK(mPeer.Apply(notice).empty());
  }

  CHECK(IsRefused({ kDeadly }));
  CHECK(mPeer.FindRefusal({ kDeadly }).has_value());
}

TEST(PromptQuarantine, ACrashIsCountedThoughTheNewLifeIsNotKnownYet)
{
  mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true);
  mClock.Advance(seconds(60));
  CHECK_FALSE(IsRefused({ kDeadly }));

  mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true);

  mClock.Advance(seconds(60));
  CHECK(IsRefused({ kDeadly }));
}

TEST(PromptQuarantine, AnEndpointThatHasStartedAgainHasCrashed)
{
  mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true);
  mClock.Advance(seconds(4));
  CHECK(mQuarantine.RecordAlive(kEndpoint, mClock.Now()).empty());
  CHECK(mQuarantine.RecordAlive({ "rank-3", 200 }, mClock.Now() - seconds(5))
          .empty());
  CHECK(IsRefused({ kDeadly }));
}

TEST(PromptQuarantine, GatewaysKnowTogetherWhatEachHasSeen)
{
  mPeer.RecordSound({ kFirst });
  Notices answers;
  for (const Notice& notice :
       mQuarantine.RecordCrash({ kFirst, kDeadly }, kEndpoint, true)) {
    for (const Notice& answer : mPeer.Apply(notice)) {
      answers.push_back(answer);
    }
  }
  Tell(answers, mQuarantine);

  for (const PromptQuarantine* gateway : { &mQuarantine, &mPeer }) {
    CHECK(gateway->FindRefusal({ kFirst, kDeadly }).has_value());
    CHECK_FALSE(gateway->FindRefusal({ kFirst }).has_value());
  }
}

TEST(PromptQuarantine, ARestartedGatewayLearnsFromItsPeers)
{
  mQuarantine.RecordCrash({ kDeadly }, kEndpoint, true);
  mClock.Advance(seconds(5));

  Tell(mQuarantine.Suspected(), mPeer);

  const auto refusal = mPeer.FindRefusal({ kDeadly });
  CHECK(refusal.has_value());
  CHECK(refusal->mRetryAfter < seconds(35));
}

TEST(PromptQuarantine, CrashesSeenByTwoGatewaysAddUp)
{
  Tell(mPeer.RecordCrash({ kDeadly }, { "rank-1", 1 }, true), mQuarantine);
  const Notices second =
    mQuarantine.RecordCrash({ kDeadly, kOther }, { "rank-2", 1 }, true);
  // Telling it often changes nothing.
  for (int i = 0; i < 10; ++i) {
    Tell(second, mPeer);
    Tell(mPeer.Suspected(), mQuarantine);
  }
  mClock.Advance(seconds(60));
  CHECK(IsRefused({ kDeadly }));
  CHECK_FALSE(IsRefused({ kOther }));
}

TEST(PromptQuarantine, WhatIsRememberedIsBounded)
{
  for (PromptPart part = 0; part < 100000; ++part) {
    mQuarantine.RecordCrash(
      { part }, { "rank", static_cast<int64_t>(part) }, true);
    mClock.Advance(milliseconds(1));
  }
  CHECK(mQuarantine.Suspected().size() <= 64);
  CHECK_FALSE(IsRefused({ 1 }));
  CHECK(IsRefused({ 99999 }));

  SoundParts sound(3);
  for (const PromptPart part : { 1, 2, 3, 1, 4 }) {
    sound.Add(part, mClock.Now());
  }
  LONGS_EQUAL(3, sound.Size());
  CHECK(sound.Contains(1));
  CHECK_FALSE(sound.Contains(2));
}
