#include "lab.h"

/**
 * A gateway gets SIGTERM while requests are at a worker. Their clients read the
 * answers steadily and slowly, and would have them long before their deadline
 * and the end of GraceS.
 */

namespace {

constexpr int kClients = 18;
/** Two of three answers are of this size, the others are longer. */
constexpr size_t kAnswerBytes = 260'000;
constexpr size_t kLongAnswerBytes = 900'000;
constexpr size_t kLongAnswerStep = 20'000;
/** Time in which a client reads its answer at an even pace. */
constexpr lab::milliseconds kReadTime{ 3'000 };
constexpr lab::milliseconds kPause{ 50 };
constexpr lab::milliseconds kWork{ 300 };
/** The first half of the requests is sent so long before the SIGTERM, the other
 * half so long after it: clients keep the gateway's address for a while. */
constexpr lab::milliseconds kHalfTime{ 150 };
constexpr int kDeadlineMs = 8'000;

/** Length of the answer to the request "a-NUMBER". */
size_t
BytesOf(const std::string& aId)
{
  const size_t number = std::stoul(aId.substr(2));
  return number % 3 == 2 ? kLongAnswerBytes + kLongAnswerStep * number
                         : kAnswerBytes;
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
    lab::Sleep(kWork);
    const bool isSent = lab::SendAll(
      aDescriptor,
      lab::Reply(200,
                 "Beryllever-Attempt-Id: " + id +
                   "\r\nBeryllever-Server-Stamp: stamp-" + id + "\r\n",
                 std::string(BytesOf(id), 'x')));
    lab::Note(
      "worker w1: answer to " + id +
      (isSent ? " is handed over whole" : " was cut off by its reader"));
    if (!isSent) {
      return;
    }
  }
}

/** Reads at an even pace. */
class Pacer
{
public:
  explicit Pacer(size_t aBytes)
    : mBytesPerPause(aBytes / static_cast<size_t>(kReadTime / kPause))
  {
  }
  void operator()(size_t aBytes)
  {
    mSince += aBytes;
    while (mSince >= mBytesPerPause) {
      mSince -= mBytesPerPause;
      mNext = std::max(mNext, lab::Clock::now() - kPause) + kPause;
      std::this_thread::sleep_until(mNext);
    }
  }

private:
  const size_t mBytesPerPause;
  size_t mSince = 0;
  lab::Clock::time_point mNext = lab::Clock::now();
};

lab::Answer
Ask(const lab::Gateway& aGateway, int aNumber)
{
  const std::string id = "a-" + std::to_string(aNumber);
  const bool isGet = aNumber % 2 == 0;
  const long start = lab::TheRecord().Now();
  lab::Note("client: sends " + id + " to " + aGateway.Name());
  const lab::Answer answer =
    lab::Call(aGateway.Frontend(),
              lab::RequestText(isGet ? "GET" : "POST",
                               isGet ? "/report/1" : "/assign/1",
                               id,
                               kDeadlineMs,
                               "",
                               "x"),
              lab::milliseconds(kDeadlineMs),
              Pacer(BytesOf(id)));
  lab::Note(
    "client: " + id + (isGet ? " GET" : " POST") + " status " +
    std::to_string(answer.mStatus) + " body bytes " +
    std::to_string(answer.mBody.size()) + " of " + std::to_string(BytesOf(id)) +
    (answer.mIsWhole ? " whole" : " NOT WHOLE") + ", " +
    std::to_string(lab::TheRecord().Now() - start) + " ms after it was sent");
  return answer;
}

}

int
main()
{
  lab::Store store;
  lab::Server worker(ServeWorker);
  store.Put(
    "op/config",
    lab::ConfigText(1,
                    { { "report", "idempotent", "dispatch-app", 2 },
                      { "assign", "non_idempotent", "dispatch-app", 1 } },
                    { "dispatch-app" },
                    kDeadlineMs));
  store.Put(
    "servers/w1",
    lab::WorkerText(
      "dispatch-app", worker.Port(), "mid-north", "ready", lab::UnixMs()));
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

  std::vector<lab::Answer> answers(kClients);
  std::vector<std::thread> clients;
  const auto askHalf = [&](int aFirst) {
    for (int i = aFirst; i < aFirst + kClients / 2; ++i) {
      clients.emplace_back(
        [&, i] { answers[static_cast<size_t>(i)] = Ask(first, i); });
    }
  };
  askHalf(0);
  lab::Sleep(kHalfTime);
  const long termAt = lab::TheRecord().Now();
  if (lab::HasTrouble()) {
    first.Proc().Signal(SIGTERM);
    lab::Note("platform: SIGTERM to " + first.Name());
  }
  lab::Sleep(kHalfTime);
  askHalf(kClients / 2);
  std::thread watcher([&] {
    while (lab::HasTrouble() && !first.Proc().HasEnded()) {
      lab::Sleep(lab::milliseconds(20));
    }
    if (lab::HasTrouble()) {
      lab::Note("platform: " + first.Name() + " has ended by itself, " +
                std::to_string(lab::TheRecord().Now() - termAt) +
                " ms after SIGTERM; GraceS is 8000 ms");
    }
  });
  for (std::thread& client : clients) {
    client.join();
  }
  watcher.join();
  int broken = 0;
  for (const lab::Answer& answer : answers) {
    if (answer.mStatus != 200) {
      lab::End(2, "a request was not answered with success at all");
    }
    broken += answer.mIsWhole ? 0 : 1;
  }
  lab::End(broken > 0 ? 1 : 0,
           broken > 0 ? "LOST: " + std::to_string(broken) + " of " +
                          std::to_string(kClients) +
                          " answers were cut by the planned stop"
                      : "held: all answers are whole");
}
