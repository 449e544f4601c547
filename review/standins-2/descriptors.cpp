// Beside the cases: a client that this system does not control opens
// connections and sends nothing on them. Do ordinary clients still get a
// connection?

#include "lab.h"

using namespace lab;

namespace {

constexpr milliseconds kWork{ 15 };
/** Connections of the client, in processes so that each stays below the usual
 * limit of descriptors. */
constexpr int kProcesses = 5;
constexpr int kConnectionsPerProcess = 860;
constexpr milliseconds kHoldTime{ 12000 };
/** Ordinary clients that try at the same time; RECOVER asks for seven. */
constexpr int kClients = 8;
constexpr milliseconds kTryTime{ 8000 };
/** ContactMs of the site. */
constexpr milliseconds kContactTime{ 3000 };

/** Opens the connections in a process of its own, and keeps them. */
pid_t
HoldConnections(uint16_t aPort, int aCount)
{
  const pid_t process = fork();
  if (process != 0) {
    return process;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::list<Connection> connections;
  for (int i = 0; i < aCount; ++i) {
    connections.push_back(Connection::To(aPort));
    Sleep(milliseconds(1));
  }
  Sleep(kHoldTime);
  _exit(0);
}

/** Asks /readyz once a second on one kept connection, as the platform does. */
class ReadyWatch
{
public:
  ReadyWatch(Record& aRecord, uint16_t aPort)
    : mRecord(aRecord)
    , mConnection(Connection::To(aPort))
  {
    mConnection.SetTimeout(milliseconds(1000));
    // Before the disruption begins.
    Ask();
    mThread = std::thread([this] {
      while (!mIsStopping) {
        Ask();
        Sleep(milliseconds(1000));
      }
    });
  }

  /** Returns the times at which it was ready. */
  std::vector<Clock::time_point> Stop()
  {
    mIsStopping = true;
    mThread.join();
    return mReadyTimes;
  }

private:
  void Ask()
  {
    mConnection.Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto head = mConnection.ReadHead();
    if (head) {
      mConnection.ReadBytes(BodyBytes(*head));
    }
    mRecord.Write("readyz: " + (head ? StartLine(*head) : "no answer"));
    if (head && head->starts_with("HTTP/1.1 200")) {
      mReadyTimes.push_back(Clock::now());
    }
  }

  Record& mRecord;
  Connection mConnection;
  std::vector<Clock::time_point> mReadyTimes;
  std::atomic<bool> mIsStopping = false;
  std::thread mThread;
};

/** Ordinary clients that each open a connection for each request. */
class Callers
{
public:
  Callers(Record& aRecord, uint16_t aPort)
    : mRecord(aRecord)
    , mPort(aPort)
    , mBegin(Clock::now())
  {
    for (int i = 0; i < kClients; ++i) {
      mThreads.emplace_back([this, i] { Try(i); });
    }
  }

  /** Times at which one of them got an answer on a new connection, after the
   * time at which they began and before that at which they ended. */
  std::vector<Clock::time_point> Join()
  {
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    std::vector<Clock::time_point> times = mAnswered;
    times.push_back(mBegin);
    times.push_back(mBegin + kTryTime);
    std::sort(times.begin(), times.end());
    return times;
  }
  size_t Answered() const { return mAnswered.size(); }

private:
  void Try(int aClient)
  {
    for (int n = 0; Clock::now() < mBegin + kTryTime; ++n) {
      const std::string id =
        "caller" + std::to_string(aClient) + "-" + std::to_string(n);
      mRecord.Write("client opens a connection and sends " + id);
      Connection connection = Connection::To(mPort, 0, milliseconds(1000));
      connection.SetTimeout(milliseconds(2000));
      const bool isAnswered = connection.IsOpen() &&
                              connection.Send(Request{ .mId = id }.Text()) &&
                              connection.ReadHead();
      mRecord.Write("client gets " +
                    std::string(isAnswered ? "an answer" : "no answer") +
                    " for " + id);
      if (isAnswered) {
        const std::lock_guard lock(mMutex);
        mAnswered.push_back(Clock::now());
      }
      Sleep(milliseconds(50));
    }
  }

  Record& mRecord;
  const uint16_t mPort;
  const Clock::time_point mBegin;
  std::mutex mMutex;
  std::vector<Clock::time_point> mAnswered;
  std::vector<std::thread> mThreads;
};

}

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  std::optional<Deployment> deployment;
  deployment.emplace(record, kWork);
  if (!deployment->Start()) {
    record.Say("the gateways do not become ready");
    deployment.reset();
    Exit(kCouldNotRun);
  }
  Gateway& gateway = deployment->First();
  ReadyWatch ready(record, gateway.Ready());
  Sleep(milliseconds(4500));
  std::vector<pid_t> processes;
  for (int i = 0; HasTrouble() && i < kProcesses; ++i) {
    processes.push_back(
      HoldConnections(gateway.Frontend(), kConnectionsPerProcess));
  }
  record.Say("stranger opens " +
             std::to_string(processes.size() * kConnectionsPerProcess) +
             " connections and sends nothing; descriptors of a machine: " +
             std::to_string(kMaxFds));
  Sleep(milliseconds(2500));
  Callers callers(record, gateway.Frontend());
  const auto times = callers.Join();
  const auto readyTimes = ready.Stop();
  const auto ended = gateway.End();
  for (const pid_t process : processes) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  record.Say("gateway " + gateway.Name() + ": " +
             (ended ? "ended by itself, " + *ended : "runs"));
  record.Say("answers on new connections: " +
             std::to_string(callers.Answered()));
  bool isBroken = ended.has_value();
  for (size_t i = 1; i < times.size(); ++i) {
    const auto gap =
      std::chrono::duration_cast<milliseconds>(times[i] - times[i - 1]);
    const bool saysReady = std::any_of(
      readyTimes.begin(), readyTimes.end(), [&](Clock::time_point aTime) {
        return aTime > times[i - 1] && aTime < times[i];
      });
    if (gap > kContactTime && saysReady) {
      record.Say(std::to_string(kClients) + " clients tried for " +
                 std::to_string(gap.count()) +
                 " ms, no new connection was taken, and readyz said 200");
      isBroken = true;
    }
  }
  record.Say(isBroken ? "BROKEN: RECOVER" : "held");
  deployment.reset();
  Exit(isBroken ? kBroken : kHeld);
}
