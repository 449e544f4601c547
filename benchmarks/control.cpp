// Processor time and memory of control state as slopes over its size.
#include "configuration/tableparser.h"
#include "configuration/tables.h"
#include "credits/leasemanager.h"
#include "report.h"
#include "routing/endpointselector.h"
#include "spread/sourceselection.h"
#include "steplease/grouplead.h"
#include "steplease/ranklease.h"

#include <ctime>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace beryllever;

namespace {

constexpr unsigned kSeed = 3;

double
ProcessorMicroseconds()
{
  timespec time;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

double
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double
MicrosecondsPerCall(int aCalls, const std::function<void()>& aFunction)
{
  const double start = ProcessorMicroseconds();
  for (int i = 0; i < aCalls; ++i) {
    aFunction();
  }
  return (ProcessorMicroseconds() - start) / aCalls;
}

std::string
RoutesText(int aWorkspaces)
{
  nlohmann::json routes = nlohmann::json::array();
  for (int i = 0; i < aWorkspaces; ++i) {
    routes.push_back({ { "workspace", "workspace-" + std::to_string(i) },
                       { "kind", "chat" },
                       { "pool", "pool-" + std::to_string(i % 11) } });
  }
  return nlohmann::json{ { "routes", routes } }.dump();
}

std::string
PoolsText(int aEndpoints)
{
  nlohmann::json pools = nlohmann::json::array();
  for (int i = 0; i < 11; ++i) {
    nlohmann::json endpoints = nlohmann::json::array();
    for (int n = i; n < aEndpoints; n += 11) {
      const std::string address = "10." + std::to_string(n / 62500) + "." +
                                  std::to_string(n / 250 % 250) + "." +
                                  std::to_string(n % 250) + ":7000";
      endpoints.push_back(
        { { "vm", "vm-" + std::to_string(n) },
          { "availabilityZone", "az-" + std::to_string(n % 5) },
          { "address", address } });
    }
    pools.push_back({ { "name", "pool-" + std::to_string(i) },
                      { "type", "model" },
                      { "bears", 16 },
                      { "endpoints", endpoints } });
  }
  return nlohmann::json{ { "pools", pools } }.dump();
}

void
MeasureTables(int aWorkspaces, int aEndpoints)
{
  const double before = ResidentBytes();
  const std::vector<configuration::Document> documents{
    { "routes", RoutesText(aWorkspaces), 1 },
    { "pools", PoolsText(aEndpoints), 1 }
  };
  std::vector<spread::Change> entries;
  const double parse = MicrosecondsPerCall(
    1, [&] { entries = configuration::ParseDocuments(documents).value(); });
  configuration::RowCache cache;
  configuration::ParseDocuments(documents, cache).value();
  const double parseAgain = MicrosecondsPerCall(
    5, [&] { configuration::ParseDocuments(documents, cache).value(); });
  spread::RevisionStore store;
  store.TakeSnapshot(entries, 1);
  auto tables = configuration::Tables().With(entries, 1);
  entries.clear();
  entries.shrink_to_fit();
  const double bytes = ResidentBytes() - before;
  uint64_t revision = 1;
  const double apply = MicrosecondsPerCall(20, [&] {
    ++revision;
    const std::string value = nlohmann::json{
      { "workspace", "workspace-1" },
      { "kind", "chat" },
      { "pool", "pool-2" },
      { "weight", revision }
    }.dump();
    spread::RevisionStore source = store;
    spread::ChangeSet set{ .mFrom = revision - 1,
                           .mTo = revision,
                           .mDigest = 0 };
    set.mChanges.push_back(
      { "route/workspace-1/chat", value, revision, false });
    store.Apply(set);
    tables = tables->With(set.mChanges, revision);
  });
  const double copy =
    MicrosecondsPerCall(20, [&] { spread::RevisionStore source = store; });
  const double since = MicrosecondsPerCall(20, [&] { store.ChangesSince(1); });
  const double find = MicrosecondsPerCall(
    20000, [&] { tables->FindRoute("workspace-7", "chat"); });
  benchmarks::Report(
    "control-tables",
    kSeed,
    { { "workspaces", aWorkspaces },
      { "endpoints", aEndpoints },
      { "documentBytes",
        documents[0].mText.size() + documents[1].mText.size() },
      { "residentBytesPerWorkspace",
        benchmarks::Rounded(bytes / std::max(1, aWorkspaces)) },
      { "residentMegabytes", benchmarks::Rounded(bytes / 1e6) },
      { "parseAgainMilliseconds", benchmarks::Rounded(parseAgain / 1e3) },
      { "parseMilliseconds", benchmarks::Rounded(parse / 1e3) },
      { "applyOneChangeMicroseconds",
        benchmarks::Rounded(std::max(0.0, apply - copy)) },
      { "changesSinceMicroseconds", benchmarks::Rounded(since) },
      { "findRouteMicroseconds", benchmarks::Rounded(find) } });
}

void
MeasureChoice(int aEndpoints)
{
  global::ManualClock clock;
  credits::LeaseTable wallet(clock);
  configuration::Pool pool{ .mName = "p" };
  for (int i = 0; i < aEndpoints; ++i) {
    pool.mEndpoints.push_back(
      { "vm-" + std::to_string(i), "az", "10.0.0.1:" + std::to_string(i) });
    if (i < 64) {
      wallet.SetLease(pool.mEndpoints.back().mAddress,
                      { 4, clock.Now() + std::chrono::hours(1) },
                      0,
                      4);
    }
  }
  const configuration::Tables tables;
  const configuration::VmList vms;
  const routing::EndpointSelector selector(tables, vms, wallet);
  int key = 0;
  const double choose = MicrosecondsPerCall(2000, [&] {
    selector.Choose(pool, { std::to_string(++key), {} });
  });
  benchmarks::Report("control-choice",
                     kSeed,
                     { { "endpoints", aEndpoints },
                       { "chooseMicroseconds", benchmarks::Rounded(choose) } });
}

void
MeasureLedger(int aEntries)
{
  global::ManualClock clock;
  credits::LeaseManager ledger(clock);
  ledger.SetCapacity(64);
  int entry = 0;
  const double renew = MicrosecondsPerCall(5000, [&] {
    ledger.Renew("entry-" + std::to_string(++entry % aEntries), { 0, 1 });
  });
  benchmarks::Report("control-ledger",
                     kSeed,
                     { { "entries", aEntries },
                       { "renewMicroseconds", benchmarks::Rounded(renew) } });
}

void
MeasureSources(int aVms)
{
  std::vector<spread::Candidate> candidates;
  for (int i = 0; i < aVms; ++i) {
    candidates.push_back(
      { "vm-" + std::to_string(i), "az-" + std::to_string(i % 5), "" });
  }
  const double select = MicrosecondsPerCall(
    20, [&] { spread::SelectSources("self", candidates, 2); });
  benchmarks::Report(
    "control-sources",
    kSeed,
    { { "vms", aVms }, { "selectMicroseconds", benchmarks::Rounded(select) } });
}

void
MeasureStepLease(size_t aRanks)
{
  using namespace steplease;
  GroupLead lead({ 1, "vm", 1 }, Incarnations(aRanks, 1));
  std::vector<RankLease> ranks;
  for (size_t i = 0; i < aRanks; ++i) {
    ranks.emplace_back(static_cast<int>(i), aRanks, 1, Schedule());
  }
  for (const PromiseRequest& request : lead.PromiseRequests()) {
    lead.HandlePromiseReply(
      ranks[static_cast<size_t>(request.mRank)].HandlePromiseRequest(request));
  }
  Step end = 0;
  const double round = MicrosecondsPerCall(50, [&] {
    end += 10;
    lead.TrimBefore(end - 10);
    lead.Extend(1, end);
    for (const GrantRequest& grant : lead.GrantRequests()) {
      ranks[static_cast<size_t>(grant.mRank)].HandleGrantRequest(grant);
    }
  });
  benchmarks::Report(
    "control-step-lease",
    kSeed,
    { { "ranks", aRanks },
      { "grantRoundMicroseconds", benchmarks::Rounded(round) } });
}

}

int
main()
{
  for (const int workspaces : { 10, 3000, 9000, 27000 }) {
    MeasureTables(workspaces, 1500);
  }
  for (const int endpoints : { 15, 150, 1500 }) {
    MeasureChoice(endpoints);
  }
  for (const int entries : { 8, 17, 390 }) {
    MeasureLedger(entries);
  }
  for (const int vms : { 8, 390, 1890 }) {
    MeasureSources(vms);
  }
  for (const size_t ranks : { 4, 64, 256 }) {
    MeasureStepLease(ranks);
  }
  return 0;
}
