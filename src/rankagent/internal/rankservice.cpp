#include "rankagent/internal/rankservice.h"

#include "transport/post.h"

#include <array>

namespace beryllever::rankagent {

namespace {

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
ToMessage(const RankSample& aSample, mesh::v1::SampleReply& aMessage)
{
  const RankState& state = aSample.mState;
  aMessage.set_is_known(true);
  aMessage.set_group(state.mGroup);
  aMessage.set_epoch(state.mEpoch);
  aMessage.set_rank(state.mRank);
  aMessage.set_size(state.mSize);
  aMessage.set_is_open(state.mIsOpen);
  aMessage.set_is_busy(state.mIsBusy);
  aMessage.set_pace(state.mPace);
  aMessage.set_step(state.mStep);
  aMessage.set_map_version(state.mMapVersion);
  aMessage.set_prepared_version(state.mPreparedVersion);
  aMessage.set_armed_version(state.mArmedVersion);
  aMessage.set_armed_step(state.mArmedStep);
  aMessage.set_held_step(state.mHeldStep);
  aMessage.mutable_counts()->Add(aSample.mCounts.begin(),
                                 aSample.mCounts.end());
  for (const auto& experts : aSample.mExperts) {
    aMessage.add_experts()->mutable_experts()->Add(experts.begin(),
                                                   experts.end());
  }
}

std::optional<RankSample>
FromMessage(const mesh::v1::SampleReply& aMessage)
{
  if (!aMessage.is_known()) {
    return std::nullopt;
  }
  RankSample sample;
  sample.mState = { .mGroup = aMessage.group(),
                    .mEpoch = aMessage.epoch(),
                    .mRank = aMessage.rank(),
                    .mSize = aMessage.size(),
                    .mIsOpen = aMessage.is_open(),
                    .mPace = aMessage.pace(),
                    .mIsBusy = aMessage.is_busy(),
                    .mStep = aMessage.step(),
                    .mMapVersion = aMessage.map_version(),
                    .mPreparedVersion = aMessage.prepared_version(),
                    .mArmedVersion = aMessage.armed_version(),
                    .mArmedStep = aMessage.armed_step(),
                    .mHeldStep = aMessage.held_step() };
  sample.mCounts.assign(aMessage.counts().begin(), aMessage.counts().end());
  for (const auto& experts : aMessage.experts()) {
    sample.mExperts.emplace_back(experts.experts().begin(),
                                 experts.experts().end());
  }
  return sample;
}

void
ToMessage(const RankOrder& aOrder, mesh::v1::OrderRequest& aMessage)
{
  aMessage.set_operation(
    std::string(kOperationNames[static_cast<size_t>(aOrder.mOperation)]));
  aMessage.set_epoch(aOrder.mEpoch);
  aMessage.set_version(aOrder.mVersion);
  aMessage.set_step(aOrder.mStep);
  for (const auto& layer : aOrder.mMap) {
    mesh::v1::Layer& message = *aMessage.add_layers();
    for (const auto& experts : layer) {
      message.add_ranks()->mutable_experts()->Add(experts.begin(),
                                                  experts.end());
    }
  }
}

RankOrder
FromMessage(const mesh::v1::OrderRequest& aMessage)
{
  RankOrder order{ .mOperation = ParseOperation(aMessage.operation()),
                   .mEpoch = aMessage.epoch(),
                   .mVersion = aMessage.version(),
                   .mStep = aMessage.step() };
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
      DepthOf(*aRequest), [aReply, reactor](std::optional<RankSample> aSample) {
        if (aSample) {
          ToMessage(*aSample, *aReply);
        }
        reactor->Finish(grpc::Status::OK);
      });
  });
  return reactor;
}

grpc::ServerUnaryReactor*
RankService::Order(grpc::CallbackServerContext* aContext,
                   const mesh::v1::OrderRequest* aRequest,
                   mesh::v1::OrderReply* aReply)
{
  grpc::ServerUnaryReactor* const reactor = aContext->DefaultReactor();
  transport::Post(mContext, [this, aRequest, aReply, reactor] {
    mLocalRank.OrderLocal(FromMessage(*aRequest),
                          [aReply, reactor](OrderOutcome aOutcome) {
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
    const RankOrder order = FromMessage(aRequest->order());
    for (int i = 0; i < aRequest->agents_size(); ++i) {
      mLocalRank.OrderAgent(aRequest->agents(i), order, handlerFor(i + 1));
    }
    mLocalRank.OrderLocal(order, handlerFor(0));
  });
  return reactor;
}

}
