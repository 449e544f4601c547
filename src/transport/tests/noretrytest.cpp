#include "beryllever.grpc.pb.h"
#include "transport/channel.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace beryllever;

namespace {

/** Agent that counts calls and fails each as a broken connection would. */
class FailingAgent : public v1::Agent::Service
{
public:
  grpc::Status IssueTicket(grpc::ServerContext*,
                           const v1::IssueTicketRequest*,
                           v1::Ticket*) override
  {
    ++mArrivals;
    return { grpc::StatusCode::UNAVAILABLE, "connection lost" };
  }

  std::atomic<int> mArrivals = 0;
};

}

TEST_GROUP(NoRetry){};

// A call that may run at most once must reach the server once, whatever status
// it ends with.
TEST(NoRetry, AFailedCallArrivesOnce)
{
  FailingAgent agent;
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(
    "127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&agent);
  const auto server = builder.BuildAndStart();
  const auto stub = v1::Agent::NewStub(
    transport::MakeChannel("127.0.0.1:" + std::to_string(port)));

  grpc::ClientContext context;
  v1::Ticket ticket;
  const grpc::Status status = stub->IssueTicket(&context, {}, &ticket);

  CHECK(status.error_code() == grpc::StatusCode::UNAVAILABLE);
  CHECK_EQUAL(1, agent.mArrivals.load());
  server->Shutdown();
}

// A server that takes the call and closes the connection sees one connection's
// worth of it only.
TEST(NoRetry, ACallOnAConnectionThatClosesIsNotSentAgain)
{
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), length));
  CHECK_EQUAL(0, listen(listener, 16));
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  std::atomic<int> calls = 0;
  std::thread server([&] {
    while (true) {
      const int connection = accept(listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      const char settings[] = { 0, 0, 0, 4, 0, 0, 0, 0, 0 };
      send(connection, settings, sizeof(settings), MSG_NOSIGNAL);
      std::string received;
      char buf[4096];
      while (received.find("IssueTicket") == std::string::npos) {
        const ssize_t n = recv(connection, buf, sizeof(buf), 0);
        if (n <= 0) {
          break;
        }
        received.append(buf, static_cast<size_t>(n));
      }
      calls += received.find("IssueTicket") != std::string::npos;
      close(connection);
    }
  });
  const auto stub = v1::Agent::NewStub(transport::MakeChannel(
    "127.0.0.1:" + std::to_string(ntohs(address.sin_port))));

  grpc::ClientContext context;
  v1::Ticket ticket;
  const grpc::Status status = stub->IssueTicket(&context, {}, &ticket);

  CHECK_FALSE(status.ok());
  CHECK_EQUAL(1, calls.load());
  shutdown(listener, SHUT_RDWR);
  server.join();
  close(listener);
}
