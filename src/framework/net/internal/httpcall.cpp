#include "framework/net/httpcall.h"

#include <QHostAddress>
#include <algorithm>

namespace beryllever::net {

namespace {

constexpr int kDefaultPort = 80;

QString
ReasonFor(AnswerEnd aEnd)
{
  switch (aEnd) {
    case AnswerEnd::Complete:
      return {};
    case AnswerEnd::NotSent:
      return QStringLiteral("no connection can be made");
    case AnswerEnd::NoAnswer:
      return QStringLiteral("the connection ended without an answer");
    case AnswerEnd::Cut:
      return QStringLiteral("the answer broke off");
    case AnswerEnd::Garbled:
      return QStringLiteral("the bytes received are no HTTP answer");
  }
  return {};
}

}

QByteArray
HttpAnswer::Header(const QByteArray& aName) const
{
  for (const auto& [name, value] : mHeaders) {
    if (name.compare(aName, Qt::CaseInsensitive) == 0) {
      return value;
    }
  }
  return {};
}

HttpCall::HttpCall(const HttpCallRequest& aRequest,
                   std::chrono::milliseconds aTimeout,
                   ConnectionLimit* aLimit)
  : mRequest(aRequest)
  , mLimit(aLimit)
{
  mTimer.setSingleShot(true);
  connect(&mTimer, &QTimer::timeout, this, [this] { HandleTimeout(); });
  mTimer.start(aTimeout);
  if (mLimit == nullptr) {
    Begin();
  } else {
    mLimit->Acquire(*this, [this] { Begin(); });
  }
}

HttpCall::~HttpCall()
{
  if (mConnection) {
    mConnection->Abort();
  }
  ReleaseConnection();
}

void
HttpCall::Begin()
{
  // The user sets the functions after the construction, and a call that waits
  // begins while another one ends.
  QTimer::singleShot(0, this, [this] { FindServer(); });
}

void
HttpCall::ReleaseConnection()
{
  if (mLimit != nullptr) {
    mLimit->Release(*this);
  }
}

void
HttpCall::FindServer()
{
  if (mHasEnded) {
    return;
  }
  if (mRequest.mUrl.scheme() != QLatin1String("http")) {
    Finish({ .mReason = QStringLiteral("the URL is not of HTTP") });
    return;
  }
  const QString host = mRequest.mUrl.host();
  if (!QHostAddress(host).isNull()) {
    Send(host.toStdString());
    return;
  }
  QHostInfo::lookupHost(
    host, this, [this](const QHostInfo& aInfo) { HandleHostInfo(aInfo); });
}

void
HttpCall::HandleHostInfo(const QHostInfo& aInfo)
{
  if (mHasEnded) {
    return;
  }
  QList<QHostAddress> addresses = aInfo.addresses();
  if (addresses.isEmpty()) {
    Finish({ .mReason = aInfo.errorString() });
    return;
  }
  std::stable_partition(
    addresses.begin(), addresses.end(), [](const QHostAddress& aAddress) {
      return aAddress.protocol() == QAbstractSocket::IPv4Protocol;
    });
  Send(addresses.front().toString().toStdString());
}

void
HttpCall::Send(const std::string& aHost)
{
  const int port = mRequest.mUrl.port(kDefaultPort);
  mConnection =
    HttpClientConnection::Connect({ aHost, static_cast<uint16_t>(port) });
  mConnection->Send(
    SerializeRequest(),
    { .mOnHead = [this](const AnswerHead& aHead) { HandleHead(aHead); },
      .mOnBody = [this](std::string_view aBytes) { HandleBody(aBytes); },
      .mOnEnd =
        [this](AnswerEnd aEnd) {
          Finish({ .mStatus = mStatus,
                   .mIsComplete = aEnd == AnswerEnd::Complete,
                   .mIsSent = aEnd != AnswerEnd::NotSent,
                   .mReason = ReasonFor(aEnd) });
        } },
    mRequest.mMethod == "HEAD");
}

std::string
HttpCall::SerializeRequest() const
{
  http::fields fields;
  fields.set(http::field::host,
             mRequest.mUrl.adjusted(QUrl::RemoveUserInfo)
               .authority(QUrl::FullyEncoded)
               .toStdString());
  fields.set(http::field::connection, "close");
  for (const auto& [name, value] : mRequest.mHeaders) {
    fields.insert(name.toStdString(), value.toStdString());
  }
  const bool hasBody = !mRequest.mBody.isEmpty();
  if (hasBody || mRequest.mMethod == "POST" || mRequest.mMethod == "PUT") {
    fields.set(http::field::content_length,
               std::to_string(mRequest.mBody.size()));
  }
  QUrl target = mRequest.mUrl.adjusted(
    QUrl::RemoveScheme | QUrl::RemoveAuthority | QUrl::RemoveFragment);
  if (target.path().isEmpty()) {
    target.setPath(QStringLiteral("/"));
  }
  return HeadText(mRequest.mMethod.toStdString() + " " +
                    target.toEncoded().toStdString() + " HTTP/1.1",
                  fields) +
         mRequest.mBody.toStdString();
}

void
HttpCall::HandleHead(const AnswerHead& aHead)
{
  mStatus = static_cast<int>(aHead.mStatus);
  for (const auto& field : aHead.mFields) {
    const std::string_view name = field.name_string();
    const std::string_view value = field.value();
    mHeaders.append({ QByteArray(name.data(), qsizetype(name.size())),
                      QByteArray(value.data(), qsizetype(value.size())) });
  }
}

void
HttpCall::HandleBody(std::string_view aBytes)
{
  mUnread.append(aBytes.data(), static_cast<qsizetype>(aBytes.size()));
  if (IsHeldBack()) {
    mConnection->SetReading(false);
  }
  if (const auto onReadable = mOnReadable) {
    onReadable();
  }
}

QByteArray
HttpCall::Read(qint64 aMax)
{
  const QByteArray bytes = mUnread.left(aMax);
  const bool wasHeldBack = IsHeldBack();
  mUnread.remove(0, bytes.size());
  if (wasHeldBack && !IsHeldBack()) {
    mConnection->SetReading(true);
  }
  return bytes;
}

bool
HttpCall::IsHeldBack() const
{
  return mRequest.mReadBufferBytes > 0 &&
         mUnread.size() >= mRequest.mReadBufferBytes;
}

void
HttpCall::HandleTimeout()
{
  const bool isSent = mConnection && mConnection->IsConnected();
  if (mConnection) {
    mConnection->Abort();
  }
  Finish({ .mStatus = mStatus,
           .mIsSent = isSent,
           .mIsTimedOut = true,
           .mReason = QStringLiteral("no answer within the time limit") });
}

void
HttpCall::Finish(HttpOutcome aOutcome)
{
  mHasEnded = true;
  mTimer.stop();
  ReleaseConnection();
  if (const auto onEnd = std::move(mOnEnd)) {
    onEnd(aOutcome);
  }
}

void
HttpCall::Release(std::unique_ptr<HttpCall> aCall)
{
  aCall->mOnReadable = nullptr;
  aCall->mOnEnd = nullptr;
  aCall.release()->deleteLater();
}

void
Fetch(QObject& aOwner,
      const HttpCallRequest& aRequest,
      std::chrono::milliseconds aTimeout,
      std::function<void(const HttpOutcome&, const HttpAnswer&)> aOnEnd)
{
  HttpCallRequest request = aRequest;
  request.mReadBufferBytes = 0;
  auto* call = new HttpCall(request, aTimeout);
  call->setParent(&aOwner);
  call->SetOnEnd([call,
                  aOnEnd = std::move(aOnEnd)](const HttpOutcome& aOutcome) {
    const HttpAnswer answer{ call->AllHeaders(), call->Read(call->Readable()) };
    call->deleteLater();
    aOnEnd(aOutcome, answer);
  });
}

}
