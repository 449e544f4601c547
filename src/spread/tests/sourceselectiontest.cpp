#include "spread/sourceselection.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>

using namespace beryllever::spread;

namespace {

std::vector<Candidate>
Entries(int aCount)
{
  std::vector<Candidate> entries;
  for (int i = 0; i < aCount; ++i) {
    entries.push_back(
      { "e" + std::to_string(i), "az" + std::to_string(i % 5), "" });
  }
  return entries;
}

}

TEST_GROUP(SourceSelection){};

TEST(SourceSelection, WatchersOfAZoneDoNotDependOnTheOrderOfEntries)
{
  auto entries = Entries(390);
  const auto watchers = SelectWatchers(entries, 2);
  std::reverse(entries.begin(), entries.end());
  const auto reordered = SelectWatchers(entries, 2);

  CHECK_EQUAL(10u, watchers.size());
  for (size_t i = 0; i < watchers.size(); ++i) {
    CHECK_EQUAL(watchers[i].mVm, reordered[i].mVm);
  }
}

TEST(SourceSelection, SourcesAreOtherProcessesInDifferentZones)
{
  const auto sources = SelectSources("e7", Entries(20), 2);

  CHECK_EQUAL(2u, sources.size());
  CHECK(sources[0].mAvailabilityZone != sources[1].mAvailabilityZone);
  CHECK(sources[0].mVm != "e7");
}

// At the design size, 1500 followers of two out of 390 entries each, the even
// share of an entry is about 8 followers. No entry may have more than about
// three times that.
TEST(SourceSelection, FollowersAreDistributedEvenly)
{
  const auto entries = Entries(390);
  std::map<std::string, int> followers;
  for (int i = 0; i < 1500; ++i) {
    for (const Candidate& source :
         SelectSources("agent" + std::to_string(i), entries, 2)) {
      ++followers[source.mVm];
    }
  }

  const auto most = std::max_element(followers.begin(),
                                     followers.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     });
  CHECK(most->second <= 24);
}
