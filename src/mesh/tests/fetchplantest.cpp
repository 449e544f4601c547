#include "mesh/fetchplan.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::mesh;
using std::chrono::milliseconds;

TEST_GROUP(FetchPlan)
{
  global::ManualClock mClock;
  FetchPlan mPlan{ mClock };

  FetchSource Gateway(const std::string& aAddress) const
  {
    return { .mAddress = aAddress,
             .mIsGateway = true,
             .mIsInSameZone = true,
             .mLastHeard = mClock.Now() };
  }

  std::string Start(const std::vector<FetchSource>& aSources)
  {
    const auto address = mPlan.Choose(aSources);
    if (!address) {
      return "";
    }
    mPlan.RecordStart(*address);
    return *address;
  }
};

TEST(FetchPlan, AFrozenPeerDoesNotHoldUpFetchingFromASoundOne)
{
  const std::vector<FetchSource> sources{ Gateway("frozen"), Gateway("sound") };
  STRCMP_EQUAL("frozen", Start(sources).c_str());

  mClock.Advance(milliseconds(400));

  STRCMP_EQUAL("sound", Start(sources).c_str());
}

TEST(FetchPlan, OnePeerIsAskedAsLongAsItMayStillAnswer)
{
  const std::vector<FetchSource> sources{ Gateway("a"), Gateway("b") };
  Start(sources);

  mClock.Advance(milliseconds(100));

  CHECK_FALSE(mPlan.Choose(sources).has_value());
}

TEST(FetchPlan, TwoFrozenPeersCostLessThanASecond)
{
  const std::vector<FetchSource> sources{ Gateway("frozen1"),
                                          Gateway("frozen2"),
                                          Gateway("sound") };
  std::string address = Start(sources);
  for (int i = 0; i < 15 && address != "sound"; ++i) {
    mClock.Advance(milliseconds(50));
    address = Start(sources);
  }

  STRCMP_EQUAL("sound", address.c_str());
}

TEST(FetchPlan, ASilentPeerIsNotAskedAgainBeforeTheOthers)
{
  const std::vector<FetchSource> sources{ Gateway("frozen"), Gateway("sound") };
  Start(sources);
  mPlan.RecordEnd("frozen", false);

  STRCMP_EQUAL("sound", Start(sources).c_str());
}

TEST(FetchPlan, ASilentPeerIsAskedAgainIfThereIsNoOther)
{
  const std::vector<FetchSource> sources{ Gateway("a") };
  Start(sources);
  mPlan.RecordEnd("a", false);

  STRCMP_EQUAL("a", Start(sources).c_str());
}

TEST(FetchPlan, TheNumberOfCallsAtOnceIsBounded)
{
  std::vector<FetchSource> sources;
  for (int i = 0; i < 10; ++i) {
    sources.push_back(Gateway("frozen" + std::to_string(i)));
  }
  for (int i = 0; i < 10; ++i) {
    Start(sources);
    mClock.Advance(milliseconds(400));
  }

  LONGS_EQUAL(3, mPlan.Pending());
}

TEST(FetchPlan, GatewaysHeardRecentlyComeFirst)
{
  FetchSource silent = Gateway("silent");
  FetchSource agent = Gateway("agent");
  FetchSource remote = Gateway("remote");
  const FetchSource near = Gateway("near");
  silent.mLastHeard -= milliseconds(1000);
  agent.mIsGateway = false;
  remote.mIsInSameZone = false;

  STRCMP_EQUAL("near",
               mPlan.Choose({ silent, agent, remote, near }).value().c_str());
  STRCMP_EQUAL("remote",
               mPlan.Choose({ silent, agent, remote }).value().c_str());
  STRCMP_EQUAL("agent", mPlan.Choose({ silent, agent }).value().c_str());
}
