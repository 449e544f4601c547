#pragma once

#include "transport/post.h"

#include <atomic>
#include <deque>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>

namespace beryllever::transport {

/**
 * Server side of a call whose answer is a stream. Updates queue here until the
 * reader takes them; the owner looks at Depth to hold back. Callbacks run on
 * the thread of the context.
 */
template<typename Update>
class ServerStream : public grpc::ServerWriteReactor<Update>
{
public:
  explicit ServerStream(QObject* aContext)
    : mContext(aContext)
  {
  }

  /** Keeps the call alive until gRPC is done with it. */
  static std::shared_ptr<ServerStream> Make(QObject* aContext)
  {
    auto stream = std::make_shared<ServerStream>(aContext);
    stream->mSelf = stream;
    return stream;
  }

  void Push(Update aUpdate)
  {
    const std::lock_guard lock(mMutex);
    if (mIsFinished) {
      return;
    }
    mQueue.push_back(std::move(aUpdate));
    StartNextLocked();
  }

  /** Ends the stream after what is queued. */
  void Close(const grpc::Status& aStatus = grpc::Status::OK)
  {
    const std::lock_guard lock(mMutex);
    mIsClosing = true;
    mStatus = aStatus;
    FinishIfIdleLocked();
  }

  size_t Depth() const
  {
    const std::lock_guard lock(mMutex);
    return mQueue.size();
  }

  /** Called on the context's thread after each update that the reader's side
   * has taken. */
  void SetOnTaken(std::function<void()> aOnTaken)
  {
    const std::lock_guard lock(mMutex);
    mOnTaken = std::move(aOnTaken);
  }

  /** Called on the context's thread if the reader goes away. */
  void SetOnGone(std::function<void()> aOnGone)
  {
    const std::lock_guard lock(mMutex);
    mOnGone = std::move(aOnGone);
    if (mIsGone) {
      Notify(mOnGone);
    }
  }

  void OnWriteDone(bool aIsOk) override
  {
    const std::lock_guard lock(mMutex);
    mIsWriting = false;
    if (!aIsOk) {
      mQueue.clear();
      mIsClosing = true;
      FinishIfIdleLocked();
      return;
    }
    mQueue.pop_front();
    StartNextLocked();
    Notify(mOnTaken);
  }

  void OnCancel() override
  {
    const std::lock_guard lock(mMutex);
    mIsGone = true;
    Notify(mOnGone);
    if (!mIsWriting) {
      mQueue.clear();
    }
    mIsClosing = true;
    FinishIfIdleLocked();
  }

  void OnDone() override
  {
    std::shared_ptr<ServerStream> self;
    {
      const std::lock_guard lock(mMutex);
      mOnTaken = nullptr;
      mOnGone = nullptr;
      self = std::move(mSelf);
    }
  }

private:
  void StartNextLocked()
  {
    if (!mIsWriting && !mQueue.empty()) {
      mIsWriting = true;
      this->StartWrite(&mQueue.front());
      return;
    }
    FinishIfIdleLocked();
  }

  void FinishIfIdleLocked()
  {
    if (mIsClosing && !mIsFinished && !mIsWriting && mQueue.empty()) {
      mIsFinished = true;
      this->Finish(mStatus);
    }
  }

  void Notify(const std::function<void()>& aFunction)
  {
    if (aFunction) {
      Post(mContext, aFunction);
    }
  }

  QObject* mContext;
  mutable std::mutex mMutex;
  std::deque<Update> mQueue;
  bool mIsWriting = false;
  bool mIsClosing = false;
  bool mIsFinished = false;
  bool mIsGone = false;
  grpc::Status mStatus;
  std::function<void()> mOnTaken;
  std::function<void()> mOnGone;
  std::shared_ptr<ServerStream> mSelf;
};

}
