#include "lab.h"

/**
 * Workers run requests and their answers are lost: the connection is reset
 * after the work. Counted is on how many workers each client attempt has run.
 */

namespace {

constexpr int kWorkers = 5;
/** Workers that lose answers: a share of 0.6. */
constexpr int kLossyWorkers = 3;
constexpr double kLostShare = 0.4;
constexpr long kLossMs = 4000;
constexpr long kLossEveryMs = 6000;
constexpr int kMaxAttempts = 2;
constexpr int kDeadlineMs = 1000;
constexpr lab::milliseconds kRunTime{ 60000 };
constexpr lab::milliseconds kRequestInterval{ 15 };

std::mutex sMutex;
std::map<std::string, std::vector<std::string>> sRuns;
std::atomic<long> sStart{ 0 };

bool
IsLost(int aWorker)
{
  static thread_local unsigned sSeed = static_cast<unsigned>(
    std::hash<std::thread::id>()(std::this_thread::get_id()));
  const long since = lab::TheRecord().Now() - sStart;
  const bool isLossTime = sStart > 0 && since % kLossEveryMs < kLossMs;
  return lab::HasTrouble() && isLossTime && aWorker <= kLossyWorkers &&
         rand_r(&sSeed) < kLostShare * RAND_MAX;
}

void
ServeWorker(int aNumber, int aDescriptor)
{
  const std::string name = "w" + std::to_string(aNumber);
  std::string buffer;
  lab::Request request;
  while (lab::ReadRequest(aDescriptor, buffer, request)) {
    const std::string id = lab::Field(request.mHead, "Beryllever-Attempt-Id");
    if (lab::Field(request.mHead, "Beryllever-Expect-Instance") != name) {
      lab::SendAll(aDescriptor,
                   lab::Reply(421, "Beryllever-Not-Executed: 1\r\n", ""));
      continue;
    }
    const bool isLost = IsLost(aNumber);
    {
      const std::lock_guard lock(sMutex);
      sRuns[id].push_back(name);
    }
    lab::Note("worker " + name + ": runs " + id +
              (isLost ? ", its answer is lost" : ""));
    lab::Sleep(lab::milliseconds(15));
    if (isLost) {
      const linger reset{ .l_onoff = 1, .l_linger = 0 };
      setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      return;
    }
    lab::SendAll(aDescriptor,
                 lab::Reply(200,
                            "Beryllever-Attempt-Id: " + id +
                              "\r\nBeryllever-Server-Stamp: stamp-" + id +
                              "\r\n",
                            "answer of " + name));
  }
}

}

int
main()
{
  lab::Store store;
  std::vector<std::unique_ptr<lab::Server>> workers;
  store.Put("op/config",
            lab::ConfigText(
              1,
              { { "standby", "idempotent", "dispatch-app", kMaxAttempts } },
              { "dispatch-app" },
              kDeadlineMs));
  for (int i = 1; i <= kWorkers; ++i) {
    workers.push_back(std::make_unique<lab::Server>(
      [i](int aDescriptor) { ServeWorker(i, aDescriptor); }));
    store.Put("servers/w" + std::to_string(i),
              lab::WorkerText("dispatch-app",
                              workers.back()->Port(),
                              "mid-north",
                              "ready",
                              lab::UnixMs()));
  }
  lab::Gateway first("edge-mid-north-1", "mid-north", store.Port());
  lab::Gateway second("edge-mid-north-2", "mid-north", store.Port());
  const std::vector<std::string> seeds{ first.ControlAddress(),
                                        second.ControlAddress() };
  first.Start(seeds);
  second.Start(seeds);
  if (!first.WaitReady(lab::milliseconds(10000)) ||
      !second.WaitReady(lab::milliseconds(10000))) {
    lab::End(2, "the gateways do not get ready");
  }
  lab::Sleep(lab::milliseconds(4000));

  sStart = lab::TheRecord().Now();
  const auto end = lab::Clock::now() + kRunTime;
  std::vector<std::thread> clients;
  for (int i = 0; lab::Clock::now() < end; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "a-" + std::to_string(i);
      const lab::Gateway& gateway = i % 2 == 0 ? first : second;
      const lab::Answer answer =
        lab::Call(gateway.Frontend(),
                  lab::RequestText("GET", "/standby/1", id, kDeadlineMs),
                  lab::milliseconds(kDeadlineMs));
      lab::Note("client: " + id + " at " + gateway.Name() + " status " +
                std::to_string(answer.mStatus));
    });
    lab::Sleep(kRequestInterval);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::lock_guard lock(sMutex);
  int over = 0;
  for (const auto& [id, runs] : sRuns) {
    const std::set<std::string> distinct(runs.begin(), runs.end());
    if (distinct.size() > kMaxAttempts) {
      ++over;
      std::string text;
      for (const std::string& name : runs) {
        text += " " + name;
      }
      lab::Note("over: " + id + " ran on" + text);
    }
  }
  lab::End(over > 3 ? 1 : 0,
           (over > 3 ? "BUDGET: " : "held: ") + std::to_string(over) +
             " client attempts ran on more than MaxAttempts = 2 workers, 3 are "
             "allowed");
}
