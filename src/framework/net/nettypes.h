#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QList>
#include <QMap>
#include <QPair>
#include <chrono>

namespace beryllever::net {

using Headers = QList<QPair<QByteArray, QByteArray>>;

/** Limits of one listening HTTP address. They hold below Qt's HTTP server. */
struct HttpLimits
{
  qint64 mHeaderBytes = 16 * 1024;
  qint64 mBodyBytes = 1024 * 1024;
  int mConnections = 4096;
  /** Longest time from the first byte of a request to its last. */
  std::chrono::milliseconds mRequestTimeout{ 15000 };
  /** Size of the kernel's send buffer of one connection. */
  qint64 mSendBufferBytes = 32 * 1024;
};

/** A request as received, independent of the connection that carried it. */
struct HttpRequest
{
  QByteArray mMethod;
  QByteArray mPath;
  QMap<QByteArray, QByteArray> mQuery;
  /** Header names are in lower case. */
  QMap<QByteArray, QByteArray> mHeaders;
  QByteArray mBody;

  QByteArray Header(const QByteArray& aName) const
  {
    return mHeaders.value(aName);
  }
};

}
