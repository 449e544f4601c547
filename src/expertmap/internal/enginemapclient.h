#pragma once

#include "framework/net/httpcall.h"
#include "steplease/schedule.h"

#include <functional>
#include <optional>
#include <string>

namespace beryllever::expertmap {

/** Expert map state reported by an engine. */
struct EngineState
{
  steplease::Schedule mSchedule;
  steplease::Step mStep = 0;
  steplease::MapVersion mPreparedMap = 0;
  /** Highest fencing number that the engine has seen; 0 if not reported. */
  uint64_t mFencingNumber = 0;
};

/** HTTP client for the expert map API of the local engine rank. */
class EngineMapClient
{
public:
  using OnState = std::function<void(const std::optional<EngineState>&)>;

  explicit EngineMapClient(const std::string& aBackEnd);

  /** Passes std::nullopt if the engine does not return a valid state. */
  void ReadState(OnState aOnState);
  /** Sets the schedule. An engine that checks fencing numbers refuses a request
   * whose number is lower than one it has seen. */
  void SetSchedule(const steplease::Schedule& aSchedule,
                   uint64_t aFencingNumber,
                   OnState aOnState);
  /** Requests the engine to load a map. */
  void PrepareMap(steplease::MapVersion aMap);

private:
  void Send(const QByteArray& aMethod,
            const QByteArray& aBody,
            uint64_t aFencingNumber,
            OnState aOnState);

  const QString mUrl;
  /** Owns the calls in progress. */
  QObject mContext;
};

}
