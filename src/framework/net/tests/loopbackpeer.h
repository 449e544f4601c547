#pragma once

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace beryllever::net::tests {

/** Far end of one connection, on a blocking socket that the test drives step by
 * step. What the test writes, and how it ends the connection, is what the
 * kernel shows to the end under test. */
class LoopbackPeer
{
public:
  LoopbackPeer()
    : mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const native = reinterpret_cast<sockaddr*>(&address);
    bind(mListener, native, length);
    listen(mListener, 1);
    getsockname(mListener, native, &length);
    mPort = ntohs(address.sin_port);
  }
  ~LoopbackPeer()
  {
    Close();
    close(mListener);
  }
  LoopbackPeer(const LoopbackPeer&) = delete;
  LoopbackPeer& operator=(const LoopbackPeer&) = delete;

  uint16_t Port() const { return mPort; }

  /** Takes the connection that the end under test has begun. */
  void Accept() { mDescriptor = accept(mListener, nullptr, nullptr); }

  void Send(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const ssize_t n =
        send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      aBytes.remove_prefix(static_cast<size_t>(n));
    }
  }

  /** Reads up to and including a text, and possibly more. */
  std::string ReadUntil(std::string_view aText) const
  {
    std::string text;
    std::array<char, 4096> buf;
    while (text.find(aText) == std::string::npos) {
      const ssize_t n = recv(mDescriptor, buf.data(), buf.size(), 0);
      if (n <= 0) {
        break;
      }
      text.append(buf.data(), static_cast<size_t>(n));
    }
    return text;
  }

  /** Ends this side in order; the other side may go on. */
  void FinishSending() const { shutdown(mDescriptor, SHUT_WR); }

  void Close()
  {
    if (mDescriptor >= 0) {
      close(mDescriptor);
      mDescriptor = -1;
    }
  }

  /** Breaks the connection with a TCP reset, and gives the reset time to
   * arrive. */
  void Reset()
  {
    constexpr std::chrono::milliseconds kDelivery{ 20 };
    const linger reset{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    Close();
    std::this_thread::sleep_for(kDelivery);
  }

private:
  int mListener = -1;
  int mDescriptor = -1;
  uint16_t mPort = 0;
};

}
