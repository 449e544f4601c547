#include "framework/net/internal/limitedtcpserver.h"

#include <QMetaObject>

namespace beryllever::net {

namespace {

constexpr std::chrono::milliseconds kSweepInterval{ 250 };
constexpr char kHeaderEnd[] = "\r\n\r\n";

}

LimitedSocket::LimitedSocket(const HttpLimits& aLimits,
                             const global::IClock& aClock)
  : mLimits(aLimits)
  , mClock(aClock)
{
  // Qt keeps an incomplete request in this buffer, so its size caps what a
  // request can hold.
  setReadBufferSize(aLimits.mHeaderBytes + aLimits.mBodyBytes + 1);
  connect(this, &QIODevice::readyRead, this, [this] { Inspect(); });
}

void
LimitedSocket::RequestComplete()
{
  mArrivedBytes = 0;
  mHeaderBytes = -1;
  mTail.clear();
  mRequestDeadline = global::TimePoint::max();
  mIsBusy = true;
}

void
LimitedSocket::CheckDeadline()
{
  if (mClock.Now() >= mRequestDeadline) {
    Refuse(408, "request_timeout");
  }
}

void
LimitedSocket::Inspect()
{
  if (mIsRefused || mIsBusy) {
    return;
  }
  if (mArrivedBytes == 0) {
    mRequestDeadline = mClock.Now() + mLimits.mRequestTimeout;
  }
  ScanHeader();
  mArrivedBytes += bytesAvailable();
  if (mHeaderBytes < 0 && mArrivedBytes > mLimits.mHeaderBytes) {
    Refuse(431, "header_too_large");
  } else if (mHeaderBytes >= 0 &&
             mArrivedBytes - mHeaderBytes > mLimits.mBodyBytes) {
    Refuse(413, "body_too_large");
  }
}

void
LimitedSocket::ScanHeader()
{
  if (mHeaderBytes >= 0) {
    return;
  }
  const QByteArray arrived = mTail + peek(mLimits.mHeaderBytes + 1);
  const qsizetype end = arrived.indexOf(kHeaderEnd);
  if (end >= 0) {
    mHeaderBytes = mArrivedBytes - mTail.size() + end + 4;
    return;
  }
  mTail = arrived.right(3);
}

void
LimitedSocket::Refuse(int aStatus, const QByteArray& aKind)
{
  mIsRefused = true;
  mRequestDeadline = global::TimePoint::max();
  const QByteArray body =
    "{\"error\":{\"kind\":\"" + aKind + "\",\"execution\":\"not_run\"}}";
  write("HTTP/1.1 " + QByteArray::number(aStatus) +
        " Refused\r\nContent-Type: application/json\r\nX-Error-Kind: " + aKind +
        "\r\nConnection: close\r\nContent-Length: " +
        QByteArray::number(body.size()) + "\r\n\r\n" + body);
  flush();
  // Qt's own handler still runs for this signal; the connection is closed after
  // it.
  QMetaObject::invokeMethod(
    this, [this] { disconnectFromHost(); }, Qt::QueuedConnection);
}

LimitedTcpServer::LimitedTcpServer(const HttpLimits& aLimits,
                                   const global::IClock& aClock)
  : mLimits(aLimits)
  , mClock(aClock)
{
  connect(&mSweep, &QTimer::timeout, this, [this] {
    const auto sockets = mSockets;
    for (LimitedSocket* socket : sockets) {
      socket->CheckDeadline();
    }
  });
  mSweep.start(kSweepInterval);
}

void
LimitedTcpServer::incomingConnection(qintptr aDescriptor)
{
  auto* socket = new LimitedSocket(mLimits, mClock);
  socket->setSocketDescriptor(aDescriptor);
  socket->setSocketOption(QAbstractSocket::SendBufferSizeSocketOption,
                          mLimits.mSendBufferBytes);
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  if (mSockets.size() >= mLimits.mConnections) {
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    socket->Refuse(503, "too_many_connections");
    return;
  }
  mSockets.insert(socket);
  connect(socket, &QObject::destroyed, this, [this, socket] {
    mSockets.remove(socket);
  });
  connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
    mSockets.remove(socket);
  });
  addPendingConnection(socket);
}

}
