#include "framework/net/httpexchange.h"

#include <QHttpServerResponder>
#include <QMetaEnum>

namespace beryllever::net {

namespace {

QByteArray
ReasonFor(int aStatus)
{
  const auto names = QMetaEnum::fromType<QHttpServerResponder::StatusCode>();
  const char* name = names.valueToKey(aStatus);
  return name ? QByteArray(name) : QByteArray("Unknown");
}

}

HttpExchange::HttpExchange(HttpRequest aRequest,
                           QTcpSocket* aSocket,
                           std::function<void()> aOnFinished)
  : mRequest(std::move(aRequest))
  , mSocket(aSocket)
  , mOnFinished(std::move(aOnFinished))
{
  connect(
    aSocket, &QTcpSocket::disconnected, this, [this] { HandleDisconnected(); });
  connect(aSocket, &QTcpSocket::bytesWritten, this, [this] {
    if (mOnDrained && !mIsFinished) {
      mOnDrained();
    }
  });
}

void
HttpExchange::Reply(int aStatus,
                    const Headers& aHeaders,
                    const QByteArray& aBody)
{
  if (mIsFinished) {
    return;
  }
  Headers headers = aHeaders;
  headers.append(
    qMakePair(QByteArray("Content-Length"), QByteArray::number(aBody.size())));
  WriteHead(aStatus, headers);
  mSocket->write(aBody);
  Finish();
}

void
HttpExchange::BeginStream(int aStatus, const Headers& aHeaders)
{
  if (mIsFinished) {
    return;
  }
  Headers headers = aHeaders;
  headers.append(
    qMakePair(QByteArray("Transfer-Encoding"), QByteArray("chunked")));
  WriteHead(aStatus, headers);
}

void
HttpExchange::WriteChunk(const QByteArray& aChunk)
{
  if (mIsFinished || aChunk.isEmpty()) {
    return;
  }
  mSocket->write(QByteArray::number(aChunk.size(), 16) + "\r\n" + aChunk +
                 "\r\n");
}

void
HttpExchange::EndStream()
{
  if (mIsFinished) {
    return;
  }
  mSocket->write("0\r\n\r\n");
  Finish();
}

void
HttpExchange::Abort()
{
  if (mIsFinished) {
    return;
  }
  mOnGone = nullptr;
  QTcpSocket* socket = mSocket;
  Finish();
  socket->abort();
}

qint64
HttpExchange::PendingBytes() const
{
  return mSocket ? mSocket->bytesToWrite() : 0;
}

void
HttpExchange::WriteHead(int aStatus, const Headers& aHeaders)
{
  QByteArray head = "HTTP/1.1 " + QByteArray::number(aStatus) + " " +
                    ReasonFor(aStatus) + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    head += name + ": " + value + "\r\n";
  }
  mSocket->write(head + "\r\n");
}

void
HttpExchange::Finish()
{
  mIsFinished = true;
  disconnect(mSocket, nullptr, this, nullptr);
  mOnFinished();
  deleteLater();
}

void
HttpExchange::HandleDisconnected()
{
  if (mIsFinished) {
    return;
  }
  const auto onGone = mOnGone;
  Finish();
  if (onGone) {
    onGone();
  }
}

}
