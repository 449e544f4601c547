#include "lab.h"

/**
 * One part of prompts crashes each worker that begins to write an answer on it.
 * The worker ends once it has written the head and the first event.
 */

namespace {

constexpr long kContactMs = 3000;
constexpr int kDeadlineMs = 8000;
constexpr lab::milliseconds kRunTime{ 45000 };
constexpr lab::milliseconds kBackAfter{ 3000 };
constexpr int kWorkers = 6;
constexpr int kEvents = 8;
constexpr int kEventPauseMs = 30;
constexpr char kDeadlyPart[] = "deadbee1:200";

std::mutex sMutex;
std::vector<long> sCrashes;
std::vector<long> sArrivals;
std::atomic<int> sSoundSent{ 0 };
std::atomic<int> sSoundWhole{ 0 };

class Worker
{
public:
  Worker(lab::Store& aStore, const std::string& aName)
    : mStore(aStore)
    , mName(aName)
    , mServer([this](int it) { Serve(it); })
  {
    Register();
  }

private:
  void Register()
  {
    mStore.Put(
      "servers/" + mName,
      lab::WorkerText(
        "rota-llm", mServer.Port(), "mid-north", "ready", lab::UnixMs()));
  }
  void Crash()
  {
    mServer.Shut();
    {
      const std::lock_guard lock(sMutex);
      sCrashes.push_back(lab::TheRecord().Now());
      lab::Note("worker " + mName + ": CRASH number " +
                std::to_string(sCrashes.size()));
    }
    std::thread([this] {
      lab::Sleep(kBackAfter);
      mServer.Open();
      Register();
    }).detach();
  }
  void Serve(int aDescriptor)
  {
    std::string buffer;
    lab::Request request;
    while (lab::ReadRequest(aDescriptor, buffer, request)) {
      const std::string id = lab::Field(request.mHead, "Beryllever-Attempt-Id");
      if (lab::Field(request.mHead, "Beryllever-Expect-Instance") != mName) {
        lab::SendAll(aDescriptor,
                     lab::Reply(421, "Beryllever-Not-Executed: 1\r\n", ""));
        continue;
      }
      const bool isDeadly =
        lab::HasTrouble() &&
        lab::Field(request.mHead, "Beryllever-Prompt-Prefix")
            .find(kDeadlyPart) != std::string::npos;
      if (isDeadly) {
        const std::lock_guard lock(sMutex);
        sArrivals.push_back(lab::TheRecord().Now());
        lab::Note("worker " + mName + ": gets " + id + " with the deadly part");
      }
      if (!Answer(aDescriptor, request, id, isDeadly)) {
        return;
      }
    }
  }
  bool Answer(int aDescriptor,
              const lab::Request& aRequest,
              const std::string& aId,
              bool aIsDeadly)
  {
    lab::Sleep(lab::milliseconds(40));
    const std::string last = lab::Field(aRequest.mHead, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    if (!lab::SendAll(aDescriptor,
                      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Beryllever-Attempt-Id: " +
                        aId + "\r\nBeryllever-Server-Stamp: stamp-" + aId +
                        "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int i = first; i <= kEvents; ++i) {
      const std::string event =
        "id: " + std::to_string(i) + "\ndata: piece\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx", event.size());
      if (!lab::SendAll(aDescriptor,
                        std::string(size) + "\r\n" + event + "\r\n")) {
        return false;
      }
      lab::Sleep(lab::milliseconds(kEventPauseMs));
      if (aIsDeadly) {
        Crash();
        return false;
      }
    }
    return lab::SendAll(aDescriptor, "0\r\n\r\n");
  }

  lab::Store& mStore;
  const std::string mName;
  lab::Server mServer;
};

void
Ask(const lab::Gateway& aGateway, const std::string& aId, bool aIsDeadly)
{
  const std::string prefix =
    std::string("5c1e07a2:40,") + (aIsDeadly ? kDeadlyPart : "91bd3f06:210") +
    "," + std::to_string(std::hash<std::string>()(aId)) + ":250";
  const lab::Answer answer =
    lab::Call(aGateway.Frontend(),
              lab::RequestText("POST",
                               "/handover/1",
                               aId,
                               kDeadlineMs,
                               "Beryllever-Model-Id: m\r\n"
                               "Beryllever-Token-Counts: 490,40\r\n"
                               "Beryllever-Prompt-Prefix: " +
                                 prefix + "\r\n",
                               "prompt"),
              lab::milliseconds(kDeadlineMs));
  if (aIsDeadly) {
    lab::Note("client: " + aId + " at " + aGateway.Name() + " status " +
              std::to_string(answer.mStatus) +
              (answer.mIsWhole ? " whole" : " broken off"));
    return;
  }
  ++sSoundSent;
  sSoundWhole += answer.mStatus == 200 && answer.mIsWhole ? 1 : 0;
  if (answer.mStatus != 200 || !answer.mIsWhole) {
    lab::Note("client: sound " + aId + " at " + aGateway.Name() + " status " +
              std::to_string(answer.mStatus) +
              (answer.mIsWhole ? "" : " broken off"));
  }
}

}

int
main()
{
  lab::Store store;
  store.Put(
    "op/config",
    lab::ConfigText(1,
                    { { "handover", "streaming", "rota-llm", 2, true } },
                    { "rota-llm" },
                    kDeadlineMs));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(store, "w" + std::to_string(i)));
  }
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
  lab::Sleep(lab::milliseconds(3500));

  const auto end = lab::Clock::now() + kRunTime;
  std::vector<std::thread> clients;
  for (int i = 0; lab::Clock::now() < end; ++i) {
    const lab::Gateway& gateway = i % 2 == 0 ? first : second;
    clients.emplace_back(
      [&gateway, i] { Ask(gateway, "sound-" + std::to_string(i), false); });
    // Sound requests alone for 5 s, so that their parts are known to be sound.
    if (i >= 50 && i % 20 == 3 + (i / 20) % 2) {
      clients.emplace_back(
        [&gateway, i] { Ask(gateway, "deadly-" + std::to_string(i), true); });
    }
    lab::Sleep(lab::milliseconds(100));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock(sMutex);
  int late = 0;
  for (const long arrival : sArrivals) {
    late += sCrashes.size() >= 5 && arrival > sCrashes[4] + kContactMs ? 1 : 0;
  }
  lab::Note("crashes " + std::to_string(sCrashes.size()) +
            ", requests with the deadly part that reached workers " +
            std::to_string(sArrivals.size()) +
            ", later than ContactMs after "
            "the fifth crash " +
            std::to_string(late) + "; sound requests " +
            std::to_string(sSoundSent) + ", whole " +
            std::to_string(sSoundWhole));
  lab::End(late > 3 ? 1 : 0,
           late > 3 ? "BUDGET: " + std::to_string(late) +
                        " requests with a part that crashes workers reached "
                        "workers too late"
                    : "held: " + std::to_string(late) +
                        " late requests with the part, 3 are allowed");
}
