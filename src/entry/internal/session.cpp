#include "entry/internal/session.h"

#include "framework/log/log.h"

namespace beryllever::entry {

using global::ErrorKind;

namespace {

constexpr char kLogTag[] = "entry";
/** Memory of a session besides the response: socket, call and their buffers,
 * and memory that the allocator keeps after a load peak. With the default
 * limits.streamBytes, a stream reserves 160 KiB in total. */
constexpr int64_t kSessionBytes = 96 * 1024;
/** The HTTP request, the session and the call each hold a copy of the body. */
constexpr int64_t kBodyCopies = 3;

}

Session::Session(SessionContext& aContext,
                 net::HttpExchange* aExchange,
                 CallerRequest aRequest,
                 const std::string& aSpanName)
  : mContext(aContext)
  , mExchange(aExchange)
  , mRequest(std::move(aRequest))
  , mSpan(aContext.mTracer.Start(
      tracing::ParseTraceparent(
        aExchange->Request().Header("traceparent").toStdString()),
      aSpanName))
  , mStartedAt(aContext.mClock.Now())
{
}

Session::~Session()
{
  if (mReservedBytes > 0) {
    mContext.mBudget.Release(mRequest.mWorkspace, mReservedBytes);
  }
}

void
Session::Start()
{
  mSpan.mAttributes["workspace"] = mRequest.mWorkspace;
  mSpan.mAttributes["kind"] = mRequest.mKind;
  const int64_t bytes =
    2 * mContext.mSettings->Limits().mStreamBytes + kSessionBytes +
    kBodyCopies * static_cast<int64_t>(mRequest.mBody.size());
  if (!mContext.mBudget.Reserve(mRequest.mWorkspace, bytes)) {
    Fail({ ErrorKind::Overloaded, "the memory limit for requests is reached" });
    return;
  }
  mReservedBytes = bytes;
  const std::weak_ptr<Session> weak = weak_from_this();
  mExchange->SetOnGone([weak] {
    if (const auto self = weak.lock()) {
      self->mExchange = nullptr;
      self->HandleDisconnect();
    }
  });
  Begin();
}

void
Session::Fail(const global::Error& aError, const ErrorDetails& aDetails)
{
  if (mExchange) {
    ReplyError(mExchange, aError, aDetails);
  }
  LOGD("Request failed. kind=" << global::AnswerFor(aError.mKind).mName
                               << " workspace=" << mRequest.mWorkspace
                               << " reason=" << aError.mMessage);
  Finish(std::string(global::AnswerFor(aError.mKind).mName));
}

void
Session::Finish(const std::string& aEnd)
{
  mExchange = nullptr;
  mSpan.mAttributes["end"] = aEnd;
  mContext.mTracer.Finish(mSpan);
  mContext.mMetrics.Count("beryllever_requests_total",
                          { { "kind", mRequest.mKind }, { "end", aEnd } });
  mContext.mMetrics.Sample(
    "beryllever_request_seconds",
    std::chrono::duration<double>(mContext.mClock.Now() - mStartedAt).count(),
    { { "kind", mRequest.mKind } });
}

PlacementRequest
Session::MakePlacementRequest() const
{
  return { .mPool = mRequest.mRoute->mPool,
           .mWorkspace = mRequest.mWorkspace,
           .mPriority = mRequest.mRoute->mPriority,
           .mWeight = mRequest.mRoute->mWeight,
           .mDeadline = mRequest.mDeadline };
}

}
