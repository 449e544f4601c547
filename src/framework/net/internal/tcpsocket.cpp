#include "framework/net/tcpsocket.h"

#include "framework/log/log.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace beryllever::net {

namespace {

constexpr char kLogTag[] = "net";
constexpr size_t kReadBytes = 16 * 1024;
/** Reads in a row before other connections get their turn. */
constexpr int kReadsPerTurn = 4;
constexpr int kBacklog = 512;
/** Time without acknowledgement after which a connection of our own counts as
 * broken; with the probes below it finds a silent one within about 2.5 s. Linux
 * applies it to a peer that acknowledges all probes but does not read, too.
 * Callers may do that for as long as they wait for an answer, so accepted
 * connections go without; the deadlines of their requests bound them. */
constexpr unsigned kUserTimeoutMilliseconds = 2500;
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

template<typename Value>
void
SetOption(int aDescriptor, int aLevel, int aName, Value aValue)
{
  if (setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof(aValue)) != 0) {
    LOGW("A socket option cannot be set. option=" << aName << " reason="
                                                  << std::strerror(errno));
  }
}

/** An address as the kernel takes it. */
struct NativeAddress
{
  union
  {
    sockaddr mAny;
    sockaddr_in mIpv4;
    sockaddr_in6 mIpv6{};
  };
  socklen_t mLength = 0;
};

NativeAddress
ToNative(const TcpAddress& aAddress)
{
  NativeAddress native;
  if (aAddress.mHost.find(':') != std::string::npos) {
    native.mIpv6.sin6_family = AF_INET6;
    native.mIpv6.sin6_port = htons(aAddress.mPort);
    inet_pton(AF_INET6, aAddress.mHost.c_str(), &native.mIpv6.sin6_addr);
    native.mLength = sizeof(native.mIpv6);
  } else {
    native.mIpv4.sin_family = AF_INET;
    native.mIpv4.sin_port = htons(aAddress.mPort);
    inet_pton(AF_INET, aAddress.mHost.c_str(), &native.mIpv4.sin_addr);
    native.mLength = sizeof(native.mIpv4);
  }
  return native;
}

void
DisableAndDelete(QSocketNotifier*& aNotifier)
{
  if (aNotifier != nullptr) {
    aNotifier->setEnabled(false);
    aNotifier->deleteLater();
    aNotifier = nullptr;
  }
}

}

TcpAddress
ParseTcpAddress(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  TcpAddress address{ std::string(aText.substr(0, colon)) };
  const char* const end = aText.data() + aText.size();
  const auto [last, ec] =
    std::from_chars(aText.data() + colon + 1, end, address.mPort);
  in_addr number{};
  if (ec != std::errc() || last != end ||
      inet_pton(AF_INET, address.mHost.c_str(), &number) != 1) {
    return {};
  }
  return address;
}

std::string
ToText(const TcpAddress& aAddress)
{
  return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
}

TcpSocket::TcpSocket(int aDescriptor)
  : mDescriptor(aDescriptor)
{
}

std::shared_ptr<TcpSocket>
TcpSocket::Accepted(int aDescriptor)
{
  std::shared_ptr<TcpSocket> socket(new TcpSocket(aDescriptor));
  socket->Configure();
  socket->Watch();
  return socket;
}

std::shared_ptr<TcpSocket>
TcpSocket::Connecting(const TcpAddress& aAddress)
{
  const NativeAddress native = ToNative(aAddress);
  const int descriptor = ::socket(
    native.mAny.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::shared_ptr<TcpSocket> socket(new TcpSocket(descriptor));
  socket->mIsConnected = false;
  if (descriptor < 0) {
    LOGW("No socket can be had. reason=" << std::strerror(errno));
    return socket;
  }
  socket->Configure();
  SetOption<unsigned>(
    descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
  if (connect(descriptor, &native.mAny, native.mLength) != 0 &&
      errno != EINPROGRESS) {
    close(descriptor);
    socket->mDescriptor = -1;
    return socket;
  }
  socket->Watch();
  return socket;
}

TcpSocket::~TcpSocket()
{
  Release();
}

void
TcpSocket::Configure() const
{
  SetOption<int>(mDescriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption<int>(mDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption<int>(mDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption<int>(
    mDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption<int>(mDescriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

void
TcpSocket::Watch()
{
  mReadNotifier = new QSocketNotifier(mDescriptor, QSocketNotifier::Read);
  mWriteNotifier = new QSocketNotifier(mDescriptor, QSocketNotifier::Write);
  mWriteNotifier->setEnabled(!mIsConnected);
  // A handler may let go of the last owner, so each keeps the socket alive.
  QObject::connect(
    mReadNotifier, &QSocketNotifier::activated, mReadNotifier, [this] {
      const auto self = shared_from_this();
      HandleReadable();
    });
  QObject::connect(
    mWriteNotifier, &QSocketNotifier::activated, mWriteNotifier, [this] {
      const auto self = shared_from_this();
      HandleWritable();
    });
}

void
TcpSocket::SetHandlers(Handlers aHandlers)
{
  mHandlers = std::move(aHandlers);
}

void
TcpSocket::Write(std::string_view aBytes)
{
  if (!IsOpen() || mIsClosing || mHasFailedWrite) {
    return;
  }
  mOutput.append(aBytes);
  if (mIsConnected) {
    Flush();
  }
}

void
TcpSocket::SetReading(bool aIsReading)
{
  mIsReading = aIsReading;
  if (mReadNotifier != nullptr) {
    mReadNotifier->setEnabled(aIsReading);
  }
}

void
TcpSocket::CloseAfterWrite(std::function<void(CloseReason)> aOnClosed)
{
  mHandlers = {};
  mHandlers.mOnClosed = std::move(aOnClosed);
  mIsClosing = true;
  if (Pending() == 0 || !mIsConnected) {
    Fail(CloseReason::Finished);
    return;
  }
  SetReading(true);
}

void
TcpSocket::Abort()
{
  if (IsOpen()) {
    mUndelivered = Pending() + Unacknowledged();
    const linger reset{ .l_onoff = 1, .l_linger = 0 };
    SetOption(mDescriptor, SOL_SOCKET, SO_LINGER, reset);
  }
  Close();
}

size_t
TcpSocket::HandOver()
{
  Flush();
  if (Pending() > 0) {
    // After the flush, since this may also shrink the buffer.
    SetOption<int>(mDescriptor,
                   SOL_SOCKET,
                   SO_SNDBUF,
                   static_cast<int>(Unacknowledged() + Pending()));
    Flush();
  }
  return mHasFailedWrite ? mUndelivered : Pending();
}

void
TcpSocket::Close()
{
  mHandlers = {};
  Release();
}

void
TcpSocket::ReadArrived()
{
  const auto self = shared_from_this();
  if (IsOpen() && mIsConnected) {
    HandleReadable();
  }
}

void
TcpSocket::HandleReadable()
{
  if (!mIsConnected) {
    FinishConnecting();
    return;
  }
  std::array<char, kReadBytes> buf;
  for (int i = 0; i < kReadsPerTurn && IsOpen() && mIsReading; ++i) {
    const ssize_t n = recv(mDescriptor, buf.data(), buf.size(), 0);
    if (n > 0) {
      if (const auto onData = mHandlers.mOnData) {
        onData({ buf.data(), static_cast<size_t>(n) });
      }
      if (static_cast<size_t>(n) < buf.size()) {
        return;
      }
      continue;
    }
    if (n == 0) {
      Fail(mIsBroken ? CloseReason::Reset : CloseReason::Finished);
      return;
    }
    if (errno != EAGAIN && errno != EINTR) {
      Fail(CloseReason::Reset);
    }
    return;
  }
}

void
TcpSocket::HandleWritable()
{
  if (!mIsConnected) {
    FinishConnecting();
    return;
  }
  Flush();
  if (mIsClosing && Pending() == 0) {
    Fail(mHasFailedWrite ? CloseReason::Reset : CloseReason::Finished);
    return;
  }
  if (Pending() == 0 && mHandlers.mOnDrained) {
    const auto onDrained = mHandlers.mOnDrained;
    onDrained();
  }
}

void
TcpSocket::FinishConnecting()
{
  int error = 0;
  socklen_t length = sizeof(error);
  if (getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
      error != 0) {
    Fail(CloseReason::Refused);
    return;
  }
  mIsConnected = true;
  Flush();
  if (IsOpen() && mHandlers.mOnConnected) {
    const auto onConnected = mHandlers.mOnConnected;
    onConnected();
  }
}

void
TcpSocket::Flush()
{
  while (Pending() > 0) {
    const ssize_t n = send(mDescriptor,
                           mOutput.data() + mOutputStart,
                           Pending(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      if (errno == EINTR) {
        continue;
      }
      // The read side reports the end of a broken connection, after any
      // answer that has already arrived.
      mHasFailedWrite = errno != EAGAIN;
      // EPIPE: the peer had ended its side in order before the reset.
      mIsBroken = mHasFailedWrite && errno != EPIPE;
      break;
    }
    mOutputStart += static_cast<size_t>(n);
  }
  if (mHasFailedWrite) {
    mUndelivered = Pending();
  }
  if (Pending() == 0 || mHasFailedWrite) {
    mOutput.clear();
    mOutputStart = 0;
  }
  if (mWriteNotifier != nullptr) {
    mWriteNotifier->setEnabled(Pending() > 0);
  }
  if (mHasFailedWrite && mReadNotifier != nullptr && !mIsClosing) {
    mReadNotifier->setEnabled(true);
    mIsReading = true;
  }
}

void
TcpSocket::Fail(CloseReason aReason)
{
  const auto onClosed = std::move(mHandlers.mOnClosed);
  mHandlers = {};
  if (aReason == CloseReason::Reset || Pending() > 0) {
    mUndelivered += Pending() + Unacknowledged();
  }
  Release();
  if (onClosed) {
    onClosed(aReason);
  }
}

size_t
TcpSocket::Unacknowledged() const
{
  int n = 0;
  return ioctl(mDescriptor, SIOCOUTQ, &n) == 0 && n > 0 ? static_cast<size_t>(n)
                                                        : 0;
}

void
TcpSocket::Release()
{
  DisableAndDelete(mReadNotifier);
  DisableAndDelete(mWriteNotifier);
  if (mDescriptor >= 0) {
    close(mDescriptor);
    mDescriptor = -1;
  }
}

TcpListener::~TcpListener()
{
  Close();
}

bool
TcpListener::Listen(const TcpAddress& aAddress, OnAccepted aOnAccepted)
{
  mOnAccepted = std::move(aOnAccepted);
  NativeAddress native = ToNative(aAddress);
  mDescriptor = ::socket(
    native.mAny.sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (mDescriptor < 0) {
    return false;
  }
  SetOption<int>(mDescriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(mDescriptor, &native.mAny, native.mLength) != 0 ||
      listen(mDescriptor, kBacklog) != 0 ||
      getsockname(mDescriptor, &native.mAny, &native.mLength) != 0) {
    LOGE("An address cannot be listened on. address="
         << ToText(aAddress) << " reason=" << std::strerror(errno));
    Close();
    return false;
  }
  // It lies at the same place for both families.
  mPort = ntohs(native.mIpv4.sin_port);
  mNotifier =
    std::make_unique<QSocketNotifier>(mDescriptor, QSocketNotifier::Read);
  QObject::connect(mNotifier.get(),
                   &QSocketNotifier::activated,
                   mNotifier.get(),
                   [this] { AcceptPending(); });
  return true;
}

void
TcpListener::Close()
{
  mNotifier.reset();
  if (mDescriptor >= 0) {
    close(mDescriptor);
    mDescriptor = -1;
  }
}

void
TcpListener::AcceptPending()
{
  while (mDescriptor >= 0) {
    const int n =
      accept4(mDescriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (n >= 0) {
      mOnAccepted(TcpSocket::Accepted(n));
      continue;
    }
    if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
      LOGW("A connection cannot be accepted. reason=" << std::strerror(errno));
    }
    if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

}
