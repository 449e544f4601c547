#include "rankagent/internal/mapcodec.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;
using namespace beryllever::rankagent;

namespace {

constexpr size_t kLayers = 16;
constexpr size_t kRanks = 129;

ExpertMap
MakeMap()
{
  ExpertMap map(kLayers, std::vector<std::vector<uint32_t>>(kRanks));
  for (auto& layer : map) {
    for (uint32_t rank = 0; rank < kRanks; ++rank) {
      layer[rank] = { rank, rank + 1 };
    }
  }
  return map;
}

}

TEST_GROUP(MapCodec)
{
  const KnownMap mBase{ 1, 40, MakeMap() };
  ExpertMap mMap = MakeMap();
  mesh::v1::MapChanges mMessage;
};

TEST(MapCodec, CarriesOnlyWhatDiffers)
{
  mMap[0][0] = { 5, 129, 200 };
  mMap[3][128] = {};
  mMap[15][128] = { 1 };
  WriteChanges(mMap, mBase, mMessage);

  LONGS_EQUAL(40, mMessage.base_version());
  CHECK(mMessage.ByteSizeLong() < 50);
  CHECK(ApplyChanges(mMessage, mBase.mMap) == mMap);
}

TEST(MapCodec, AnotherBaseYieldsNoMap)
{
  mMap[0][0] = { 5 };
  WriteChanges(mMap, mBase, mMessage);
  ExpertMap other = mBase.mMap;
  other[7][7] = { 99 };

  CHECK_FALSE(ApplyChanges(mMessage, other).has_value());
  CHECK_FALSE(ApplyChanges(mMessage, {}).has_value());
}

TEST(MapCodec, BrokenMessagesYieldNoMap)
{
  mMap[0][0] = { 5 };
  WriteChanges(mMap, mBase, mMessage);
  mesh::v1::MapChanges longer = mMessage;
  longer.add_values(1);
  mesh::v1::MapChanges outside = mMessage;
  outside.add_values(kLayers * kRanks);
  outside.add_values(0);
  mesh::v1::MapChanges tooMany = mMessage;
  tooMany.add_values(0);
  tooMany.add_values(4000000000U);

  for (const auto& message : { longer, outside, tooMany }) {
    CHECK_FALSE(ApplyChanges(message, mBase.mMap).has_value());
  }
}

TEST(MapCodec, RemembersTheLastMapsOfEachEpoch)
{
  MapHistory history;
  history.Add({ 1, 40, MakeMap() });
  CHECK(history.Find(1, 40) != nullptr);
  CHECK(history.Find(2, 40) == nullptr);

  for (uint64_t version = 41; version < 44; ++version) {
    history.Add({ 1, version, MakeMap() });
  }

  CHECK(history.Find(1, 40) == nullptr);
  CHECK(history.Find(1, 43) != nullptr);
}
