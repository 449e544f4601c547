#pragma once

#include "transport/post.h"

#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <optional>

namespace beryllever::transport {

/**
 * Client side of a call with streams both ways, for state of which only the
 * newest counts: a message that has not been sent yet is replaced by the next
 * one. Callbacks run on the thread of the context, which must outlive the call.
 */
template<typename Request, typename Update>
class ClientBidi : public grpc::ClientBidiReactor<Request, Update>
{
public:
  using Starter =
    std::function<void(grpc::ClientContext*,
                       grpc::ClientBidiReactor<Request, Update>*)>;
  using OnUpdate = std::function<void(Update)>;
  using OnEnd = std::function<void()>;

  static std::shared_ptr<ClientBidi> Start(QObject* aContext,
                                           const Starter& aStarter,
                                           OnUpdate aOnUpdate,
                                           OnEnd aOnEnd)
  {
    std::shared_ptr<ClientBidi> call(
      new ClientBidi(aContext, std::move(aOnUpdate), std::move(aOnEnd)));
    call->mSelf = call;
    aStarter(&call->mClientContext, call.get());
    call->AddHold();
    call->StartRead(&call->mUpdate);
    call->StartCall();
    return call;
  }

  void Send(Request aRequest)
  {
    const std::lock_guard lock(mMutex);
    if (mIsOver) {
      return;
    }
    mNext = std::move(aRequest);
    StartNextLocked();
  }

  void Cancel()
  {
    mClientContext.TryCancel();
    const std::lock_guard lock(mMutex);
    ReleaseLocked();
  }

  void OnWriteDone(bool aIsOk) override
  {
    const std::lock_guard lock(mMutex);
    mIsWriting = false;
    if (aIsOk) {
      StartNextLocked();
    }
  }

  void OnReadDone(bool aIsOk) override
  {
    if (!aIsOk) {
      mClientContext.TryCancel();
      const std::lock_guard lock(mMutex);
      ReleaseLocked();
      return;
    }
    Post(mContext,
         [self = mSelf, update = mUpdate] { self->mOnUpdate(update); });
    this->StartRead(&mUpdate);
  }

  void OnDone(const grpc::Status&) override
  {
    auto self = std::move(mSelf);
    Post(mContext, [self] {
      self->mOnEnd();
      self->mOnUpdate = nullptr;
      self->mOnEnd = nullptr;
    });
  }

private:
  ClientBidi(QObject* aContext, OnUpdate aOnUpdate, OnEnd aOnEnd)
    : mContext(aContext)
    , mOnUpdate(std::move(aOnUpdate))
    , mOnEnd(std::move(aOnEnd))
  {
  }

  void StartNextLocked()
  {
    if (!mIsWriting && mNext && !mIsOver) {
      mIsWriting = true;
      mSending = std::move(*mNext);
      mNext.reset();
      this->StartWrite(&mSending);
    }
  }

  void ReleaseLocked()
  {
    if (!mIsOver) {
      mIsOver = true;
      this->RemoveHold();
    }
  }

  QObject* mContext;
  OnUpdate mOnUpdate;
  OnEnd mOnEnd;
  grpc::ClientContext mClientContext;
  std::mutex mMutex;
  Request mSending;
  std::optional<Request> mNext;
  Update mUpdate;
  bool mIsWriting = false;
  bool mIsOver = false;
  std::shared_ptr<ClientBidi> mSelf;
};

}
