// Case 10: a client that this system does not control sends lookups one behind
// the other and does not read their answers.

#include "lab.h"

using namespace lab;

namespace {

constexpr int kClients = 16;
constexpr milliseconds kWork{ 110 };
constexpr int kConnections = 16;
/** Lookups on each connection; their answers are 58 MB. */
constexpr int kLookups = 12000;
constexpr milliseconds kLongest{ 60000 };

std::string
Lookup(int aConnection, int aNumber)
{
  return "GET /standby/list HTTP/1.1\r\nHost: rota.example\r\n"
         "Beryllever-Attempt-Id: s" +
         std::to_string(aConnection) + "-" + std::to_string(aNumber) +
         "\r\nAuthorization: Bearer key-of-south\r\n\r\n";
}

/** Sends all lookups; reads each answer before the next one, or none. */
void
SendLookups(int aConnection, uint16_t aPort, std::atomic<long>& aSentBytes)
{
  Connection connection = Connection::To(aPort, 16 * 1024);
  connection.SetTimeout(milliseconds(5000));
  for (int i = 0; i < kLookups; ++i) {
    const std::string text = Lookup(aConnection, i);
    if (!connection.Send(text)) {
      return;
    }
    aSentBytes += static_cast<long>(text.size());
    if (!HasTrouble()) {
      const auto head = connection.ReadHead();
      if (!head || !connection.ReadBytes(BodyBytes(*head))) {
        return;
      }
    }
  }
  // The connection stays open while its answers come.
  Sleep(milliseconds(HasTrouble() ? 40000 : 0));
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
  std::atomic<long> sentBytes = 0;
  std::atomic<int> open = kConnections;
  for (int i = 0; i < kConnections; ++i) {
    std::thread([&, i] {
      SendLookups(i, gateway.Frontend(), sentBytes);
      --open;
    }).detach();
  }
  const auto end = Clock::now() + kLongest;
  while (open > 0 && gateway.ResidentBytes() > 0 && Clock::now() < end) {
    Sleep(milliseconds(20));
  }
  Sleep(milliseconds(500));
  const bool isKilled = watch.Stop();
  const auto sent = clients.Stop();
  const auto ended = gateway.End();
  record.Say("stranger sent " + std::to_string(sentBytes / 1000) +
             " kB of lookups on " + std::to_string(kConnections) +
             " connections");
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
