#include "rankagent/internal/mapcodec.h"

#include "framework/global/hashing.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

/** The map in use, the one that is being prepared, and one that was given up.
 */
constexpr size_t kMaxMaps = 3;

uint64_t
ChecksumOf(const ExpertMap& aMap)
{
  std::vector<uint32_t> values;
  for (const auto& layer : aMap) {
    for (const auto& experts : layer) {
      values.push_back(static_cast<uint32_t>(experts.size()));
      values.insert(values.end(), experts.begin(), experts.end());
    }
  }
  return global::StableHash({ reinterpret_cast<const char*>(values.data()),
                              values.size() * sizeof(uint32_t) });
}

}

void
MapHistory::Add(const KnownMap& aMap)
{
  if (Find(aMap.mEpoch, aMap.mVersion)) {
    return;
  }
  mMaps.push_back(std::make_shared<const KnownMap>(aMap));
  if (mMaps.size() > kMaxMaps) {
    mMaps.pop_front();
  }
}

std::shared_ptr<const KnownMap>
MapHistory::Find(uint64_t aEpoch, uint64_t aVersion) const
{
  const auto it =
    std::find_if(mMaps.begin(), mMaps.end(), [&](const auto& aMap) {
      return aMap->mEpoch == aEpoch && aMap->mVersion == aVersion;
    });
  return it == mMaps.end() ? nullptr : *it;
}

ExpertMap
Sorted(ExpertMap aMap)
{
  for (auto& layer : aMap) {
    for (auto& experts : layer) {
      std::sort(experts.begin(), experts.end());
    }
  }
  return aMap;
}

bool
HaveSameShape(const ExpertMap& aLeft, const ExpertMap& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aLeftLayer, const auto& aRightLayer) {
                      return aLeftLayer.size() == aRightLayer.size();
                    });
}

void
WriteChanges(const ExpertMap& aMap,
             const KnownMap& aBase,
             mesh::v1::MapChanges& aMessage)
{
  aMessage.set_base_version(aBase.mVersion);
  aMessage.set_checksum(ChecksumOf(aMap));
  uint32_t unchanged = 0;
  for (size_t layer = 0; layer < aMap.size(); ++layer) {
    for (size_t rank = 0; rank < aMap[layer].size(); ++rank) {
      const std::vector<uint32_t>& experts = aMap[layer][rank];
      if (experts == aBase.mMap[layer][rank]) {
        ++unchanged;
        continue;
      }
      aMessage.add_values(unchanged);
      aMessage.add_values(static_cast<uint32_t>(experts.size()));
      aMessage.mutable_values()->Add(experts.begin(), experts.end());
      unchanged = 0;
    }
  }
}

std::optional<ExpertMap>
ApplyChanges(const mesh::v1::MapChanges& aMessage, const ExpertMap& aBase)
{
  ExpertMap map = aBase;
  std::vector<std::vector<uint32_t>*> places;
  for (auto& layer : map) {
    for (auto& experts : layer) {
      places.push_back(&experts);
    }
  }
  const auto& values = aMessage.values();
  size_t place = 0;
  int next = 0;
  while (next + 1 < values.size()) {
    place += values.Get(next);
    const auto count = static_cast<int64_t>(values.Get(next + 1));
    next += 2;
    if (place >= places.size() || count > values.size() - next) {
      return std::nullopt;
    }
    const auto begin = values.begin() + next;
    places[place]->assign(begin, begin + count);
    next += static_cast<int>(count);
    ++place;
  }
  if (next != values.size() || ChecksumOf(map) != aMessage.checksum()) {
    return std::nullopt;
  }
  return map;
}

}
