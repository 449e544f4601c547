#include "lab.h"

/**
 * A worker's entry is removed from the store while all gateways but one have
 * been killed and are about to start again. The one that runs on reads the
 * store through the others, as the fourth gateway of its zone.
 */

namespace {

constexpr long kDrainMs = 2000;
constexpr int kDeadlineMs = 1000;
constexpr lab::milliseconds kRemovalDelay{ 300 };
constexpr lab::milliseconds kRestartDelay{ 900 };
constexpr long kWatchedMs = 8000;

std::atomic<long> sRemovedAt{ 0 };
std::atomic<int> sLate{ 0 };

/** Serves as worker aName. w2 says that it leaves once its entry is gone. */
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
    const long removedAt = sRemovedAt;
    const bool isLeaving = aName == "w2" && removedAt > 0;
    const long age = isLeaving ? lab::TheRecord().Now() - removedAt : 0;
    if (isLeaving && age > kDrainMs) {
      ++sLate;
    }
    lab::Note(
      "worker " + aName + ": runs " + id +
      (isLeaving ? ", " + std::to_string(age) + " ms after its removal" : ""));
    lab::Sleep(lab::milliseconds(15));
    lab::SendAll(aDescriptor,
                 lab::Reply(200,
                            "Beryllever-Attempt-Id: " + id +
                              "\r\nBeryllever-Server-Stamp: stamp-" + id +
                              "\r\n" +
                              (isLeaving ? "Server-Leaving: 1\r\n" : ""),
                            "answer of " + aName));
  }
}

void
Ask(const lab::Gateway& aGateway, const std::string& aId)
{
  const lab::Answer answer =
    lab::Call(aGateway.Frontend(),
              lab::RequestText("POST", "/assign/1", aId, kDeadlineMs, "", "x"),
              lab::milliseconds(kDeadlineMs));
  lab::Note("client: " + aId + " at " + aGateway.Name() + " status " +
            std::to_string(answer.mStatus) + " " + answer.mBody);
}

}

int
main()
{
  lab::Store store;
  lab::Server one([](int it) { ServeWorker("w1", it); });
  lab::Server two([](int it) { ServeWorker("w2", it); });
  const long long born = lab::UnixMs();
  store.Put(
    "op/config",
    lab::ConfigText(1,
                    { { "assign", "non_idempotent", "dispatch-app", 1 } },
                    { "dispatch-app" },
                    kDeadlineMs));
  store.Put(
    "servers/w1",
    lab::WorkerText("dispatch-app", one.Port(), "mid-north", "ready", born));
  store.Put(
    "servers/w2",
    lab::WorkerText("dispatch-app", two.Port(), "mid-north", "ready", born));

  const char* const scope = getenv("KILLED");
  const bool isZoneOnly = scope != nullptr && std::string(scope) == "zone";
  std::vector<std::unique_ptr<lab::Gateway>> gateways;
  for (const auto& [zone, count] : std::vector<std::pair<std::string, int>>{
         { "mid-north", 4 }, { "mid-central", 1 }, { "mid-south", 1 } }) {
    for (int i = 1; i <= count; ++i) {
      gateways.push_back(std::make_unique<lab::Gateway>(
        "edge-" + zone + "-" + std::to_string(i), zone, store.Port()));
    }
  }
  const std::vector<std::string> seeds{ gateways[0]->ControlAddress(),
                                        gateways[4]->ControlAddress(),
                                        gateways[5]->ControlAddress() };
  for (const auto& gateway : gateways) {
    gateway->Start(seeds);
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitReady(lab::milliseconds(10000))) {
      lab::End(2, gateway->Name() + " does not get ready");
    }
  }
  lab::Sleep(lab::milliseconds(6000));
  const lab::Gateway& survivor = *gateways[3];
  for (int i = 0; i < 6; ++i) {
    Ask(survivor, "before-" + std::to_string(i));
  }

  std::vector<lab::Gateway*> killed;
  for (size_t i = 0; i < gateways.size() && lab::HasTrouble(); ++i) {
    if (i != 3 && (!isZoneOnly || i < 3)) {
      killed.push_back(gateways[i].get());
    }
  }
  for (lab::Gateway* gateway : killed) {
    gateway->Proc().Kill();
    lab::Note("platform: SIGKILL to " + gateway->Name());
  }
  lab::Sleep(kRemovalDelay);
  store.Delete("servers/w2");
  sRemovedAt = lab::TheRecord().Now();
  lab::Sleep(kRestartDelay - kRemovalDelay);
  for (lab::Gateway* gateway : killed) {
    gateway->Start(seeds);
    lab::Note("platform: starts " + gateway->Name() + " again");
  }
  while (lab::TheRecord().Now() < sRemovedAt + kDrainMs + 1000) {
    lab::Sleep(lab::milliseconds(20));
  }
  for (int i = 0; lab::TheRecord().Now() < sRemovedAt + kWatchedMs; ++i) {
    Ask(survivor, "after-" + std::to_string(i));
    Ask(*gateways[0], "other-" + std::to_string(i));
    lab::Sleep(lab::milliseconds(200));
  }
  const int late = sLate;
  lab::End(late > 0 ? 1 : 0,
           late > 0 ? "DRAIN: " + std::to_string(late) +
                        " requests reached w2 later than DrainMs after its "
                        "removal"
                    : "held: w2 got nothing later than DrainMs after its "
                      "removal");
}
