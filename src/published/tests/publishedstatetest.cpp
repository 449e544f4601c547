#include "published/publishedstate.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::published;

namespace {

/** Decodes items from text: "c VERSION", "e ID [leaving]", "z ZONE"; others are
 * unreadable. */
class TextCodec : public IRecordCodec
{
public:
  Item Decode(const std::string&, const std::string& aData) const override
  {
    const std::string rest = aData.size() > 2 ? aData.substr(2) : "";
    if (aData.starts_with("c ")) {
      return Configuration{ .mVersion = std::stoll(rest) };
    }
    if (aData.starts_with("z ")) {
      return OutOfService{ rest };
    }
    if (aData.starts_with("e ")) {
      const bool isLeaving = rest.ends_with(" leaving");
      return Endpoint{ .mId = rest.substr(0, rest.find(' ')),
                       .mState = isLeaving ? EndpointState::Leaving
                                           : EndpointState::Ready };
    }
    return Unreadable{ "no such item" };
  }
};

}

TEST_GROUP(PublishedState)
{
  global::ManualClock mClock;
  TextCodec mCodec;
  PublishedState mState{ mCodec, mClock };

  bool Has(const std::string& aId) const
  {
    return mState.Current()->FindEndpoint(aId) != nullptr;
  }

  /** Lists items of era 0 up to revision 90: the configuration 7, the endpoints
   * x and y, and a zone out of service. */
  static void ListOldEra(PublishedState & aState)
  {
    aState.ApplyListing({ { "config", "c 7", { 0, 87 } },
                          { "x", "e x", { 0, 88 } },
                          { "y", "e y", { 0, 89 } },
                          { "out", "z a", { 0, 90 } } },
                        { 0, 90 });
  }
};

TEST(PublishedState, TheConfigurationVersionNeverDecreases)
{
  mState.ApplyChanges({ { "config", "c 7", { 0, 10 } } }, { 0, 10 });

  CHECK_FALSE(
    mState.ApplyChanges({ { "config", "c 5", { 0, 11 } } }, { 0, 11 }));

  LONGS_EQUAL(7, mState.Current()->Version());
}

TEST(PublishedState, AStaleListingChangesNothing)
{
  mState.ApplyListing(
    { { "config", "c 7", { 0, 10 } }, { "x", "e x", { 0, 12 } } }, { 0, 12 });

  CHECK_FALSE(mState.ApplyListing(
    { { "config", "c 6", { 0, 8 } }, { "x", "e x leaving", { 0, 9 } } },
    { 0, 9 }));

  CHECK(Has("x"));
  CHECK(mState.Current()->FindEndpoint("x")->mState == EndpointState::Ready);
}

TEST(PublishedState, AListingAfterMissedChangesRemovesDeletedItems)
{
  mState.ApplyListing({ { "x", "e x", { 0, 5 } }, { "y", "e y", { 0, 6 } } },
                      { 0, 6 });

  mState.ApplyListing({ { "y", "e y", { 0, 6 } } }, { 0, 20 });

  CHECK_FALSE(Has("x"));
  CHECK(Has("y"));
}

TEST(PublishedState, AnItemAddedWhileListingIsNotRemoved)
{
  mState.ApplyChanges({ { "x", "e x", { 0, 30 } } }, { 0, 30 });

  mState.ApplyListing({}, { 0, 20 });

  CHECK(Has("x"));
}

TEST(PublishedState, AnUnreadableItemRemovesOnlyItsOwnEndpoint)
{
  mState.ApplyChanges({ { "x", "e x", { 0, 1 } }, { "y", "e y", { 0, 2 } } },
                      { 0, 2 });

  mState.ApplyChanges({ { "x", "?", { 0, 3 } } }, { 0, 3 });

  CHECK_FALSE(Has("x"));
  CHECK(Has("y"));
}

TEST(PublishedState, DelaysTheRemovalOfAnEndpointThatLapsedInAnOutage)
{
  mState.ApplyChanges({ { "x", "e x", { 0, 1 } } }, { 0, 1 });
  mState.RecordFailure();
  mState.ApplyChanges({ { "x", "", { 0, 2 }, true } }, { 0, 2 });
  CHECK(Has("x"));

  mClock.Advance(std::chrono::milliseconds(2300));

  CHECK(mState.ExpireRemovals());
  CHECK_FALSE(Has("x"));
}

TEST(PublishedState, KeepsAnEndpointThatIsRegisteredAgainAfterAnOutage)
{
  mState.ApplyChanges({ { "x", "e x", { 0, 1 } } }, { 0, 1 });
  mState.RecordFailure();
  mState.ApplyChanges({ { "x", "", { 0, 2 }, true } }, { 0, 2 });
  mState.ApplyChanges({ { "x", "e x", { 0, 3 } } }, { 0, 3 });

  mClock.Advance(std::chrono::seconds(10));

  CHECK_FALSE(mState.ExpireRemovals());
  CHECK(Has("x"));
}

TEST(PublishedState, SendsAPeerTheChangesThatItLacks)
{
  mState.ApplyChanges({ { "x", "e x", { 0, 1 } }, { "y", "e y", { 0, 2 } } },
                      { 0, 2 });
  mState.ApplyChanges({ { "x", "", { 0, 3 }, true } }, { 0, 3 });
  PublishedState peer(mCodec, mClock);
  peer.ApplyChanges({ { "x", "e x", { 0, 1 } } }, { 0, 1 });

  peer.Apply(mState.RecordsSince(peer.Position()));

  CHECK(peer.Current()->FindEndpoint("x") == nullptr);
  CHECK(peer.Current()->FindEndpoint("y") != nullptr);
  LONGS_EQUAL(3, peer.Position().mRevision);
}

/** Guards against requests to an endpoint that was removed while all peers that
 * could tell of it were down: a peer that starts lists the store without it. */
TEST(PublishedState, APeerThatHasListedSinceARemovalTellsOfIt)
{
  PublishedState peer(mCodec, mClock);
  const std::vector<Record> before{ { "out", "z a", { 0, 1 } },
                                    { "x", "e x", { 0, 2 } },
                                    { "y", "e y", { 0, 3 } } };
  peer.ApplyListing(before, { 0, 3 });
  mState.ApplyListing({ { "y", "e y", { 0, 3 } } }, { 0, 5 });

  CHECK(peer.Apply(mState.RecordsSince(peer.Position())));

  CHECK(peer.Current()->FindEndpoint("x") == nullptr);
  CHECK(peer.Current()->FindEndpoint("y") != nullptr);
  CHECK(peer.Current()->OutZones().empty());
  // What follows is told as changes.
  mState.ApplyChanges({ { "y", "", { 0, 6 }, true } }, { 0, 6 });
  const RecordBatch changes = mState.RecordsSince(peer.Position());
  CHECK_FALSE(changes.mIsFull);
  LONGS_EQUAL(1, changes.mRecords.size());
}

/** Guards against the loss of a removal that a second peer would have to pass
 * on: one that has caught up by a whole listing knows no more removals. */
TEST(PublishedState, APeerThatHasCaughtUpByAListingTellsOfRemovals)
{
  PublishedState second(mCodec, mClock);
  PublishedState third(mCodec, mClock);
  third.ApplyListing({ { "x", "e x", { 0, 2 } } }, { 0, 2 });
  mState.ApplyListing({}, { 0, 5 });

  second.Apply(mState.RecordsSince(second.Position()));
  third.Apply(second.RecordsSince(third.Position()));

  CHECK(third.Current()->FindEndpoint("x") == nullptr);
}

TEST(PublishedState, AZoneIsOutOfServiceUntilItsItemIsRemoved)
{
  mState.ApplyChanges({ { "out", "z a", { 0, 1 } } }, { 0, 1 });
  CHECK(mState.Current()->OutZones().contains("a"));

  mState.ApplyChanges({ { "out", "", { 0, 2 }, true } }, { 0, 2 });

  CHECK(mState.Current()->OutZones().empty());
}

TEST(PublishedState, APeerThatDoesNotReadTheStoreDelaysRemovalsAfterAnOutage)
{
  // Arrange: a store reader that has seen the outage, and its peer.
  PublishedState peer(mCodec, mClock);
  mState.ApplyChanges({ { "x", "e x", { 0, 5 } } }, { 0, 5 });
  peer.Apply(mState.RecordsSince({ 0, 0 }));
  mState.RecordFailure();

  // Act: the registration of the endpoint lapses.
  mState.ApplyChanges(
    { { .mKey = "x", .mPosition = { 0, 6 }, .mIsDeleted = true } }, { 0, 6 });
  peer.Apply(mState.RecordsSince({ 0, 5 }));

  CHECK(Has("x"));
  CHECK(peer.Current()->FindEndpoint("x") != nullptr);

  // Assert: both keep the endpoint, and remove it when it has not been
  // registered again in time.
  mClock.Advance(std::chrono::milliseconds(2300));
  CHECK(mState.ExpireRemovals());
  CHECK(peer.ExpireRemovals());
  CHECK(peer.Current()->FindEndpoint("x") == nullptr);
}

/** Guards against the loss of what is in force when the store comes back from a
 * copy that does not have it yet. */
TEST(PublishedState, KeepsWhatANewEraLacksForALimitedTime)
{
  ListOldEra(mState);

  mState.ApplyListing({ { "x", "e x", { 1, 40 } } }, { 1, 40 });
  mClock.Advance(std::chrono::milliseconds(2100));

  CHECK_FALSE(mState.ExpireRemovals());
  CHECK(Has("x"));
  CHECK(Has("y"));
  CHECK(mState.Current()->OutZones().contains("a"));
  mClock.Advance(std::chrono::milliseconds(200));
  CHECK(mState.ExpireRemovals());
  CHECK(Has("x"));
  CHECK_FALSE(Has("y"));
  LONGS_EQUAL(7, mState.Current()->Version());
}

/** Guards against requests to a zone that operators have taken out of service,
 * before they write that again. */
TEST(PublishedState, KeepsAZoneOutForLongerThanAnEndpoint)
{
  ListOldEra(mState);
  mState.ApplyListing({}, { 1, 40 });

  mClock.Advance(std::chrono::milliseconds(9900));
  mState.ExpireRemovals();
  CHECK(mState.Current()->OutZones().contains("a"));
  mClock.Advance(std::chrono::milliseconds(200));
  CHECK(mState.ExpireRemovals());
  CHECK(mState.Current()->OutZones().empty());
}

/** Guards against the removal of items that their owners have written again,
 * and against a listing of the new era that removes the others early. */
TEST(PublishedState, KeepsWhatIsWrittenAgainInTheNewEra)
{
  ListOldEra(mState);
  mState.ApplyListing({}, { 1, 40 });
  mState.ApplyChanges(
    { { "y", "e y", { 1, 41 } }, { "out", "z a", { 1, 42 } } }, { 1, 42 });
  mState.ApplyListing(
    { { "y", "e y", { 1, 41 } }, { "out", "z a", { 1, 42 } } }, { 1, 43 });
  CHECK(Has("x"));

  mClock.Advance(std::chrono::milliseconds(2300));
  mState.ExpireRemovals();

  CHECK_FALSE(Has("x"));
  CHECK(Has("y"));
  CHECK(mState.Current()->OutZones().contains("a"));
}

/** Guards against outdated content: the new era gives out the same revisions
 * again. */
TEST(PublishedState, AnItemOfTheNewEraReplacesOneOfAHigherRevision)
{
  ListOldEra(mState);

  mState.ApplyListing({ { "x", "e x leaving", { 1, 88 } } }, { 1, 88 });
  mState.ApplyChanges({ { "y", "e y leaving", { 1, 89 } } }, { 1, 89 });

  CHECK(mState.Current()->FindEndpoint("x")->mState == EndpointState::Leaving);
  CHECK(mState.Current()->FindEndpoint("y")->mState == EndpointState::Leaving);
}

/** Guards against a lagging reader or a peer that has not seen the new era:
 * what it tells is outdated, also where the new era lacks the item. */
TEST(PublishedState, IgnoresWhatAnOlderEraTells)
{
  ListOldEra(mState);
  mState.ApplyListing({ { "x", "e x", { 1, 40 } } }, { 1, 40 });

  CHECK_FALSE(mState.ApplyListing({}, { 0, 95 }));
  CHECK_FALSE(mState.Apply({ .mPosition = { 0, 96 },
                             .mIsFull = false,
                             .mRecords = { { "x", "", { 0, 96 }, true },
                                           { "y", "", { 0, 95 }, true },
                                           { "w", "e w", { 0, 94 } } } }));

  CHECK(Has("x"));
  CHECK(Has("y"));
  CHECK_FALSE(Has("w"));
  CHECK(mState.Position() == StorePosition({ 1, 40 }));
}

/** Guards against an older configuration of the copy, here and at a peer that
 * starts later. */
TEST(PublishedState, TheConfigurationOfACopyDoesNotReplaceANewerOne)
{
  ListOldEra(mState);
  mState.ApplyListing({ { "config", "c 5", { 1, 40 } } }, { 1, 40 });
  mClock.Advance(std::chrono::milliseconds(2300));
  mState.ExpireRemovals();
  PublishedState peer(mCodec, mClock);

  peer.Apply(mState.RecordsSince(peer.Position()));

  LONGS_EQUAL(7, mState.Current()->Version());
  LONGS_EQUAL(7, peer.Current()->Version());
}

/** Guards against a configuration that peers cannot learn any more because the
 * copy has none. */
TEST(PublishedState, AConfigurationThatTheCopyLacksIsPassedOn)
{
  ListOldEra(mState);
  mState.ApplyListing({}, { 1, 40 });
  mClock.Advance(std::chrono::milliseconds(2300));
  mState.ExpireRemovals();
  PublishedState peer(mCodec, mClock);

  peer.Apply(mState.RecordsSince(peer.Position()));

  LONGS_EQUAL(7, peer.Current()->Version());
}

/** Guards against a peer that learns of the new era as changes only, and then
 * holds items of both. */
TEST(PublishedState, APeerOfAnOlderEraIsServedAFullListing)
{
  PublishedState peer(mCodec, mClock);
  ListOldEra(mState);
  ListOldEra(peer);
  mState.ApplyListing({ { "x", "e x", { 1, 40 } } }, { 1, 40 });
  mState.ApplyChanges({ { "y", "e y leaving", { 1, 41 } } }, { 1, 41 });

  const RecordBatch batch = mState.RecordsSince(peer.Position());
  peer.Apply(batch);

  CHECK(batch.mIsFull);
  CHECK(peer.Position() == StorePosition({ 1, 41 }));
  CHECK(peer.Current()->FindEndpoint("y")->mState == EndpointState::Leaving);
  CHECK(peer.Current()->OutZones().contains("a"));
  mClock.Advance(std::chrono::milliseconds(2300));
  peer.ExpireRemovals();
  CHECK(peer.Current()->FindEndpoint("x") != nullptr);
  mClock.Advance(std::chrono::seconds(8));
  CHECK(peer.ExpireRemovals());
  CHECK(peer.Current()->OutZones().empty());
}

/** Guards against items that come back from a peer which still has them in
 * force, because it has seen the new era later. */
TEST(PublishedState, RemovedItemsOfAnOlderEraDoNotComeBackFromAPeer)
{
  PublishedState late(mCodec, mClock);
  ListOldEra(mState);
  ListOldEra(late);
  mState.ApplyListing({}, { 1, 40 });
  mClock.Advance(std::chrono::milliseconds(2300));
  mState.ExpireRemovals();

  late.ApplyListing({}, { 1, 50 });
  mState.Apply(late.RecordsSince(mState.Position()));

  CHECK(late.Current()->FindEndpoint("x") != nullptr);
  CHECK_FALSE(Has("x"));
  mClock.Advance(std::chrono::seconds(8));
  mState.ExpireRemovals();
  late.ApplyListing({}, { 1, 60 });
  mState.Apply(late.RecordsSince(mState.Position()));
  CHECK(mState.Current()->OutZones().empty());
}

/** Guards against changes of a new era on top of the items of the old one. */
TEST(PublishedState, ChangesOfAnEraThatHasNotBeenListedAreIgnored)
{
  ListOldEra(mState);

  CHECK_FALSE(mState.ApplyChanges({ { "x", "", { 1, 41 }, true } }, { 1, 41 }));

  CHECK(Has("x"));
  CHECK(mState.Position() == StorePosition({ 0, 90 }));
}
