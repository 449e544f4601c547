// Case 8: clients lose their connection after the last event of a stream and
// before its end, and resume it elsewhere. The worker has no more events and
// answers 204. Is the connection still good for the next request?

#include "lab.h"

using namespace lab;

namespace {

constexpr int kClients = 8;
constexpr milliseconds kWork{ 15 };
/** Time after which a client reads the answer to a call-out. */
constexpr milliseconds kReadDelay{ 100 };
constexpr int kEvents = 28;
constexpr milliseconds kEventPause{ 20 };
/** Time from the last event of a stream to its end. */
constexpr milliseconds kEndPause{ 800 };

std::string
Chunk(const std::string& aBytes)
{
  std::ostringstream text;
  text << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
  return text.str();
}

std::string
Event(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: part " +
         std::to_string(aNumber) + "\n\n";
}

/** A sound model worker. A stream that is resumed after its last event has no
 * content. */
void
ServeStreams(Record& aRecord,
             const std::string& aWorker,
             Connection aConnection)
{
  while (const auto head = aConnection.ReadHead()) {
    if (!aConnection.ReadBytes(BodyBytes(*head))) {
      return;
    }
    const std::string id = Field(*head, "Beryllever-Attempt-Id");
    const std::string text = Field(*head, "Last-Event-Id");
    const int last = text.empty() ? 0 : std::stoi(text);
    const std::string fields = "\r\nBeryllever-Attempt-Id: " + id +
                               "\r\nBeryllever-Server-Stamp: stamp." + aWorker +
                               "." + id + "\r\n";
    aRecord.Write("worker " + aWorker + " runs " + id + " after event " +
                  std::to_string(last));
    if (last >= kEvents) {
      aConnection.Send("HTTP/1.1 204 No Content" + fields + "\r\n");
      continue;
    }
    aConnection.Send("HTTP/1.1 200 OK" + fields +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = last + 1; i <= kEvents; ++i) {
      aConnection.Send(Chunk(Event(i)));
      Sleep(kEventPause);
    }
    Sleep(kEndPause);
    if (!aConnection.Send("0\r\n\r\n")) {
      return;
    }
  }
}

std::string
StreamRequest(const std::string& aId, int aLastEvent)
{
  const std::string body = "draft the handover";
  return "POST /draft/shift HTTP/1.1\r\nHost: rota.example\r\n"
         "Beryllever-Attempt-Id: " +
         aId + "\r\nBeryllever-Deadline-Ms: 8000\r\n" +
         (aLastEvent > 0
            ? "Last-Event-Id: " + std::to_string(aLastEvent) + "\r\n"
            : "") +
         "Authorization: Bearer key-of-north\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Reads the chunks of a stream. Returns the number of its events, and whether
 * its end has come. */
std::pair<int, bool>
ReadStream(Connection& aConnection, std::atomic<int>& aAtLastEvent)
{
  int events = 0;
  while (true) {
    const auto line = aConnection.ReadLine();
    if (!line) {
      return { events, false };
    }
    const size_t size = std::stoul(*line, nullptr, 16);
    const auto bytes = aConnection.ReadBytes(size + 2);
    if (!bytes || size == 0) {
      return { events, bytes.has_value() };
    }
    for (size_t at = bytes->find("id: "); at != std::string::npos;
         at = bytes->find("id: ", at + 1)) {
      ++events;
    }
    aAtLastEvent += events == kEvents ? 1 : 0;
  }
}

/** Sends a call-out and reads its answer. Returns whether the bytes that came
 * were an answer to it. */
bool
CallOut(Connection& aConnection, Record& aRecord, const std::string& aId)
{
  aRecord.Write("client sends " + aId);
  aConnection.Send(Request{ .mId = aId }.Text());
  Sleep(kReadDelay);
  const auto head = aConnection.ReadHead();
  const std::string first = head ? StartLine(*head) : "no head";
  const bool isOwn = head && first.starts_with("HTTP/1.1 200") &&
                     Field(*head, "Beryllever-Attempt-Id") == aId &&
                     aConnection.ReadBytes(BodyBytes(*head));
  aRecord.Write("client gets for " + aId + ": \"" + first + "\"");
  return isOwn;
}

/** One client. Returns whether all that it got were answers to its requests.
 */
bool
RunClient(int aNumber,
          Deployment& aDeployment,
          Record& aRecord,
          std::atomic<int>& aAtLastEvent)
{
  const std::string name = "client" + std::to_string(aNumber);
  Connection first = Connection::To(aDeployment.First().Frontend());
  first.SetTimeout(milliseconds(2000));
  first.Send(StreamRequest(name + "-stream", 0));
  first.ReadHead();
  const auto [events, hasEnded] = ReadStream(first, aAtLastEvent);
  aRecord.Write(name + " has " + std::to_string(events) +
                " events; the end of the stream has come: " +
                (hasEnded ? "yes" : "no, the connection broke"));
  if (hasEnded) {
    return CallOut(first, aRecord, name + "-callout");
  }
  Connection second = Connection::To(aDeployment.Last().Frontend());
  second.SetTimeout(milliseconds(2000));
  if (!CallOut(second, aRecord, name + "-before")) {
    return false;
  }
  second.Send(StreamRequest(name + "-resumed", events));
  const auto head = second.ReadHead();
  aRecord.Write("client gets for " + name + "-resumed: \"" +
                (head ? StartLine(*head) : "no head") + "\"");
  // An answer with status 204 ends with its head.
  return CallOut(second, aRecord, name + "-callout");
}

}

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  std::optional<Deployment> deployment;
  deployment.emplace(record, kWork);
  std::list<Server> models;
  for (const std::string id : { "i-model-1", "i-model-2" }) {
    models.emplace_back([&record, id](Connection aConnection) {
      ServeStreams(record, id, std::move(aConnection));
    });
    deployment->AddWorker(id, "rota-llm", models.back().Port());
  }
  if (!deployment->Start()) {
    record.Say("the gateways do not become ready");
    deployment.reset();
    Exit(kCouldNotRun);
  }
  Sleep(milliseconds(3500));
  std::atomic<int> atLastEvent = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      served += RunClient(i, *deployment, record, atLastEvent) ? 1 : 0;
    });
  }
  const auto end = Clock::now() + std::chrono::seconds(5);
  while (HasTrouble() && atLastEvent < kClients && Clock::now() < end) {
    Sleep(milliseconds(5));
  }
  if (HasTrouble()) {
    record.Say(std::to_string(atLastEvent) +
               " clients have the last event; the process of " +
               deployment->First().Name() + " is killed");
    deployment->First().Kill();
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const auto runs = deployment->Runs();
  const auto run =
    std::count_if(runs.begin(), runs.end(), [](const Worker::Run& aRun) {
      return aRun.mId.ends_with("-callout");
    });
  const int spoiled = kClients - served;
  record.Say(
    "call-outs that a worker ran: " + std::to_string(run) +
    "; clients that got bytes that are no answer: " + std::to_string(spoiled));
  record.Say(spoiled > 0 ? "BROKEN: MIXED" : "held");
  deployment.reset();
  Exit(spoiled > 0 ? kBroken : kHeld);
}
