#include "rankagent/internal/rankservice.h"

#include "framework/global/identifiers.h"
#include "framework/log/log.h"
#include "transport/post.h"

#include <array>

namespace beryllever::rankagent {

namespace {

constexpr char kLogTag[] = "rank";
constexpr std::array<std::string_view, 5> kOperationNames{ "prepare",
                                                           "arm",
                                                           "disarm",
                                                           "hold",
                                                           "release" };

RankOperation
ParseOperation(std::string_view aName)
{
  for (size_t i = 0; i < kOperationNames.size(); ++i) {
    if (kOperationNames[i] == aName) {
      return static_cast<RankOperation>(i);
    }
  }
  return RankOperation::Disarm;
}

SampleDepth
DepthOf(const mesh::v1::SampleRequest& aRequest)
{
  if (aRequest.wants_counts()) {
    return SampleDepth::Counts;
  }
  return aRequest.wants_placement() ? SampleDepth::Placement
                                    : SampleDepth::State;
}

}

void
ToMessage(const RankOrder& aOrder, mesh::v1::OrderRequest& aMessage)
{
  aMessage.set_operation(
    std::string(kOperationNames[static_cast<size_t>(aOrder.mOperation)]));
  aMessage.set_epoch(aOrder.mEpoch);
  aMessage.set_version(aOrder.mVersion);
  aMessage.set_step(aOrder.mStep);
  if (aOrder.mBase && HaveSameShape(aOrder.mMap, aOrder.mBase->mMap)) {
    WriteChanges(aOrder.mMap, *aOrder.mBase, *aMessage.mutable_changes());
    return;
  }
  for (const auto& layer : aOrder.mMap) {
    mesh::v1::Layer& message = *aMessage.add_layers();
    for (const auto& experts : layer) {
      message.add_ranks()->mutable_experts()->Add(experts.begin(),
                                                  experts.end());
    }
  }
}

std::optional<RankOrder>
FromMessage(const mesh::v1::OrderRequest& aMessage, const MapHistory& aHistory)
{
  RankOrder order{ .mOperation = ParseOperation(aMessage.operation()),
                   .mEpoch = aMessage.epoch(),
                   .mVersion = aMessage.version(),
                   .mStep = aMessage.step() };
  if (aMessage.has_changes()) {
    order.mBase =
      aHistory.Find(order.mEpoch, aMessage.changes().base_version());
    auto map = order.mBase ? ApplyChanges(aMessage.changes(), order.mBase->mMap)
                           : std::nullopt;
    if (!map) {
      return std::nullopt;
    }
    order.mMap = std::move(*map);
    return order;
  }
  for (const auto& layer : aMessage.layers()) {
    order.mMap.emplace_back();
    for (const auto& rank : layer.ranks()) {
      order.mMap.back().emplace_back(rank.experts().begin(),
                                     rank.experts().end());
    }
  }
  return order;
}

void
ToMessage(OrderOutcome aOutcome, mesh::v1::OrderReply& aMessage)
{
  aMessage.set_is_taken(aOutcome == OrderOutcome::Accepted);
  aMessage.set_is_refused(aOutcome == OrderOutcome::Refused);
}

OrderOutcome
FromMessage(const mesh::v1::OrderReply& aMessage)
{
  if (aMessage.is_taken()) {
    return OrderOutcome::Accepted;
  }
  return aMessage.is_refused() ? OrderOutcome::Refused : OrderOutcome::Unknown;
}

RankService::RankService(QObject* aContext, ILocalRank& aLocalRank)
  : mContext(aContext)
  , mLocalRank(aLocalRank)
  , mSampleWriter(global::RandomIdentifier())
{
}

grpc::ServerUnaryReactor*
RankService::Sample(grpc::CallbackServerContext* aContext,
                    const mesh::v1::SampleRequest* aRequest,
                    mesh::v1::SampleReply* aReply)
{
  grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
  transport::Post(mContext, [this, aRequest, aReply, reactor] {
    mLocalRank.SampleLocal(
      DepthOf(*aRequest),
      [this, aRequest, aReply, reactor](std::optional<RankSample> aSample) {
        if (aSample) {
          mSampleWriter.Write(*aSample, *aRequest, *aReply);
        }
        reactor->Finish(grpc::Status::OK);
      });
  });
  return reactor;
}

std::optional<RankOrder>
RankService::ReadOrder(const mesh::v1::OrderRequest& aMessage) const
{
  auto order = FromMessage(aMessage, mLocalRank.Maps());
  if (!order) {
    LOGI(
      "The base of a map is not known here; the whole map is needed. version="
      << aMessage.version() << " base=" << aMessage.changes().base_version());
  }
  return order;
}

grpc::ServerUnaryReactor*
RankService::Order(grpc::CallbackServerContext* aContext,
                   const mesh::v1::OrderRequest* aRequest,
                   mesh::v1::OrderReply* aReply)
{
  grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
  transport::Post(mContext, [this, aRequest, aReply, reactor] {
    const auto order = ReadOrder(*aRequest);
    if (!order) {
      reactor->Finish(grpc::Status::OK);
      return;
    }
    mLocalRank.OrderLocal(*order, [aReply, reactor](OrderOutcome aOutcome) {
      ToMessage(aOutcome, *aReply);
      reactor->Finish(grpc::Status::OK);
    });
  });
  return reactor;
}

grpc::ServerUnaryReactor*
RankService::Relay(grpc::CallbackServerContext* aContext,
                   const mesh::v1::RelayRequest* aRequest,
                   mesh::v1::RelayReply* aReply)
{
  grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
  transport::Post(mContext, [this, aRequest, aReply, reactor] {
    const auto pending = std::make_shared<int>(aRequest->agents_size() + 1);
    // All replies are there before the first outcome arrives.
    for (int i = 0; i < *pending; ++i) {
      aReply->add_replies();
    }
    const auto handlerFor = [aReply, reactor, pending](int aIndex) {
      return [aReply, reactor, pending, aIndex](OrderOutcome aOutcome) {
        ToMessage(aOutcome, *aReply->mutable_replies(aIndex));
        if (--*pending == 0) {
          reactor->Finish(grpc::Status::OK);
        }
      };
    };
    const auto order = ReadOrder(aRequest->order());
    if (!order) {
      reactor->Finish(grpc::Status::OK);
      return;
    }
    for (int i = 0; i < aRequest->agents_size(); ++i) {
      mLocalRank.OrderAgent(aRequest->agents(i), *order, handlerFor(i + 1));
    }
    mLocalRank.OrderLocal(*order, handlerFor(0));
  });
  return reactor;
}

}
