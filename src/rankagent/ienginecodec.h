#pragma once

#include "rankagent/ranktypes.h"

#include <optional>

namespace beryllever::rankagent {

/** Encodes and decodes the HTTP calls to a model engine. */
class IEngineCodec
{
public:
  virtual ~IEngineCodec() = default;

  virtual std::string StateTarget() const = 0;
  virtual std::string CountsTarget() const = 0;
  virtual std::string PlacementTarget() const = 0;
  virtual std::string OrderTarget() const = 0;
  /** Returns std::nullopt if the body is malformed. */
  virtual std::optional<RankState> ParseState(
    const std::string& aBody) const = 0;
  virtual std::optional<ExpertCounts> ParseCounts(
    const std::string& aBody) const = 0;
  virtual std::optional<RankPlacement> ParsePlacement(
    const std::string& aBody) const = 0;
  virtual std::string SerializeOrder(const RankOrder& aOrder) const = 0;
};

}
