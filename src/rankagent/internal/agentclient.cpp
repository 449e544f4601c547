#include "rankagent/internal/agentclient.h"

#include "rankagent/internal/rankservice.h"
#include "transport/unary.h"

#include <algorithm>

namespace beryllever::rankagent {

namespace {

using std::chrono::milliseconds;

/** Allows for an agent that gets only a small share of a core. */
constexpr milliseconds kSampleTimeout{ 400 };
constexpr milliseconds kOrderTimeout{ 200 };
/** An order with a map sends several kilobytes to each of up to 256 ranks over
 * the leader's link. */
constexpr milliseconds kMapOrderTimeout{ 2000 };
/** Time for an order that is passed on; shorter, so that the leader still gets
 * the other outcomes. */
constexpr milliseconds kRelayedOrderTimeout{ 1000 };

/** Outcomes of a relayed order; unknown for agents that the reply leaves out.
 */
std::vector<OrderOutcome>
OutcomesOf(const mesh::v1::RelayReply& aReply, size_t aAgents)
{
  std::vector<OrderOutcome> outcomes(aAgents, OrderOutcome::Unknown);
  const auto replies = static_cast<size_t>(aReply.replies_size());
  for (size_t i = 0; i < std::min(replies, aAgents); ++i) {
    outcomes[i] = FromMessage(aReply.replies(static_cast<int>(i)));
  }
  return outcomes;
}

}

AgentClient::AgentClient(mesh::MeshNode& aMesh)
  : mMesh(aMesh)
{
}

std::shared_ptr<mesh::v1::RankControl::Stub>
AgentClient::StubOf(const std::string& aAgent)
{
  return mesh::v1::RankControl::NewStub(mMesh.ChannelTo(aAgent));
}

void
AgentClient::Sample(const std::string& aAgent,
                    SampleDepth aDepth,
                    OnSampleReply aOnReply)
{
  transport::CallUnary<mesh::v1::SampleRequest, mesh::v1::SampleReply>(
    &mContext,
    mReaders[aAgent].MakeRequest(aDepth),
    std::chrono::system_clock::now() + kSampleTimeout,
    [stub = StubOf(aAgent)](
      auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Sample(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [this, aAgent, aOnReply](const grpc::Status& aStatus,
                             const mesh::v1::SampleReply& aReply) {
      if (!aStatus.ok()) {
        mReaders.erase(aAgent);
        aOnReply(std::nullopt);
        return;
      }
      aOnReply(std::optional(mReaders[aAgent].Read(aReply)));
    });
}

void
AgentClient::Order(const std::string& aAgent,
                   const RankOrder& aOrder,
                   OnOrderReply aOnReply)
{
  CallOrder(aAgent,
            aOrder,
            aOrder.mMap.empty() ? kOrderTimeout : kMapOrderTimeout,
            std::move(aOnReply));
}

void
AgentClient::OrderAsRelay(const std::string& aAgent,
                          const RankOrder& aOrder,
                          OnOrderReply aOnReply)
{
  CallOrder(aAgent, aOrder, kRelayedOrderTimeout, std::move(aOnReply));
}

void
AgentClient::CallOrder(const std::string& aAgent,
                       const RankOrder& aOrder,
                       milliseconds aTimeout,
                       OnOrderReply aOnReply)
{
  mesh::v1::OrderRequest request;
  ToMessage(aOrder, request);
  transport::CallUnary<mesh::v1::OrderRequest, mesh::v1::OrderReply>(
    &mContext,
    std::move(request),
    std::chrono::system_clock::now() + aTimeout,
    [stub = StubOf(aAgent)](
      auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Order(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [aOnReply](const grpc::Status& aStatus,
               const mesh::v1::OrderReply& aReply) {
      aOnReply(aStatus.ok(),
               aStatus.ok() ? FromMessage(aReply) : OrderOutcome::Unknown);
    });
}

void
AgentClient::Relay(const std::vector<std::string>& aAgents,
                   const RankOrder& aOrder,
                   OnRelayReply aOnReply)
{
  mesh::v1::RelayRequest request;
  ToMessage(aOrder, *request.mutable_order());
  for (size_t i = 1; i < aAgents.size(); ++i) {
    request.add_agents(aAgents[i]);
  }
  transport::CallUnary<mesh::v1::RelayRequest, mesh::v1::RelayReply>(
    &mContext,
    std::move(request),
    std::chrono::system_clock::now() + kMapOrderTimeout,
    [stub = StubOf(aAgents.front())](
      auto* aContext, auto* aRequest, auto* aReply, auto aOnEnd) {
      stub->async()->Relay(aContext, aRequest, aReply, std::move(aOnEnd));
    },
    [aOnReply, n = aAgents.size()](const grpc::Status& aStatus,
                                   const mesh::v1::RelayReply& aReply) {
      aOnReply(aStatus.ok(),
               aStatus.ok()
                 ? OutcomesOf(aReply, n)
                 : std::vector<OrderOutcome>(n, OrderOutcome::Unknown));
    });
}

}
