// Beside the cases: a client that this system does not control sends large
// bodies to the directory, and stops before their ends.

#include "lab.h"

using namespace lab;

namespace {

constexpr int kClients = 16;
constexpr milliseconds kWork{ 110 };
constexpr int kConnections = 80;
/** MaxBodyBytes of the configuration. */
constexpr size_t kBodyBytes = 4194304;
/** Pause after each body: 4 MB in 60 ms are 560 Mbit/s, and the link of the
 * machine has 1,000. */
constexpr milliseconds kPause{ 60 };
/** Time for which the connections stay open. Less than IdleTimeoutMs. */
constexpr milliseconds kHoldTime{ 5000 };

std::string
DirectoryHead(size_t aBodyBytes)
{
  return "GET /resolution?Name=rota.example&Region=midlands&Zone=mid-north "
         "HTTP/1.1\r\nHost: rota.example\r\nContent-Length: " +
         std::to_string(aBodyBytes) + "\r\n\r\n";
}

/** Sends a body without its last byte; returns whether it was taken. */
bool
SendBody(const Connection& aConnection)
{
  return aConnection.Send(DirectoryHead(kBodyBytes) +
                          std::string(kBodyBytes - 1, 'x'));
}

/** Asks as ordinary clients do. */
bool
Ask(Connection& aConnection)
{
  aConnection.Send(DirectoryHead(0));
  const auto head = aConnection.ReadHead();
  return head && aConnection.ReadBytes(BodyBytes(*head)) &&
         head->starts_with("HTTP/1.1 200");
}

}

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  std::optional<Deployment> deployment;
  deployment.emplace(record, kWork);
  if (!deployment->Start()) {
    record.Say("the gateways do not become ready");
    deployment.reset();
    Exit(kCouldNotRun);
  }
  Gateway& gateway = deployment->First();
  Clients clients(record, kClients, gateway.Frontend());
  Sleep(milliseconds(4500));
  MemoryWatch watch(record, gateway);
  std::list<Connection> connections;
  int taken = 0;
  for (int i = 0; i < kConnections && gateway.ResidentBytes() > 0; ++i) {
    Connection& connection =
      connections.emplace_back(Connection::To(gateway.Directory()));
    connection.SetTimeout(milliseconds(2000));
    taken += (HasTrouble() ? SendBody(connection) : Ask(connection)) ? 1 : 0;
    Sleep(kPause);
  }
  record.Say("stranger: " + std::to_string(connections.size()) +
             " connections to the directory, " +
             (HasTrouble() ? "bodies taken: " : "answered: ") +
             std::to_string(taken));
  const auto end = Clock::now() + kHoldTime;
  while (gateway.ResidentBytes() > 0 && Clock::now() < end) {
    Sleep(milliseconds(20));
  }
  Sleep(milliseconds(500));
  const bool isKilled = watch.Stop();
  const auto sent = clients.Stop();
  const auto ended = gateway.End();
  record.Say("gateway " + gateway.Name() + ": " +
             (isKilled ? "killed for its memory"
              : ended  ? "ended by itself, " + *ended
                       : "runs"));
  const size_t lost = CountLost(sent, deployment->Runs());
  record.Say("ordinary requests: " + std::to_string(sent.size()) +
             " sent, of which passed on to a worker from a kept connection "
             "that ended without an answer: " +
             std::to_string(lost));
  const bool isBroken = isKilled || ended || lost > kMaxLost;
  record.Say(isBroken ? "BROKEN: LOST" : "held");
  deployment.reset();
  Exit(isBroken ? kBroken : kHeld);
}
