#pragma once

#include <QSocketNotifier>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace beryllever::net {

/** An IPv4 or IPv6 number and a port. */
struct TcpAddress
{
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const TcpAddress&) const = default;
  auto operator<=>(const TcpAddress&) const = default;
};

/** Splits "ip:port" with an IPv4 number; returns a port of 0 if the text is not
 * such an address. */
TcpAddress
ParseTcpAddress(std::string_view aText);

std::string
ToText(const TcpAddress& aAddress);

/** How a connection ended. */
enum class CloseReason
{
  /** The peer has ended its side in order. */
  Finished,
  /** The peer or the network has broken the connection. */
  Reset,
  /** No connection could be made. */
  Refused,
};

/**
 * A non-blocking TCP connection on a Qt event loop. Other than QTcpSocket it
 * tells an orderly end from a reset, which decides whether an answer without a
 * length is whole.
 */
class TcpSocket : public std::enable_shared_from_this<TcpSocket>
{
public:
  struct Handlers
  {
    std::function<void()> mOnConnected;
    std::function<void(std::string_view)> mOnData;
    /** All written bytes have left for the kernel. */
    std::function<void()> mOnDrained;
    std::function<void(CloseReason)> mOnClosed;
  };

  /** Takes an accepted connection. */
  static std::shared_ptr<TcpSocket> Accepted(int aDescriptor);
  /** Starts to connect; the end of a failed attempt comes through mOnClosed. */
  static std::shared_ptr<TcpSocket> Connecting(const TcpAddress& aAddress);

  ~TcpSocket();

  void SetHandlers(Handlers aHandlers);
  void Write(std::string_view aBytes);
  /** Bytes written that the kernel has not taken. */
  size_t Pending() const { return mOutput.size() - mOutputStart; }
  /** Once the connection has ended: bytes written that the peer's side has not
   * acknowledged. */
  size_t Undelivered() const { return mUndelivered; }
  void SetReading(bool aIsReading);
  /** Reads what has arrived now, and not when the event loop gets to it. */
  void ReadArrived();
  /** Closes in order once the kernel has taken the pending bytes, at once if
   * there are none. Only aOnClosed is called from then on: with Finished, or
   * otherwise if the peer ends the connection before. What the peer sends is
   * discarded. */
  void CloseAfterWrite(std::function<void(CloseReason)> aOnClosed);
  /** Ends the connection at once; with a reset, so that the peer cannot take
   * a cut answer for whole. No handler is called any more. */
  void Abort();
  /** Lets the kernel take all that is to be written, as far as it can, to be
   * delivered after the end of this process. Returns the bytes that are left.
   */
  size_t HandOver();
  /** Closes at once in order. No handler is called any more. */
  void Close();
  bool IsOpen() const { return mDescriptor >= 0; }
  bool IsConnected() const { return mIsConnected; }

private:
  explicit TcpSocket(int aDescriptor);

  void Configure() const;
  void Watch();
  void HandleReadable();
  void HandleWritable();
  void FinishConnecting();
  void Flush();
  void Fail(CloseReason aReason);
  /** Bytes that the kernel has taken and the peer's side has not acknowledged.
   */
  size_t Unacknowledged() const;
  void Release();

  int mDescriptor = -1;
  bool mIsConnected = true;
  bool mIsReading = true;
  bool mIsClosing = false;
  bool mHasFailedWrite = false;
  /** A write has met a reset or a timeout. The kernel reports either only once,
   * so the next read would see an end. */
  bool mIsBroken = false;
  std::string mOutput;
  size_t mOutputStart = 0;
  size_t mUndelivered = 0;
  Handlers mHandlers;
  QSocketNotifier* mReadNotifier = nullptr;
  QSocketNotifier* mWriteNotifier = nullptr;
};

/** Accepts TCP connections on a Qt event loop. */
class TcpListener
{
public:
  using OnAccepted = std::function<void(std::shared_ptr<TcpSocket>)>;

  ~TcpListener();

  /** Returns false if the address cannot be had. */
  bool Listen(const TcpAddress& aAddress, OnAccepted aOnAccepted);
  /** Accepts the connections that wait. Closing the listener resets them. */
  void AcceptPending();
  void Close();
  uint16_t Port() const { return mPort; }

private:
  int mDescriptor = -1;
  uint16_t mPort = 0;
  OnAccepted mOnAccepted;
  std::unique_ptr<QSocketNotifier> mNotifier;
};

}
