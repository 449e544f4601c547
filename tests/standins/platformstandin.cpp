#include "standins.h"

namespace beryllever::standins {

namespace {

constexpr char kPairPath[] = "/v1/kv/";

net::Headers
IndexHeader(uint64_t aIndex)
{
  return { { "X-Consul-Index",
             QByteArray::number(static_cast<qulonglong>(aIndex)) } };
}

}

PlatformStandin::PlatformStandin() = default;

void
PlatformStandin::Handle(net::HttpExchange* aExchange)
{
  const net::HttpRequest& request = aExchange->Request();
  const bool isPair = request.mPath.startsWith(kPairPath);
  if (request.mPath == "/standin/mode") {
    SetMode(BodyOf(aExchange));
    ReplyJson(aExchange, 200, {});
  } else if (request.mPath == "/standin/reads") {
    ReplyJson(aExchange,
              200,
              { { "reads", mReads },
                { "index", mIndex },
                { "waiting", mWaiters.size() } });
  } else if (isPair && request.mMethod == "PUT") {
    const std::string key =
      request.mPath.mid(sizeof(kPairPath) - 1).toStdString();
    Change(mState.mPairs,
           key,
           { { "Key", key },
             { "Value", request.mBody.toBase64().toStdString() },
             { "ModifyIndex", mIndex + 1 } },
           mState.mPairsIndex);
    ReplyJson(aExchange, 200, mIndex);
  } else if (isPair && request.mMethod == "DELETE") {
    Change(mState.mPairs,
           request.mPath.mid(sizeof(kPairPath) - 1).toStdString(),
           {},
           mState.mPairsIndex);
    ReplyJson(aExchange, 200, mIndex);
  } else if (request.mPath == "/v1/catalog/register") {
    const Json node = BodyOf(aExchange);
    Change(mState.mNodes, node["Node"], node, mState.mNodesIndex);
    ReplyJson(aExchange, 200, mIndex);
  } else if (request.mPath == "/v1/catalog/deregister") {
    Change(mState.mNodes, BodyOf(aExchange)["Node"], {}, mState.mNodesIndex);
    ReplyJson(aExchange, 200, mIndex);
  } else {
    Read(aExchange, !isPair);
  }
}

void
PlatformStandin::Read(net::HttpExchange* aExchange, bool aIsCatalog)
{
  ++mReads;
  if (mIsDown) {
    aExchange->Abort();
    return;
  }
  const State& state = mIsStale ? mStale : mState;
  const uint64_t current = aIsCatalog ? state.mNodesIndex : state.mPairsIndex;
  const uint64_t seen =
    aExchange->Request().mQuery.value("index").toULongLong();
  if (seen == 0 || seen < current) {
    QTimer::singleShot(
      mDelayMilliseconds, aExchange, [this, aExchange, aIsCatalog] {
        Answer(aExchange, aIsCatalog);
      });
    return;
  }
  mWaiters.push_back({ aExchange, seen, aIsCatalog });
  const auto forget = [this, aExchange] {
    std::erase_if(mWaiters, [&](const Waiter& aWaiter) {
      return aWaiter.mExchange == aExchange;
    });
  };
  aExchange->SetOnGone(forget);
  QByteArray wait = aExchange->Request().mQuery.value("wait", "5s");
  wait.chop(1);
  QTimer::singleShot(
    wait.toInt() * 1000, aExchange, [this, forget, aExchange, aIsCatalog] {
      forget();
      Answer(aExchange, aIsCatalog);
    });
}

void
PlatformStandin::Answer(net::HttpExchange* aExchange, bool aIsCatalog)
{
  const State& state = mIsStale ? mStale : mState;
  Json list = Json::array();
  for (const auto& [key, value] : aIsCatalog ? state.mNodes : state.mPairs) {
    list.push_back(value);
  }
  ReplyJson(aExchange,
            200,
            list,
            IndexHeader(aIsCatalog ? state.mNodesIndex : state.mPairsIndex));
}

void
PlatformStandin::Change(std::map<std::string, Json>& aMap,
                        const std::string& aKey,
                        const Json& aValue,
                        uint64_t& aIndex)
{
  aIndex = ++mIndex;
  if (aValue.is_null()) {
    aMap.erase(aKey);
  } else {
    aMap[aKey] = aValue;
  }
  Wake();
}

void
PlatformStandin::Wake()
{
  if (mIsStale || mIsDown) {
    return;
  }
  std::vector<Waiter> woken;
  std::erase_if(mWaiters, [&](const Waiter& aWaiter) {
    const bool isWoken =
      aWaiter.mIndex <
      (aWaiter.mIsCatalog ? mState.mNodesIndex : mState.mPairsIndex);
    if (isWoken) {
      woken.push_back(aWaiter);
    }
    return isWoken;
  });
  for (const Waiter& waiter : woken) {
    Answer(waiter.mExchange, waiter.mIsCatalog);
  }
}

void
PlatformStandin::SetMode(const Json& aMode)
{
  if (aMode.value("remember", false)) {
    mStale = mState;
  }
  mIsStale = aMode.value("stale", false);
  mIsDown = aMode.value("down", false);
  mDelayMilliseconds = aMode.value("delayMilliseconds", 0);
  if (mIsDown) {
    for (const Waiter& waiter : std::exchange(mWaiters, {})) {
      waiter.mExchange->Abort();
    }
  }
  Wake();
}

}
