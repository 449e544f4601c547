#pragma once

#include "mesh/meshnode.h"
#include "rankagent/internal/groupport.h"
#include "rankagent/internal/samplecodec.h"

#include <QObject>
#include <chrono>
#include <map>

namespace beryllever::rankagent {

/** Calls the agents of other ranks over gRPC. Callbacks run on the thread of
 * this object. */
class AgentClient
{
public:
  /** Called with std::nullopt if the agent has not answered; the inner value is
   * empty if the agent could not read its rank. */
  using OnSampleReply =
    std::function<void(std::optional<std::optional<RankSample>>)>;
  /** Called with whether the agent has answered, and with the outcome. */
  using OnOrderReply = std::function<void(bool, OrderOutcome)>;
  /** Called with whether the first agent has answered, and with the outcome of
   * each agent in the order in which they were given. */
  using OnRelayReply =
    std::function<void(bool, const std::vector<OrderOutcome>&)>;

  explicit AgentClient(mesh::MeshNode& aMesh);

  void Sample(const std::string& aAgent,
              SampleDepth aDepth,
              OnSampleReply aOnReply);
  void Order(const std::string& aAgent,
             const RankOrder& aOrder,
             OnOrderReply aOnReply);
  /** Gives an order that the agent has been asked to pass on. */
  void OrderAsRelay(const std::string& aAgent,
                    const RankOrder& aOrder,
                    OnOrderReply aOnReply);
  /** Gives an order to the first agent, which passes it on to the others. */
  void Relay(const std::vector<std::string>& aAgents,
             const RankOrder& aOrder,
             OnRelayReply aOnReply);

private:
  std::shared_ptr<mesh::v1::RankControl::Stub> StubOf(
    const std::string& aAgent);
  void CallOrder(const std::string& aAgent,
                 const RankOrder& aOrder,
                 std::chrono::milliseconds aTimeout,
                 OnOrderReply aOnReply);

  QObject mContext;
  mesh::MeshNode& mMesh;
  /** What is known of each agent's rank, by the agent's address. */
  std::map<std::string, SampleReader> mReaders;
};

}
