#include "lab.h"

/**
 * Clients on kept connections stop reading an answer for some seconds and then
 * read on, well before their deadline. The worker has handed over the answer.
 * The gateway gets a SIGHUP before, so that both forms of the rule apply: that
 * of planned work, and that of any time.
 */

namespace {

constexpr int kClients = 8;
constexpr size_t kAnswerBytes = 250'000;
constexpr size_t kBytesBeforePause = 20'000;
constexpr lab::milliseconds kPause{ 3'000 };
constexpr int kDeadlineMs = 8'000;

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
    const size_t size = request.mTarget.ends_with("/long") ? kAnswerBytes : 20;
    lab::Note("worker w1: runs " + id);
    if (!lab::SendAll(aDescriptor,
                      lab::Reply(200,
                                 "Beryllever-Attempt-Id: " + id +
                                   "\r\nBeryllever-Server-Stamp: stamp-" + id +
                                   "\r\n",
                                 std::string(size, 'x')))) {
      lab::Note("worker w1: answer to " + id + " was cut off by its reader");
      return;
    }
    lab::Note("worker w1: answer to " + id + " is handed over whole");
  }
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
  lab::Gateway gateway("edge-mid-north-1", "mid-north", store.Port());
  gateway.Start({ gateway.ControlAddress() });
  if (!gateway.WaitReady(lab::milliseconds(10000))) {
    lab::End(2, "the gateway does not get ready");
  }
  lab::Sleep(lab::milliseconds(4000));

  if (lab::HasTrouble()) {
    gateway.Proc().Signal(SIGHUP);
    lab::Note("platform: SIGHUP to " + gateway.Name());
  }
  std::atomic<int> broken{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "a-" + std::to_string(i);
      const int descriptor = lab::ConnectTo(gateway.Frontend());
      lab::SendAll(
        descriptor,
        lab::RequestText("GET", "/report/1", id + "-first", kDeadlineMs));
      if (!lab::ReadAnswer(descriptor, lab::milliseconds(2000)).mIsWhole) {
        lab::End(2, "a first request failed");
      }
      const bool isGet = i % 2 == 0;
      lab::SendAll(descriptor,
                   lab::RequestText(isGet ? "GET" : "POST",
                                    isGet ? "/report/long" : "/assign/long",
                                    id,
                                    kDeadlineMs,
                                    "",
                                    "x"));
      const long start = lab::TheRecord().Now();
      size_t read = 0;
      bool hasPaused = !lab::HasTrouble();
      const lab::Answer answer = lab::ReadAnswer(
        descriptor, lab::milliseconds(kDeadlineMs), [&](size_t aBytes) {
          read += aBytes;
          if (!hasPaused && read >= kBytesBeforePause) {
            hasPaused = true;
            lab::Sleep(kPause);
          }
        });
      broken += answer.mIsWhole ? 0 : 1;
      lab::Note("client: " + id + (isGet ? " GET" : " POST") + " status " +
                std::to_string(answer.mStatus) + " body bytes " +
                std::to_string(answer.mBody.size()) + " of " +
                std::to_string(kAnswerBytes) +
                (answer.mIsWhole ? " whole" : " NOT WHOLE") + ", " +
                std::to_string(lab::TheRecord().Now() - start) +
                " ms after it was sent");
      close(descriptor);
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  lab::End(broken > 3 ? 1 : 0,
           (broken > 3 ? "LOST: " : "held: ") + std::to_string(broken) +
             " kept connections were closed without a whole answer, 3 are "
             "allowed");
}
