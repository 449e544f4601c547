#include "lab.h"

/**
 * Streams at a sound worker pause for 1.9 s, which their clients bear, while
 * the other worker of the service is full. The gateway gets SIGTERM meanwhile,
 * with seconds of GraceS left.
 */

namespace {

constexpr int kClients = 12;
constexpr int kEvents = 8;
constexpr int kEventsBeforePause = 3;
constexpr int kDeadlineMs = 8'000;
constexpr lab::milliseconds kPause{ 1'900 };
constexpr lab::milliseconds kEventInterval{ 60 };
constexpr lab::milliseconds kTermAfter{ 400 };
/** Clients leave a stream after a gap of 2 s. */
constexpr long kClientPatienceMs = 2'000;

std::atomic<bool> sIsFull{ false };

bool
SendEvent(int aDescriptor, int aNumber, const std::string& aId)
{
  const std::string event = "id: " + std::to_string(aNumber) +
                            "\ndata: " + aId + "-" + std::to_string(aNumber) +
                            "\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", event.size());
  return lab::SendAll(aDescriptor, std::string(size) + "\r\n" + event + "\r\n");
}

bool
Stream(const std::string& aName,
       int aDescriptor,
       const std::string& aId,
       int aFirst,
       bool aMayPause)
{
  if (!lab::SendAll(aDescriptor,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Beryllever-Attempt-Id: " +
                      aId + "\r\nBeryllever-Server-Stamp: stamp-" + aId +
                      "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int i = aFirst; i <= kEvents; ++i) {
    if (aMayPause && i == kEventsBeforePause + 1) {
      lab::Note("worker " + aName + ": " + aId + " pauses");
      lab::Sleep(kPause);
      // A caller that has left is seen before the next event.
      char byte = 0;
      if (recv(aDescriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
          (errno != EAGAIN && errno != EWOULDBLOCK)) {
        lab::Note("worker " + aName + ": " + aId +
                  " would go on, but its caller has left");
        return false;
      }
    }
    if (!SendEvent(aDescriptor, i, aId)) {
      return false;
    }
    lab::Sleep(kEventInterval);
  }
  return lab::SendAll(aDescriptor, "0\r\n\r\n");
}

void
ServeWorker(const std::string& aName, int aDescriptor)
{
  std::string buffer;
  lab::Request request;
  while (lab::ReadRequest(aDescriptor, buffer, request)) {
    const std::string id = lab::Field(request.mHead, "Beryllever-Attempt-Id");
    if (lab::Field(request.mHead, "Beryllever-Expect-Instance") != aName) {
      lab::SendAll(aDescriptor,
                   lab::Reply(421, "Beryllever-Not-Executed: 1\r\n", ""));
      continue;
    }
    if (aName == "w2" && sIsFull) {
      lab::Note("worker w2: is full, doesn't run " + id);
      lab::SendAll(aDescriptor,
                   lab::Reply(503,
                              "Beryllever-Attempt-Id: " + id +
                                "\r\nBeryllever-Not-Executed: 1\r\n",
                              "full"));
      continue;
    }
    lab::Note("worker " + aName + ": runs " + id);
    const std::string last = lab::Field(request.mHead, "Last-Event-Id");
    const bool mayPause = lab::HasTrouble() && aName == "w1" &&
                          id.find("first") == std::string::npos;
    if (!Stream(aName,
                aDescriptor,
                id,
                last.empty() ? 1 : std::stoi(last) + 1,
                mayPause)) {
      return;
    }
  }
}

std::string
StreamRequest(const std::string& aId)
{
  return lab::RequestText(
    "POST", "/handover/1", aId, kDeadlineMs, "", "prompt");
}

}

int
main()
{
  lab::Store store;
  lab::Server one([](int it) { ServeWorker("w1", it); });
  lab::Server two([](int it) { ServeWorker("w2", it); });
  store.Put(
    "op/config",
    lab::ConfigText(1,
                    { { "handover", "streaming", "rota-llm", 2, true } },
                    { "rota-llm" },
                    kDeadlineMs));
  const long long born = lab::UnixMs();
  store.Put(
    "servers/w1",
    lab::WorkerText("rota-llm", one.Port(), "mid-north", "ready", born));
  store.Put(
    "servers/w2",
    lab::WorkerText("rota-llm", two.Port(), "mid-north", "ready", born));
  lab::Gateway first("edge-mid-north-1", "mid-north", store.Port());
  lab::Gateway second("edge-mid-central-1", "mid-central", store.Port());
  const std::vector<std::string> seeds{ first.ControlAddress(),
                                        second.ControlAddress() };
  first.Start(seeds);
  second.Start(seeds);
  if (!first.WaitReady(lab::milliseconds(10000)) ||
      !second.WaitReady(lab::milliseconds(10000))) {
    lab::End(2, "the gateways do not get ready");
  }
  lab::Sleep(lab::milliseconds(4000));

  std::atomic<int> broken{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "a-" + std::to_string(i);
      const int descriptor = lab::ConnectTo(first.Frontend());
      lab::SendAll(descriptor, StreamRequest(id + "-first"));
      if (!lab::ReadAnswer(descriptor, lab::milliseconds(3000)).mIsWhole) {
        lab::End(2, "a first request failed");
      }
      lab::Sleep(lab::milliseconds(300));
      lab::SendAll(descriptor, StreamRequest(id));
      long lastAt = lab::TheRecord().Now();
      long gap = 0;
      const lab::Answer answer = lab::ReadAnswer(
        descriptor, lab::milliseconds(kDeadlineMs), [&](size_t) {
          const long now = lab::TheRecord().Now();
          gap = std::max(gap, now - lastAt);
          lastAt = now;
        });
      const long silent = lab::TheRecord().Now() - lastAt;
      const bool hasLeft =
        std::max(gap, answer.mIsWhole ? 0 : silent) > kClientPatienceMs;
      broken += answer.mIsWhole || hasLeft ? 0 : 1;
      lab::Note(
        "client: " + id + " status " + std::to_string(answer.mStatus) +
        (answer.mIsWhole ? " whole" : " NOT WHOLE, closed after ") +
        (answer.mIsWhole ? "" : std::to_string(silent) + " ms of silence") +
        ", longest gap " + std::to_string(gap) + " ms");
      close(descriptor);
    });
  }
  lab::Sleep(lab::milliseconds(1200));
  sIsFull = lab::HasTrouble();
  lab::Sleep(kTermAfter);
  if (lab::HasTrouble()) {
    first.Proc().Signal(SIGTERM);
    lab::Note("platform: SIGTERM to " + first.Name());
  }
  for (std::thread& client : clients) {
    client.join();
  }
  lab::End(broken > 3 ? 1 : 0,
           (broken > 3 ? "LOST: " : "held: ") + std::to_string(broken) +
             " streams of a sound worker were closed without a whole answer, 3 "
             "are allowed");
}
