#pragma once

#include "framework/net/nettypes.h"

#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <functional>

namespace beryllever::net {

/**
 * One request and its answer. Lives on the server's thread until the answer is
 * complete or the caller is gone, then deletes itself.
 */
class HttpExchange : public QObject
{
public:
  HttpExchange(HttpRequest aRequest,
               QTcpSocket* aSocket,
               std::function<void()> aOnFinished);

  const HttpRequest& Request() const { return mRequest; }

  /** Sends a whole answer. */
  void Reply(int aStatus, const Headers& aHeaders, const QByteArray& aBody);

  /** Starts an answer in chunks. */
  void BeginStream(int aStatus, const Headers& aHeaders);
  /** Sends one chunk; memory grows by what the caller has not read. */
  void WriteChunk(const QByteArray& aChunk);
  /** Ends the chunks; the connection stays open for the next request. */
  void EndStream();
  /** Closes the connection without an end, so that the caller sees a cut
   * answer. */
  void Abort();

  /** Bytes written that the caller's side has not taken yet. */
  qint64 PendingBytes() const;

  /** Called each time that pending bytes have shrunk. */
  void SetOnDrained(std::function<void()> aOnDrained)
  {
    mOnDrained = std::move(aOnDrained);
  }
  /** Called once if the caller goes away before the end of the answer. */
  void SetOnGone(std::function<void()> aOnGone)
  {
    mOnGone = std::move(aOnGone);
  }

private:
  void WriteHead(int aStatus, const Headers& aHeaders);
  void Finish();
  void HandleDisconnected();

  HttpRequest mRequest;
  QPointer<QTcpSocket> mSocket;
  std::function<void()> mOnFinished;
  std::function<void()> mOnDrained;
  std::function<void()> mOnGone;
  bool mIsFinished = false;
};

}
