#pragma once

#include "framework/net/httpclientconnection.h"
#include "rankagent/ienginecodec.h"
#include "rankagent/mapchange.h"

#include <QTimer>
#include <deque>

namespace beryllever::rankagent {

/** HTTP client of a model engine. Calls are queued and sent one at a time. */
class EngineClient
{
public:
  EngineClient(const net::TcpAddress& aEngine, const IEngineCodec& aCodec);
  ~EngineClient();

  void ReadState(std::function<void(std::optional<RankState>)> aOnState);
  void ReadCounts(std::function<void(std::optional<ExpertCounts>)> aOnCounts);
  void ReadPlacement(
    std::function<void(std::optional<RankPlacement>)> aOnPlacement);
  void Order(const RankOrder& aOrder,
             std::function<void(OrderOutcome)> aOnOutcome);

private:
  /** Status 0 means that no complete answer was received. */
  using OnAnswer = std::function<void(unsigned, const std::string&)>;

  struct Call
  {
    std::string mRequest;
    std::chrono::milliseconds mTimeout;
    OnAnswer mOnAnswer;
  };

  void Enqueue(const std::string& aStartLine,
               const std::string& aBody,
               std::chrono::milliseconds aTimeout,
               OnAnswer aOnAnswer);
  void StartNext();
  void HandleBody(std::string_view aBytes);
  void Finish(unsigned aStatus);

  const net::TcpAddress mEngine;
  const IEngineCodec& mCodec;
  std::shared_ptr<net::HttpClientConnection> mConnection;
  std::deque<Call> mCalls;
  bool mIsBusy = false;
  unsigned mStatus = 0;
  std::string mBody;
  QTimer mTimeout;
};

}
