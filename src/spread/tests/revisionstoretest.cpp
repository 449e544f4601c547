#include "spread/revisionstore.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace beryllever::spread;

namespace {

std::map<std::string, std::string>
Content(const RevisionStore& aStore)
{
  std::map<std::string, std::string> content;
  for (const Change& change : aStore.ChangesSince(0).mChanges) {
    if (!change.mIsDeleted) {
      content[change.mKey] = change.mValue;
    }
  }
  return content;
}

}

TEST_GROUP(RevisionStore){};

TEST(RevisionStore, ALowerRevisionIsNeverApplied)
{
  RevisionStore store;
  store.TakeSnapshot({ { "a", "new", 9, false } }, 9);

  const auto result = store.TakeSnapshot({ { "a", "old", 4, false } }, 4);

  CHECK(result.mStatus == ApplyStatus::Stale);
  CHECK_EQUAL(std::string("new"), Content(store)["a"]);
}

TEST(RevisionStore, APeerGetsOnlyTheChangedEntries)
{
  RevisionStore source;
  source.TakeSnapshot({ { "a", "1", 1, false }, { "b", "1", 1, false } }, 1);
  RevisionStore target;
  target.Apply(source.ChangesSince(0));
  source.TakeSnapshot({ { "b", "2", 5, false } }, 5);

  const ChangeSet set = source.ChangesSince(target.Revision());
  const auto result = target.Apply(set);

  CHECK(result.mStatus == ApplyStatus::Applied);
  CHECK_FALSE(set.mIsFull);
  CHECK_EQUAL(2u, set.mChanges.size());
  CHECK_EQUAL(1u, Content(target).size());
}

TEST(RevisionStore, AChangeSetAfterAGapIsNotApplied)
{
  RevisionStore store;
  store.TakeSnapshot({ { "a", "1", 1, false } }, 1);

  CHECK(store.Apply({ .mFrom = 5, .mTo = 7 }).mStatus == ApplyStatus::Gap);
  CHECK_EQUAL(1u, store.Revision());
}

TEST(RevisionStore, AWrongDigestLeavesTheStoreUnchanged)
{
  RevisionStore store;
  store.TakeSnapshot({ { "a", "1", 1, false } }, 1);

  const ChangeSet set{
    .mFrom = 1, .mTo = 3, .mDigest = 42, .mChanges = { { "a", "2", 3, false } }
  };

  CHECK(store.Apply(set).mStatus == ApplyStatus::Diverged);
  CHECK_EQUAL(std::string("1"), Content(store)["a"]);
}

// Stores read random snapshots, exchange changes in random order, and some
// restart empty. A store must never hold anything but a published snapshot, and
// its revision must not decrease until it restarts.
TEST(RevisionStore, AnyExchangeYieldsOnlyPublishedSnapshots)
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::map<uint64_t, std::vector<Change>> published;
    std::map<std::string, Change> live;
    for (uint64_t revision = 1; revision <= 20; ++revision) {
      const std::string key(1, static_cast<char>('a' + random() % 5));
      if (random() % 3 == 0) {
        live.erase(key);
      } else {
        live[key] = { key, std::to_string(random() % 4), revision, false };
      }
      for (const auto& [name, entry] : live) {
        published[revision].push_back(entry);
      }
      published[revision];
    }
    std::vector<RevisionStore> stores(4);
    std::vector<uint64_t> minRevisions(4, 0);
    for (int step = 0; step < 200; ++step) {
      const size_t i = random() % 4;
      if (const auto action = random() % 10; action == 0) {
        stores[i] = RevisionStore();
        minRevisions[i] = 0;
      } else if (action < 4) {
        const uint64_t revision = 1 + random() % 20;
        stores[i].TakeSnapshot(published[revision], revision);
      } else {
        stores[i].Apply(
          stores[random() % 4].ChangesSince(stores[i].Revision()));
      }
      CHECK(stores[i].Revision() >= minRevisions[i]);
      minRevisions[i] = stores[i].Revision();
      std::map<std::string, std::string> expected;
      for (const Change& entry : published[stores[i].Revision()]) {
        expected[entry.mKey] = entry.mValue;
      }
      CHECK_TEXT(expected == Content(stores[i]), std::to_string(seed).c_str());
    }
  }
}
