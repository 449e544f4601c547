#include "lab.h"
// Clients on kept connections (streams, POSTs that may run once, GETs) while new versions of the configuration arrive; all workers are sound.
// ROUTES: idle routes more in each second version. EVERY_MS: between versions. SHARE: percent of a core that a gateway gets (SIGSTOP/SIGCONT, 100 ms).
// MOVE=1: routes change their service. DROP=1: the second service is missing in each fourth version. TIMEOUTS=1: time limits alternate, 8 and 5 s.
// ROLL=1: the first gateway gets SIGHUP and SIGTERM again and again, and is started 0.5 s after it ends.
// Counts requests read whole whose connection ended without a whole answer (cut), before and during the changes.
namespace {
int Env(const char* aName, int aDefault) { const char* v = getenv(aName); return v ? std::stoi(v) : aDefault; }
const int kRoutes = Env("ROUTES", 1200), kEvery = Env("EVERY_MS", 300), kShare = Env("SHARE", 100), kClients = Env("CLIENTS", 60);
const int kSeconds = Env("SECONDS", 14), kEvents = Env("EVENTS", 20), kGap = Env("GAP_MS", 100), kSilent = Env("SILENT_MS", 0);
const bool kMove = Env("MOVE", 0), kDrop = Env("DROP", 0), kTimeouts = Env("TIMEOUTS", 0);
const char* const kServices[] = { "rota-llm", "other-llm" };
std::mutex sMutex; std::map<std::string, long> sRun; std::map<std::string, int> sCut;
std::atomic<bool> sChanging{ false }, sStop{ false };
std::atomic<int> sWhole[2], sRefused[2], sFailed[2], sCuts[2], sNoAnswer[2];

void ServeWorker(const std::string& aName, int aDescriptor)
{
  std::string buffer; lab::Request request;
  while (lab::ReadRequest(aDescriptor, buffer, request)) {
    const std::string id = lab::Field(request.mHead, "Beryllever-Attempt-Id");
    if (lab::Field(request.mHead, "Beryllever-Expect-Instance") != aName) { lab::SendAll(aDescriptor, lab::Reply(421, "Beryllever-Not-Executed: 1\r\n", "")); continue; }
    const std::string stamp = "Beryllever-Attempt-Id: " + id + "\r\nBeryllever-Server-Stamp: stamp-" + id + "\r\n";
    { const std::lock_guard lock(sMutex); sRun[id] = lab::TheRecord().Now(); }
    if (request.mTarget.find("/chat") != 0) { lab::Sleep(lab::milliseconds(40)); if (!lab::SendAll(aDescriptor, lab::Reply(200, stamp, std::string(800, 'y')))) return; continue; }
    const std::string last = lab::Field(request.mHead, "Last-Event-Id");
    lab::Sleep(lab::milliseconds(120));
    if (!lab::SendAll(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + stamp + "Transfer-Encoding: chunked\r\n\r\n")) return;
    for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= kEvents; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: " + std::string(65, 'x') + "\n\n";
      char size[16]; std::snprintf(size, sizeof(size), "%zx", event.size());
      if (!lab::SendAll(aDescriptor, std::string(size) + "\r\n" + event + "\r\n")) return;
      lab::Sleep(lab::milliseconds(kGap + (kSilent && i == kEvents / 2 ? kSilent : 0)));
    }
    if (!lab::SendAll(aDescriptor, "0\r\n\r\n")) return;
  }
}

void Client(int aPort, int aNumber)
{
  int descriptor = -1;
  for (int i = 0; !sStop; ++i) {
    if (descriptor < 0 && (descriptor = lab::ConnectTo(aPort)) < 0) { lab::Sleep(lab::milliseconds(50)); continue; }
    const std::string id = "c" + std::to_string(aNumber) + "-" + std::to_string(i);
    lab::Sleep(lab::milliseconds((aNumber * 37 + i * 101) % 150));
    const int phase = sChanging ? 1 : 0;
    const long sentAt = lab::TheRecord().Now();
    const bool isStream = aNumber % 3 == 0;
    if (isStream) lab::SendAll(descriptor, lab::RequestText("POST", "/chat/1", id, 8000, "Beryllever-Model-Id: m\r\nBeryllever-Token-Counts: 90,24\r\nBeryllever-Prompt-Prefix: 5c1e07a2:40," + std::to_string(1000 + aNumber) + ":50\r\n", "prompt"));
    else if (aNumber % 3 == 1) lab::SendAll(descriptor, lab::RequestText("POST", "/grant/1", id, 4000, "", std::string(600, 'b')));
    else lab::SendAll(descriptor, lab::RequestText("GET", "/read/1", id, 4000, "", ""));
    const lab::Answer answer = lab::ReadAnswer(descriptor, lab::milliseconds(8500));
    if (answer.mIsWhole) {
      ++(answer.mStatus / 100 == 2 ? sWhole : answer.mStatus == 503 || answer.mStatus == 429 ? sRefused : sFailed)[phase];
      if (answer.mStatus / 100 != 2) { const std::lock_guard lock(sMutex); ++sCut[std::to_string(answer.mStatus) + " " + answer.mBody.substr(0, 60)]; }
      if (lab::Field(answer.mHead, "Connection") == "close") { close(descriptor); descriptor = -1; }
      continue;
    }
    bool isRun; { const std::lock_guard lock(sMutex); isRun = sRun.count(id) > 0; }
    ++(answer.mEnd == 0 ? sNoAnswer : sCuts)[phase];
    lab::Note("CUT " + id + (isStream ? " stream" : "") + (isRun ? " run" : " not run") + " end " + std::to_string(answer.mEnd) + " status " + std::to_string(answer.mStatus) + " bytes " +
      std::to_string(answer.mBody.size()) + " after " + std::to_string(lab::TheRecord().Now() - sentAt) + " ms, phase " + std::to_string(phase));
    close(descriptor); descriptor = -1;
  }
  if (descriptor >= 0) close(descriptor);
}

std::string Config(int aVersion)
{
  const bool drops = kDrop && aVersion % 4 == 3;
  const char* const service = kServices[kMove && !drops && aVersion % 2];
  std::vector<lab::RouteText> routes{ { "chat", "streaming", service, 2, true }, { "grant", "non_idempotent", service, 1, false }, { "read", "idempotent", service, 2, false } };
  for (int i = 0; i < (aVersion % 2 ? 0 : kRoutes); ++i) routes.push_back({ "idle-" + std::to_string(i), "idempotent", kServices[0], 2, false });
  std::vector<std::string> services{ kServices[0] };
  if (!drops) services.push_back(kServices[1]);
  return lab::ConfigText(aVersion, routes, services, kTimeouts && aVersion % 2 ? 5000 : 8000);
}
}

int main()
{
  lab::Store store;
  store.Put("op/config", Config(1));
  std::vector<std::unique_ptr<lab::Server>> servers;
  for (int i = 1; i <= 16; ++i) {
    const std::string name = "w" + std::to_string(i);
    servers.push_back(std::make_unique<lab::Server>([name](int it) { ServeWorker(name, it); }));
    store.Put("servers/" + name, lab::WorkerText(kServices[i % 2], servers.back()->Port(), i % 4 < 2 ? "mid-north" : "mid-central", "ready", lab::UnixMs()));
  }
  lab::Gateway first("edge-mid-north-1", "mid-north", store.Port()), second("edge-mid-central-1", "mid-central", store.Port());
  const std::vector<std::string> seeds{ first.ControlAddress(), second.ControlAddress() };
  first.Start(seeds); second.Start(seeds);
  if (!first.WaitReady(lab::milliseconds(10000)) || !second.WaitReady(lab::milliseconds(10000))) lab::End(2, "not ready");
  lab::Sleep(lab::milliseconds(4000));
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) { threads.emplace_back([&, i] { Client(i % 2 ? first.Frontend() : second.Frontend(), i); }); lab::Sleep(lab::milliseconds(20)); }
  if (kShare < 100) for (lab::Gateway* it : { &first, &second }) threads.emplace_back([it] {
    while (!sStop) { it->Proc().Signal(SIGSTOP); lab::Sleep(lab::milliseconds(100 - kShare)); it->Proc().Signal(SIGCONT); lab::Sleep(lab::milliseconds(kShare)); } });
  lab::Sleep(lab::milliseconds(5000));
  sChanging = lab::HasTrouble();
  int version = 1;
  // Its thread must outlive the gateway that it starts (PDEATHSIG).
  if (Env("FREEZE", 0)) std::thread([&] { for (;;) { lab::Sleep(lab::milliseconds(2500)); if (!sChanging) continue; lab::Note("freeze"); first.Proc().Signal(SIGSTOP); lab::Sleep(lab::milliseconds(Env("FREEZE", 0))); first.Proc().Signal(SIGCONT); lab::Note("thaw"); if (Env("HUP", 0)) first.Proc().Signal(SIGHUP); } }).detach();
  if (Env("ROLL", 0)) std::thread([&] { for (;;) { lab::Sleep(lab::milliseconds(1500)); if (!sChanging) continue; first.Proc().Signal(SIGHUP); lab::Sleep(lab::milliseconds(5)); first.Proc().Signal(SIGTERM);
    while (!first.Proc().HasEnded()) lab::Sleep(lab::milliseconds(20)); lab::Note("first has ended, status " + std::to_string(first.Proc().mStatus)); lab::Sleep(lab::milliseconds(500)); first.Start(seeds); first.WaitReady(lab::milliseconds(5000)); } }).detach();
  for (const long end = lab::TheRecord().Now() + kSeconds * 1000; lab::TheRecord().Now() < end;) {
    if (sChanging) store.Put("op/config", Config(++version));
    lab::Sleep(lab::milliseconds(kEvery));
  }
  sChanging = false;
  lab::Sleep(lab::milliseconds(1500));
  sStop = true;
  for (std::thread& it : threads) it.join();
  for (const auto& [what, n] : sCut) lab::Note("answers: " + std::to_string(n) + " x " + what);
  for (int i : { 0, 1 }) lab::Note(std::string(i ? "during changes: " : "outside: ") + "whole " + std::to_string(sWhole[i]) + " refused " + std::to_string(sRefused[i]) + " failed " + std::to_string(sFailed[i]) +
    " CUT " + std::to_string(sCuts[i]) + " unanswered " + std::to_string(sNoAnswer[i]));
  lab::End(sCuts[0] + sCuts[1] + sNoAnswer[0] + sNoAnswer[1] ? 1 : 0, "versions " + std::to_string(version) + ", gateways alive " + std::to_string(!first.Proc().HasEnded()) + std::to_string(!second.Proc().HasEnded()));
}
