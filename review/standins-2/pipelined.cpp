// Case 6: a client that this system does not control pipelines small requests
// behind one that is being worked on. What do the other clients see?

#include "lab.h"

using namespace lab;

namespace {

constexpr int kClients = 16;
constexpr milliseconds kWork{ 110 };
/** Requests that the client sends at once, about 90 KB in all. */
constexpr int kPipelined = 4000;
constexpr char kSmallRequest[] = "A / HTTP/1.1\r\nHost:\r\n\r\n";

/** Sends one proper request and many small ones behind it, all at once. */
void
Pipeline(uint16_t aPort, Record& aRecord)
{
  Connection connection = Connection::To(aPort);
  connection.SetTimeout(milliseconds(3000));
  std::string bytes =
    Request{ .mId = "stranger-1", .mKey = "key-of-south" }.Text();
  for (int i = 0; i < kPipelined; ++i) {
    bytes += kSmallRequest;
  }
  const bool isSent = connection.Send(bytes);
  aRecord.Say("stranger sent " + std::to_string(kPipelined) +
              " small requests behind one, " + std::to_string(bytes.size()) +
              " bytes; all taken: " + (isSent ? "yes" : "no"));
  int answers = 0;
  while (const auto head = connection.ReadHead()) {
    connection.ReadBytes(BodyBytes(*head));
    ++answers;
  }
  aRecord.Say("stranger got " + std::to_string(answers) + " answers");
}

/** The same requests as an ordinary client sends them: each after the answer
 * to the last. */
void
SendOneByOne(uint16_t aPort, Record& aRecord)
{
  Connection connection = Connection::To(aPort);
  connection.SetTimeout(milliseconds(3000));
  connection.Send(
    Request{ .mId = "stranger-1", .mKey = "key-of-south" }.Text());
  int answers = 0;
  for (int i = 0; i <= kPipelined; ++i) {
    const auto head = connection.ReadHead();
    if (!head || !connection.ReadBytes(BodyBytes(*head))) {
      break;
    }
    ++answers;
    connection.Send(kSmallRequest);
  }
  aRecord.Say("stranger got " + std::to_string(answers) +
              " answers, one by one");
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
  // A machine is in touch after ContactMs (3 s).
  Sleep(milliseconds(4500));
  HasTrouble() ? Pipeline(gateway.Frontend(), record)
               : SendOneByOne(gateway.Frontend(), record);
  Sleep(milliseconds(1000));
  const auto sent = clients.Stop();
  const auto end = gateway.End();
  const size_t lost = CountLost(sent, deployment->Runs());
  record.Say("gateway " + gateway.Name() + ": " +
             (end ? "ended by itself, " + *end : "runs"));
  record.Say("ordinary requests: " + std::to_string(sent.size()) +
             " sent, of which passed on to a worker from a kept connection "
             "that ended without an answer: " +
             std::to_string(lost));
  const bool isBroken = end || lost > kMaxLost;
  record.Say(isBroken ? "BROKEN: LOST" : "held");
  deployment.reset();
  Exit(isBroken ? kBroken : kHeld);
}
