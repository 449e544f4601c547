// Case 9: a client that this system does not control sends heads of many short
// fields, inside the limits, and stops before the end of each small body.

#include "lab.h"

using namespace lab;

namespace {

constexpr int kClients = 16;
constexpr milliseconds kWork{ 110 };
/** Connections of the client, in processes so that each stays below the usual
 * limit of descriptors. */
constexpr int kProcesses = 2;
constexpr int kConnectionsPerProcess = 600;
/** MaxHeaderBytes of the configuration. */
constexpr size_t kMaxHeadBytes = 16384;
/** Time for which the connections stay open. Less than IdleTimeoutMs. */
constexpr milliseconds kHoldTime{ 10000 };
/** Pause of each process after each connection: 16 kB in 4 ms in all are
 * 33 Mbit/s, which a gateway reads as it comes. */
constexpr milliseconds kPause{ 8 };

/** A request of many short fields whose body lacks its last byte. */
std::string
UnfinishedRequest()
{
  const std::string end = "\r\n";
  std::string text = "POST /assign/callout HTTP/1.1\r\nHost: rota.example\r\n"
                     "Content-Length: 2\r\n";
  const std::string field = "a:\r\n";
  while (text.size() + field.size() + end.size() <= kMaxHeadBytes) {
    text += field;
  }
  return text + end + "x";
}

/** What an ordinary client sends. */
std::string
WholeRequest()
{
  return "GET /standby/list HTTP/1.1\r\nHost: rota.example\r\n"
         "Beryllever-Attempt-Id: lookup\r\n"
         "Authorization: Bearer key-of-south\r\n\r\n";
}

/** Sends one request on each connection, in a process of its own, and keeps
 * the connections open. */
pid_t
SendRequests(uint16_t aPort)
{
  const pid_t process = fork();
  if (process != 0) {
    return process;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const std::string text = HasTrouble() ? UnfinishedRequest() : WholeRequest();
  std::list<Connection> connections;
  for (int i = 0; i < kConnectionsPerProcess; ++i) {
    Connection& connection = connections.emplace_back(Connection::To(aPort));
    connection.SetTimeout(milliseconds(2000));
    connection.Send(text);
    if (!HasTrouble()) {
      const auto head = connection.ReadHead();
      head ? connection.ReadBytes(BodyBytes(*head)) : std::nullopt;
    }
    Sleep(kPause);
  }
  Sleep(kHoldTime);
  _exit(0);
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
  std::vector<pid_t> processes;
  Clients clients(record, kClients, gateway.Frontend());
  Sleep(milliseconds(4500));
  MemoryWatch watch(record, gateway);
  for (int i = 0; i < kProcesses; ++i) {
    processes.push_back(SendRequests(gateway.Frontend()));
  }
  const std::string text = HasTrouble() ? UnfinishedRequest() : WholeRequest();
  record.Say(
    "stranger opens " + std::to_string(kProcesses * kConnectionsPerProcess) +
    " connections and sends " + std::to_string(text.size()) + " bytes on each");
  const auto end = Clock::now() + kHoldTime;
  while (gateway.ResidentBytes() > 0 && Clock::now() < end) {
    Sleep(milliseconds(20));
  }
  Sleep(milliseconds(500));
  const bool isKilled = watch.Stop();
  const auto sent = clients.Stop();
  const auto ended = gateway.End();
  for (const pid_t process : processes) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
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
