#pragma once

#include "transport/post.h"

#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>

namespace beryllever::transport {

/**
 * Client side of a call whose answer is a stream. Updates are read one at a
 * time, on demand, so that an answer that is not read stays at its sender.
 * Callbacks run on the thread of the context, which must outlive the call.
 */
template<typename Request, typename Update>
class ClientStream : public grpc::ClientReadReactor<Update>
{
public:
  using Starter = std::function<void(grpc::ClientContext*,
                                     const Request*,
                                     grpc::ClientReadReactor<Update>*)>;
  using OnUpdate = std::function<void(Update)>;
  using OnEnd = std::function<void(const grpc::Status&)>;

  static std::shared_ptr<ClientStream> Start(
    QObject* aContext,
    Request aRequest,
    std::chrono::system_clock::time_point aDeadline,
    const Starter& aStarter,
    OnUpdate aOnUpdate,
    OnEnd aOnEnd)
  {
    std::shared_ptr<ClientStream> call(new ClientStream(
      aContext, std::move(aRequest), std::move(aOnUpdate), std::move(aOnEnd)));
    call->mSelf = call;
    call->mClientContext.set_deadline(aDeadline);
    aStarter(&call->mClientContext, &call->mRequest, call.get());
    // The hold lets reads start outside of reactions.
    call->AddHold();
    call->StartCall();
    return call;
  }

  /** Asks for one update. Ignored while one is being read. */
  void Read()
  {
    const std::lock_guard lock(mMutex);
    StartReadLocked();
  }

  /** Ends the call; the end is still reported. */
  void Cancel()
  {
    mClientContext.TryCancel();
    Read();
  }

  void OnReadDone(bool aIsOk) override
  {
    if (!aIsOk) {
      const std::lock_guard lock(mMutex);
      mIsOver = true;
      this->RemoveHold();
      return;
    }
    Update update;
    {
      const std::lock_guard lock(mMutex);
      update.Swap(&mUpdate);
      mIsReading = false;
    }
    Post(mContext, [self = mSelf, update = std::move(update)]() mutable {
      self->mOnUpdate(std::move(update));
    });
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    auto self = std::move(mSelf);
    Post(mContext, [self, aStatus] {
      self->mOnEnd(aStatus);
      // Callbacks may hold the owner of the call.
      self->mOnUpdate = nullptr;
      self->mOnEnd = nullptr;
    });
  }

private:
  ClientStream(QObject* aContext,
               Request aRequest,
               OnUpdate aOnUpdate,
               OnEnd aOnEnd)
    : mContext(aContext)
    , mRequest(std::move(aRequest))
    , mOnUpdate(std::move(aOnUpdate))
    , mOnEnd(std::move(aOnEnd))
  {
  }

  void StartReadLocked()
  {
    if (!mIsReading && !mIsOver) {
      mIsReading = true;
      this->StartRead(&mUpdate);
    }
  }

  QObject* mContext;
  Request mRequest;
  OnUpdate mOnUpdate;
  OnEnd mOnEnd;
  grpc::ClientContext mClientContext;
  std::mutex mMutex;
  Update mUpdate;
  bool mIsReading = false;
  bool mIsOver = false;
  std::shared_ptr<ClientStream> mSelf;
};

}
