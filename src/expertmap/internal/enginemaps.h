#pragma once

#include "framework/net/httpcall.h"
#include "steplease/schedule.h"

#include <functional>
#include <optional>
#include <string>

namespace beryllever::expertmap {

/** What an engine says about its expert maps. */
struct EngineState
{
  steplease::Schedule mSchedule;
  steplease::Step mStep = 0;
  steplease::MapVersion mPrepared = 0;
  /** Highest fencing number that the engine has seen; 0 if it does not tell. */
  uint64_t mFence = 0;
};

/** Reads and orders the expert maps of the local engine rank. */
class EngineMaps
{
public:
  using OnState = std::function<void(const std::optional<EngineState>&)>;

  EngineMaps(QNetworkAccessManager& aManager, const std::string& aBackEnd);

  /** Hands on the state, or nothing if the engine gives no good answer. */
  void Read(OnState aOnState);
  /** Orders a schedule. Engines that check fencing numbers refuse an order with
   * an old one. */
  void Order(const steplease::Schedule& aSchedule,
             uint64_t aFencingNumber,
             OnState aOnState);
  /** Orders a map to be loaded. */
  void Prepare(steplease::MapVersion aMap);

private:
  void Send(const QByteArray& aMethod,
            const QByteArray& aBody,
            uint64_t aFencingNumber,
            OnState aOnState);

  QNetworkAccessManager& mManager;
  const QString mUrl;
};

}
