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
};

TEST(PublishedState, TheConfigurationVersionNeverDecreases)
{
  mState.ApplyChanges({ { "config", "c 7", 10 } }, 10);

  CHECK_FALSE(mState.ApplyChanges({ { "config", "c 5", 11 } }, 11));

  LONGS_EQUAL(7, mState.Current()->Version());
}

TEST(PublishedState, AStaleListingChangesNothing)
{
  mState.ApplyListing({ { "config", "c 7", 10 }, { "x", "e x", 12 } }, 12);

  CHECK_FALSE(mState.ApplyListing(
    { { "config", "c 6", 8 }, { "x", "e x leaving", 9 } }, 9));

  CHECK(Has("x"));
  CHECK(mState.Current()->FindEndpoint("x")->mState == EndpointState::Ready);
}

TEST(PublishedState, AListingAfterMissedChangesRemovesDeletedItems)
{
  mState.ApplyListing({ { "x", "e x", 5 }, { "y", "e y", 6 } }, 6);

  mState.ApplyListing({ { "y", "e y", 6 } }, 20);

  CHECK_FALSE(Has("x"));
  CHECK(Has("y"));
}

TEST(PublishedState, AnItemAddedWhileListingIsNotRemoved)
{
  mState.ApplyChanges({ { "x", "e x", 30 } }, 30);

  mState.ApplyListing({}, 20);

  CHECK(Has("x"));
}

TEST(PublishedState, AnUnreadableItemRemovesOnlyItsOwnEndpoint)
{
  mState.ApplyChanges({ { "x", "e x", 1 }, { "y", "e y", 2 } }, 2);

  mState.ApplyChanges({ { "x", "?", 3 } }, 3);

  CHECK_FALSE(Has("x"));
  CHECK(Has("y"));
}

TEST(PublishedState, DelaysTheRemovalOfAnEndpointThatLapsedInAnOutage)
{
  mState.ApplyChanges({ { "x", "e x", 1 } }, 1);
  mState.RecordFailure();
  mState.ApplyChanges({ { "x", "", 2, true } }, 2);
  CHECK(Has("x"));

  mClock.Advance(std::chrono::milliseconds(2300));

  CHECK(mState.ExpireRemovals());
  CHECK_FALSE(Has("x"));
}

TEST(PublishedState, KeepsAnEndpointThatIsRegisteredAgainAfterAnOutage)
{
  mState.ApplyChanges({ { "x", "e x", 1 } }, 1);
  mState.RecordFailure();
  mState.ApplyChanges({ { "x", "", 2, true } }, 2);
  mState.ApplyChanges({ { "x", "e x", 3 } }, 3);

  mClock.Advance(std::chrono::seconds(10));

  CHECK_FALSE(mState.ExpireRemovals());
  CHECK(Has("x"));
}

TEST(PublishedState, SendsAPeerTheChangesThatItLacks)
{
  mState.ApplyChanges({ { "x", "e x", 1 }, { "y", "e y", 2 } }, 2);
  mState.ApplyChanges({ { "x", "", 3, true } }, 3);
  PublishedState peer(mCodec, mClock);
  peer.ApplyChanges({ { "x", "e x", 1 } }, 1);

  peer.Apply(mState.RecordsSince(peer.Revision()));

  CHECK(peer.Current()->FindEndpoint("x") == nullptr);
  CHECK(peer.Current()->FindEndpoint("y") != nullptr);
  LONGS_EQUAL(3, peer.Revision());
}

/** Guards against requests to an endpoint that was removed while all peers that
 * could tell of it were down: a peer that starts lists the store without it. */
TEST(PublishedState, APeerThatHasListedSinceARemovalTellsOfIt)
{
  PublishedState peer(mCodec, mClock);
  const std::vector<Record> before{ { "out", "z a", 1 },
                                    { "x", "e x", 2 },
                                    { "y", "e y", 3 } };
  peer.ApplyListing(before, 3);
  mState.ApplyListing({ { "y", "e y", 3 } }, 5);

  CHECK(peer.Apply(mState.RecordsSince(peer.Revision())));

  CHECK(peer.Current()->FindEndpoint("x") == nullptr);
  CHECK(peer.Current()->FindEndpoint("y") != nullptr);
  CHECK(peer.Current()->OutZones().empty());
  // What follows is told as changes.
  mState.ApplyChanges({ { "y", "", 6, true } }, 6);
  const RecordBatch changes = mState.RecordsSince(peer.Revision());
  CHECK_FALSE(changes.mIsFull);
  LONGS_EQUAL(1, changes.mRecords.size());
}

/** Guards against the loss of a removal that a second peer would have to pass
 * on: one that has caught up by a whole listing knows no more removals. */
TEST(PublishedState, APeerThatHasCaughtUpByAListingTellsOfRemovals)
{
  PublishedState second(mCodec, mClock);
  PublishedState third(mCodec, mClock);
  third.ApplyListing({ { "x", "e x", 2 } }, 2);
  mState.ApplyListing({}, 5);

  second.Apply(mState.RecordsSince(second.Revision()));
  third.Apply(second.RecordsSince(third.Revision()));

  CHECK(third.Current()->FindEndpoint("x") == nullptr);
}

TEST(PublishedState, AZoneIsOutOfServiceUntilItsItemIsRemoved)
{
  mState.ApplyChanges({ { "out", "z a", 1 } }, 1);
  CHECK(mState.Current()->OutZones().contains("a"));

  mState.ApplyChanges({ { "out", "", 2, true } }, 2);

  CHECK(mState.Current()->OutZones().empty());
}

TEST(PublishedState, APeerThatDoesNotReadTheStoreDelaysRemovalsAfterAnOutage)
{
  // Arrange: a store reader that has seen the outage, and its peer.
  PublishedState peer(mCodec, mClock);
  mState.ApplyChanges({ { "x", "e x", 5 } }, 5);
  peer.Apply(mState.RecordsSince(0));
  mState.RecordFailure();

  // Act: the registration of the endpoint lapses.
  mState.ApplyChanges({ { .mKey = "x", .mRevision = 6, .mIsDeleted = true } },
                      6);
  peer.Apply(mState.RecordsSince(5));

  CHECK(Has("x"));
  CHECK(peer.Current()->FindEndpoint("x") != nullptr);

  // Assert: both keep the endpoint, and remove it when it has not been
  // registered again in time.
  mClock.Advance(std::chrono::milliseconds(2300));
  CHECK(mState.ExpireRemovals());
  CHECK(peer.ExpireRemovals());
  CHECK(peer.Current()->FindEndpoint("x") == nullptr);
}
