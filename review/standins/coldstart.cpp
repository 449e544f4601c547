#include "lab.h"

/**
 * All gateways are killed and start again while a worker has become cold.
 * Counted are the requests that were sent by clients and reached the worker
 * within any one second.
 */

namespace {

constexpr int kGateways = 8;
constexpr int kColdPerSecond = 38;
/** ColdPerS x ColdOverage + ColdTolerance. */
constexpr int kBound = 62;
constexpr int kDeadlineMs = 300;
constexpr int kClientsPerGateway = 8;
constexpr lab::milliseconds kPauseAfterRefusal{ 40 };
constexpr lab::milliseconds kRestartDelay{ 300 };
constexpr lab::milliseconds kRunTime{ 12000 };

std::mutex sMutex;
std::map<std::string, long> sSent;
std::vector<std::pair<long, long>> sArrivals;
std::atomic<bool> sIsOver{ false };

void
ServeWorker(int aDescriptor)
{
  std::string buffer;
  lab::Request request;
  while (lab::ReadRequest(aDescriptor, buffer, request)) {
    const std::string id = lab::Field(request.mHead, "Beryllever-Attempt-Id");
    if (lab::Field(request.mHead, "Beryllever-Expect-Instance") != "w1") {
      lab::SendAll(aDescriptor,
                   lab::Reply(421, "Beryllever-Not-Executed: 1\r\n", ""));
      continue;
    }
    {
      const std::lock_guard lock(sMutex);
      sArrivals.emplace_back(lab::TheRecord().Now(), sSent[id]);
    }
    lab::Note("worker w1: gets " + id);
    lab::Sleep(lab::milliseconds(5));
    lab::SendAll(aDescriptor,
                 lab::Reply(200,
                            "Beryllever-Attempt-Id: " + id +
                              "\r\nBeryllever-Server-Stamp: stamp-" + id +
                              "\r\n",
                            "done"));
  }
}

void
Press(const lab::Gateway& aGateway, int aClient)
{
  for (int i = 0; !sIsOver; ++i) {
    const std::string id = std::to_string(aClient) + "-" + std::to_string(i);
    {
      const std::lock_guard lock(sMutex);
      sSent[id] = lab::TheRecord().Now();
    }
    const lab::Answer answer =
      lab::Call(aGateway.Frontend(),
                lab::RequestText("POST", "/assign/1", id, kDeadlineMs, "", "x"),
                lab::milliseconds(kDeadlineMs));
    if (answer.mStatus != 200) {
      lab::Sleep(kPauseAfterRefusal);
    }
  }
}

/** Most requests that were sent and arrived within one second. */
int
Most(long& aAt)
{
  int most = 0;
  for (const auto& [start, unused] : sArrivals) {
    for (const long from : { start, start - 1000 }) {
      int n = 0;
      for (const auto& [arrivedAt, sentAt] : sArrivals) {
        n += sentAt >= from && arrivedAt <= from + 1000 ? 1 : 0;
      }
      if (n > most) {
        most = n;
        aAt = from;
      }
    }
  }
  return most;
}

}

int
main()
{
  lab::Store store;
  lab::Server worker(ServeWorker);
  std::string config =
    lab::ConfigText(1,
                    { { "assign", "non_idempotent", "rota-llm", 1 } },
                    { "rota-llm" },
                    kDeadlineMs);
  const std::string mark = "\"MaxConnections\":110";
  config.replace(config.find(mark),
                 mark.size(),
                 mark + ",\"ColdStartS\":3.0,\"ColdPerS\":" +
                   std::to_string(kColdPerSecond));
  store.Put("op/config", config);
  const long long born = lab::UnixMs();
  store.Put(
    "servers/w1",
    lab::WorkerText("rota-llm", worker.Port(), "mid-north", "ready", born));
  std::vector<std::unique_ptr<lab::Gateway>> gateways;
  const std::vector<std::string> zones{ "mid-north",
                                        "mid-central",
                                        "mid-south" };
  for (int i = 0; i < kGateways; ++i) {
    const std::string zone = zones[static_cast<size_t>(i) % 3];
    gateways.push_back(std::make_unique<lab::Gateway>(
      "edge-" + zone + "-" + std::to_string(i / 3 + 1), zone, store.Port()));
  }
  const std::vector<std::string> seeds{ gateways[0]->ControlAddress(),
                                        gateways[1]->ControlAddress(),
                                        gateways[2]->ControlAddress() };
  for (const auto& gateway : gateways) {
    gateway->Start(seeds);
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(lab::milliseconds(10000))) {
      lab::End(2, gateway->Name() + " does not get ready");
    }
  }
  lab::Sleep(lab::milliseconds(6000));
  std::vector<std::thread> clients;
  for (int i = 0; i < kGateways * kClientsPerGateway; ++i) {
    clients.emplace_back([&, i] { Press(*gateways[i % kGateways], i); });
  }
  const auto end = lab::Clock::now() + kRunTime;
  lab::Sleep(lab::milliseconds(1900));
  for (int i = 0; i < 3; ++i) {
    std::string entry =
      lab::WorkerText("rota-llm", worker.Port(), "mid-north", "ready", born);
    const std::string warm = "\"ColdRemainingMs\":0";
    store.Put(
      "servers/w1",
      entry.replace(entry.find(warm), warm.size(), "\"ColdRemainingMs\":3000"));
    lab::Sleep(lab::milliseconds(500));
    if (!lab::HasTrouble()) {
      lab::Sleep(kRestartDelay + lab::milliseconds(2200));
      continue;
    }
    for (const auto& gateway : gateways) {
      gateway->Proc().Kill();
    }
    lab::Note("platform: SIGKILL to all gateways");
    lab::Sleep(kRestartDelay);
    for (const auto& gateway : gateways) {
      gateway->Start(seeds);
    }
    lab::Note("platform: starts them again");
    lab::Sleep(lab::milliseconds(2200));
  }
  std::this_thread::sleep_until(end);
  sIsOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock(sMutex);
  long at = 0;
  const int most = Most(at);
  lab::End(most > kBound ? 1 : 0,
           (most > kBound ? "FAILBACK: " : "held: ") + std::to_string(most) +
             " requests reached the worker within the second from " +
             std::to_string(at) + " ms, " + std::to_string(kBound) +
             " are allowed");
}
