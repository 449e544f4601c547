#include "lab.h"

/**
 * A key is withdrawn just after all gateways but one have lost power. The one
 * that runs on reads the store through the others, as the fourth gateway of its
 * zone, until it counts them as gone.
 */

namespace {

constexpr long kConfigApplyMs = 2000;
constexpr int kDeadlineMs = 1000;
constexpr lab::milliseconds kChangeDelay{ 20 };
constexpr lab::milliseconds kDownTime{ 3500 };
constexpr lab::milliseconds kInterval{ 20 };

std::string
Config(int aVersion, bool aHasOldKey)
{
  std::string text = lab::ConfigText(
    aVersion,
    { { "assign", "non_idempotent", "dispatch-app", 1, false } },
    { "dispatch-app" },
    kDeadlineMs);
  text.pop_back();
  return text + ",\"TenantList\":[{\"Name\":\"depot\",\"ApiKeys\":[\"kept\"" +
         (aHasOldKey ? ",\"withdrawn\"" : "") + "]}]}";
}

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
    lab::Note("worker w1: runs " + id);
    lab::SendAll(aDescriptor,
                 lab::Reply(200,
                            "Beryllever-Attempt-Id: " + id +
                              "\r\nBeryllever-Server-Stamp: stamp-" + id +
                              "\r\n",
                            "done"));
  }
}

int
Ask(const lab::Gateway& aGateway,
    const std::string& aId,
    const std::string& aKey)
{
  return lab::Call(aGateway.Frontend(),
                   lab::RequestText("POST",
                                    "/assign/1",
                                    aId,
                                    kDeadlineMs,
                                    "Authorization: Bearer " + aKey + "\r\n",
                                    "x"),
                   lab::milliseconds(kDeadlineMs))
    .mStatus;
}

}

int
main()
{
  lab::Store store;
  lab::Server worker(ServeWorker);
  store.Put("op/config", Config(1, true));
  store.Put(
    "servers/w1",
    lab::WorkerText(
      "dispatch-app", worker.Port(), "mid-north", "ready", lab::UnixMs()));
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
  if (Ask(survivor, "before", "withdrawn") != 200) {
    lab::End(2, "the key is not accepted at first");
  }

  std::vector<lab::Gateway*> killed;
  for (size_t i = 0; i < gateways.size() && lab::HasTrouble(); ++i) {
    if (i != 3) {
      killed.push_back(gateways[i].get());
    }
  }
  for (lab::Gateway* gateway : killed) {
    gateway->Proc().Kill();
    lab::Note("platform: SIGKILL to " + gateway->Name());
  }
  const auto back = lab::Clock::now() + kDownTime;
  lab::Sleep(kChangeDelay);
  store.Put("op/config", Config(2, false));
  const long acknowledgedAt = lab::TheRecord().Now();
  int late = 0;
  while (lab::Clock::now() < back) {
    const long sentAt = lab::TheRecord().Now() - acknowledgedAt;
    const std::string id = "after-" + std::to_string(sentAt);
    const int status = Ask(survivor, id, "withdrawn");
    lab::Note("client: " + id + ", sent " + std::to_string(sentAt) +
              " ms after the acknowledgement, status " +
              std::to_string(status));
    late += status == 200 && sentAt > kConfigApplyMs ? 1 : 0;
    lab::Sleep(kInterval);
  }
  lab::End(late > 0 ? 1 : 0,
           (late > 0 ? "CONFIG: " : "held: ") + std::to_string(late) +
             " requests with the withdrawn key ran that were sent later than "
             "ConfigApplyMs after the acknowledgement");
}
