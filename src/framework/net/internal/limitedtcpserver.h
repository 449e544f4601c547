#pragma once

#include "framework/global/iclock.h"
#include "framework/net/nettypes.h"

#include <QSet>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

namespace beryllever::net {

/** A connection that counts the bytes of the request that it is receiving. */
class LimitedSocket : public QTcpSocket
{
public:
  LimitedSocket(const HttpLimits& aLimits, const global::IClock& aClock);

  /** Marks the request as complete; counting starts anew with the next one. */
  void RequestComplete();
  /** Whether a request is answered right now. */
  bool IsBusy() const { return mIsBusy; }
  void SetIdle() { mIsBusy = false; }
  /** Closes the connection if the request should have been complete by now. */
  void CheckDeadline();
  /** Answers with an error that needs no request, and closes. */
  void Refuse(int aStatus, const QByteArray& aKind);

private:
  void Inspect();
  void ScanHeader();

  const HttpLimits& mLimits;
  const global::IClock& mClock;
  global::TimePoint mRequestDeadline = global::TimePoint::max();
  qint64 mArrivedBytes = 0;
  qint64 mHeaderBytes = -1;
  QByteArray mTail;
  bool mIsBusy = false;
  bool mIsRefused = false;
};

/** Accepts connections up to a limit and hands them to Qt's HTTP server. */
class LimitedTcpServer : public QTcpServer
{
public:
  LimitedTcpServer(const HttpLimits& aLimits, const global::IClock& aClock);

protected:
  void incomingConnection(qintptr aDescriptor) override;

private:
  const HttpLimits& mLimits;
  const global::IClock& mClock;
  QSet<LimitedSocket*> mSockets;
  QTimer mSweep;
};

}
