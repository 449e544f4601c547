#include "framework/net/tcpsocket.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace beryllever;

TEST_GROUP(TcpListener){};

TEST(TcpListener, ClosingResetsAConnectionThatWaitsToBeAccepted)
{
  std::shared_ptr<net::TcpSocket> accepted;
  net::TcpListener listener;
  CHECK(listener.Listen({ "127.0.0.1", 0 },
                        [&](auto aSocket) { accepted = std::move(aSocket); }));
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listener.Port());
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  LONGS_EQUAL(
    0, connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)));

  listener.AcceptPending();
  listener.Close();

  CHECK(accepted != nullptr);
  LONGS_EQUAL(3, send(client, "GET", 3, MSG_NOSIGNAL));
  close(client);
}
