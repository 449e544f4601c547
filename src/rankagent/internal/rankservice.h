#pragma once

#include "mesh.grpc.pb.h"
#include "rankagent/internal/groupport.h"
#include "rankagent/internal/mapcodec.h"
#include "rankagent/internal/samplecodec.h"

#include <QObject>

namespace beryllever::rankagent {

/** Access to the local rank for RankService, on the control thread. */
class ILocalRank
{
public:
  virtual ~ILocalRank() = default;

  /** Calls aOnSample with nullopt if the engine's state cannot be read. */
  virtual void SampleLocal(SampleDepth aDepth,
                           IGroupPort::OnSample aOnSample) = 0;
  virtual void OrderLocal(const RankOrder& aOrder,
                          IGroupPort::OnOutcome aOnOutcome) = 0;
  /** Maps that this agent was told of. */
  virtual const MapHistory& Maps() const = 0;
  /** Gives the order to the agent at a peer address. */
  virtual void OrderAgent(const std::string& aAgent,
                          const RankOrder& aOrder,
                          IGroupPort::OnOutcome aOnOutcome) = 0;
};

void
ToMessage(const RankOrder& aOrder, mesh::v1::OrderRequest& aMessage);
/** Returns nullopt if the message names a base that the history lacks. */
std::optional<RankOrder>
FromMessage(const mesh::v1::OrderRequest& aMessage, const MapHistory& aHistory);
void
ToMessage(OrderOutcome aOutcome, mesh::v1::OrderReply& aMessage);
OrderOutcome
FromMessage(const mesh::v1::OrderReply& aMessage);

/** gRPC service through which the group's leader reaches the local rank. */
class RankService : public mesh::v1::RankControl::CallbackService
{
public:
  RankService(QObject* aContext, ILocalRank& aLocalRank);

  grpc::ServerUnaryReactor* Sample(grpc::CallbackServerContext* aContext,
                                   const mesh::v1::SampleRequest* aRequest,
                                   mesh::v1::SampleReply* aReply) override;
  grpc::ServerUnaryReactor* Order(grpc::CallbackServerContext* aContext,
                                  const mesh::v1::OrderRequest* aRequest,
                                  mesh::v1::OrderReply* aReply) override;
  grpc::ServerUnaryReactor* Relay(grpc::CallbackServerContext* aContext,
                                  const mesh::v1::RelayRequest* aRequest,
                                  mesh::v1::RelayReply* aReply) override;

private:
  /** Returns nullopt if the order can only be understood with the whole map. */
  std::optional<RankOrder> ReadOrder(
    const mesh::v1::OrderRequest& aMessage) const;

  QObject* mContext;
  ILocalRank& mLocalRank;
  SampleWriter mSampleWriter;
};

}
