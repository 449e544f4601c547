#pragma once

// What the cases of this review share: a small deployment of real gateways
// with stand-ins of the platform's store, of workers and of ordinary clients.
// Everything is on 127.0.0.1 and on free ports.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <list>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/** Memory and descriptors of a gateway's machine on mgers-rota, see SYSTEM.md.
 */
constexpr long kMemoryMb = 260;
constexpr rlim_t kMaxFds = 4100;

inline bool
HasTrouble()
{
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline void
Sleep(milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

/** The file record.txt: one line for each thing that was sent, answered or
 * run, with the time since the start. */
class Record
{
public:
  explicit Record(const std::string& aFolder)
    : mFile(aFolder + "/record.txt")
    , mStart(Clock::now())
  {
  }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    const auto time =
      std::chrono::duration_cast<milliseconds>(Clock::now() - mStart);
    mFile << time.count() << " ms  " << aLine << std::endl;
  }

  /** Writes a line to the record and to the terminal. */
  void Say(const std::string& aLine)
  {
    Write(aLine);
    std::cout << aLine << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  const Clock::time_point mStart;
};

inline sockaddr_in
Loopback(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** A listening socket on a free port. The port is below those that the system
 * gives to outgoing connections, so that it stays free while a program that
 * shall listen on it starts. */
struct Listener
{
  int mDescriptor = -1;
  uint16_t mPort = 0;

  Listener()
  {
    constexpr int kTries = 1000;
    for (int i = 0; i < kTries && mPort == 0; ++i) {
      Try(NextPort());
    }
    if (mPort == 0) {
      std::cerr << "no port can be had\n";
      std::_Exit(kCouldNotRun);
    }
  }

private:
  static uint16_t NextPort()
  {
    constexpr unsigned kFirst = 12000;
    constexpr unsigned kPorts = 20000;
    static std::atomic<unsigned> sNext = std::random_device()();
    return static_cast<uint16_t>(kFirst + sNext++ % kPorts);
  }

  void Try(uint16_t aPort)
  {
    mDescriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(aPort);
    const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
    if (bind(mDescriptor, generic, sizeof(address)) == 0 &&
        listen(mDescriptor, 512) == 0) {
      mPort = aPort;
      return;
    }
    close(mDescriptor);
  }
};

inline uint16_t
FreePort()
{
  const Listener listener;
  close(listener.mDescriptor);
  return listener.mPort;
}

/** A blocking connection with a timeout for each read. */
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
    const int on = 1;
    setsockopt(mDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&& aOther) noexcept
    : mDescriptor(std::exchange(aOther.mDescriptor, -1))
    , mInput(std::move(aOther.mInput))
  {
  }
  ~Connection()
  {
    if (mDescriptor >= 0) {
      close(mDescriptor);
    }
  }

  /** aReceiveBytes: size of the receive buffer; 0 leaves it as it is.
   * aTime: time for the connection to be made. */
  static Connection To(uint16_t aPort,
                       int aReceiveBytes = 0,
                       milliseconds aTime = milliseconds(10000))
  {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBytes > 0) {
      setsockopt(descriptor,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &aReceiveBytes,
                 sizeof(aReceiveBytes));
    }
    // Linux bounds connect() by the time for sending.
    const timeval time{ aTime.count() / 1000, aTime.count() % 1000 * 1000 };
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    const sockaddr_in address = Loopback(aPort);
    if (connect(descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(descriptor);
      return Connection(-1);
    }
    return Connection(descriptor);
  }

  bool IsOpen() const { return mDescriptor >= 0; }

  void SetTimeout(milliseconds aTime) const
  {
    timeval time{ aTime.count() / 1000, aTime.count() % 1000 * 1000 };
    setsockopt(mDescriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(mDescriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  }

  bool Send(const std::string& aBytes) const
  {
    for (size_t sent = 0; sent < aBytes.size();) {
      const ssize_t n = send(
        mDescriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  /** Reads a head up to its empty line; nothing if the connection ends. */
  std::optional<std::string> ReadHead()
  {
    size_t end = 0;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore()) {
        return std::nullopt;
      }
    }
    return Take(end + 4);
  }

  /** Reads one line with its end. */
  std::optional<std::string> ReadLine()
  {
    size_t end = 0;
    while ((end = mInput.find("\r\n")) == std::string::npos) {
      if (!ReadMore()) {
        return std::nullopt;
      }
    }
    return Take(end + 2);
  }

  std::optional<std::string> ReadBytes(size_t aBytes)
  {
    while (mInput.size() < aBytes) {
      if (!ReadMore()) {
        return std::nullopt;
      }
    }
    return Take(aBytes);
  }

  /** Whether the last read ended because no byte came in time. */
  bool HasTimedOut() const { return mHasTimedOut; }
  /** Bytes that have been read and belong to no message yet. */
  const std::string& Unread() const { return mInput; }

private:
  bool ReadMore()
  {
    std::array<char, 16384> buf{};
    const ssize_t n = recv(mDescriptor, buf.data(), buf.size(), 0);
    mHasTimedOut = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (n <= 0) {
      return false;
    }
    mInput.append(buf.data(), static_cast<size_t>(n));
    return true;
  }

  std::string Take(size_t aBytes)
  {
    std::string text = mInput.substr(0, aBytes);
    mInput.erase(0, aBytes);
    return text;
  }

  int mDescriptor;
  std::string mInput;
  bool mHasTimedOut = false;
};

/** Value of a field of a head; empty if it has none. */
inline std::string
Field(const std::string& aHead, const std::string& aName)
{
  std::istringstream lines(aHead);
  for (std::string line; std::getline(lines, line);) {
    const size_t colon = line.find(':');
    if (colon == aName.size() &&
        strncasecmp(line.c_str(), aName.c_str(), colon) == 0) {
      size_t first = line.find_first_not_of(' ', colon + 1);
      first = first == std::string::npos ? line.size() : first;
      const size_t last = line.find_last_not_of(" \r");
      return last < first ? "" : line.substr(first, last - first + 1);
    }
  }
  return "";
}

inline size_t
BodyBytes(const std::string& aHead)
{
  const std::string text = Field(aHead, "Content-Length");
  return text.empty() ? 0 : std::stoul(text);
}

inline std::string
StartLine(const std::string& aHead)
{
  return aHead.substr(0, aHead.find("\r\n"));
}

/** Accepts connections and serves each on a thread of its own until the
 * process ends. */
class Server
{
public:
  explicit Server(std::function<void(Connection)> aServe)
    : mServe(std::move(aServe))
  {
    std::thread([this] { Run(); }).detach();
  }
  uint16_t Port() const { return mListener.mPort; }

private:
  void Run()
  {
    while (true) {
      const int descriptor =
        accept4(mListener.mDescriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor >= 0) {
        std::thread([this, descriptor] {
          mServe(Connection(descriptor));
        }).detach();
      }
    }
  }

  std::function<void(Connection)> mServe;
  Listener mListener;
};

inline std::string
Base64(const std::string& aText)
{
  constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aText.size(); i += 3) {
    const size_t n = std::min<size_t>(3, aText.size() - i);
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (k < n ? static_cast<uint8_t>(aText[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += k <= n ? kDigits[bits >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

/** The platform's store, for reading: /kv-range and /kv-watch as PROTOCOL.md
 * has them. */
class Store
{
public:
  uint16_t Port() const { return mServer.Port(); }

  void Put(const std::string& aKey, const std::string& aData)
  {
    const std::lock_guard lock(mMutex);
    mItems[aKey] = { aData, ++mRevision };
  }

private:
  struct Item
  {
    std::string mData;
    uint64_t mRevision = 0;
  };

  static uint64_t Number(const std::string& aTarget, const std::string& aName)
  {
    const size_t at = aTarget.find(aName + "=");
    return at == std::string::npos
             ? 0
             : std::stoull(aTarget.substr(at + aName.size() + 1));
  }

  /** Items changed after a revision, as a JSON list. */
  std::string ItemsAfter(uint64_t aRevision)
  {
    std::string list;
    for (const auto& [key, item] : mItems) {
      if (item.mRevision > aRevision) {
        list += (list.empty() ? "" : ",");
        list += R"({"Key":")" + key + R"(","Data":")" + Base64(item.mData) +
                R"(","Revision":)" + std::to_string(item.mRevision) +
                R"(,"Created":1,"LeaseId":0})";
      }
    }
    return "[" + list + "]";
  }

  std::string Range()
  {
    const std::lock_guard lock(mMutex);
    return R"({"Entries":)" + ItemsAfter(0) + R"(,"HasMore":false,"At":)" +
           std::to_string(mRevision) + "}";
  }

  std::string Watch(const std::string& aTarget)
  {
    const uint64_t after = Number(aTarget, "After");
    const auto end = Clock::now() + milliseconds(Number(aTarget, "WaitMs"));
    while (true) {
      {
        const std::lock_guard lock(mMutex);
        if (mRevision > after || Clock::now() >= end) {
          return R"({"events":)" + ItemsAfter(after) + R"(,"At":)" +
                 std::to_string(mRevision) + "}";
        }
      }
      Sleep(milliseconds(5));
    }
  }

  void Serve(Connection aConnection)
  {
    while (const auto head = aConnection.ReadHead()) {
      const std::string line = StartLine(*head);
      const bool isWatch = line.find("/kv-watch") != std::string::npos;
      const std::string body = isWatch ? Watch(line) : Range();
      const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
      if (!aConnection.Send(answer)) {
        return;
      }
    }
  }

  std::mutex mMutex;
  std::map<std::string, Item> mItems;
  uint64_t mRevision = 1;
  Server mServer{ [this](Connection aConnection) {
    Serve(std::move(aConnection));
  } };
};

/** Bytes of the answers of dispatch-app on mgers-rota: the mean of call-outs,
 * and the largest of lookups. */
constexpr size_t kCallOutBytes = 800;
constexpr size_t kLookupBytes = 4800;

/** A sound worker of the application service. It runs each request for a
 * while, and answers with its stamp and a whole body. */
class Worker
{
public:
  struct Run
  {
    std::string mId;
    std::string mStartLine;
    std::string mTenant;
    std::string mBody;
  };

  Worker(Record& aRecord, std::string aId, milliseconds aWork)
    : mRecord(aRecord)
    , mId(std::move(aId))
    , mWork(aWork)
  {
  }

  uint16_t Port() const { return mServer.Port(); }
  const std::string& Id() const { return mId; }

  std::vector<Run> Runs()
  {
    const std::lock_guard lock(mMutex);
    return mRuns;
  }

private:
  void Serve(Connection aConnection)
  {
    while (const auto head = aConnection.ReadHead()) {
      const auto body = aConnection.ReadBytes(BodyBytes(*head));
      if (!body) {
        return;
      }
      const std::string id = Field(*head, "Beryllever-Attempt-Id");
      if (StartLine(*head).find(" /healthz ") != std::string::npos) {
        aConnection.Send("HTTP/1.1 200 OK\r\nBeryllever-Instance-Id: " + mId +
                         "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!aConnection.Send(Answer(*head, id, *body))) {
        return;
      }
    }
  }

  std::string Answer(const std::string& aHead,
                     const std::string& aId,
                     const std::string& aBody)
  {
    if (Field(aHead, "Beryllever-Expect-Instance") != mId || aId.empty()) {
      const std::string status =
        aId.empty() ? "400 Bad Request" : "421 Misdirected Request";
      return "HTTP/1.1 " + status +
             "\r\nBeryllever-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    {
      const std::lock_guard lock(mMutex);
      mRuns.push_back({ aId,
                        StartLine(aHead),
                        Field(aHead, "Beryllever-Tenant-Name"),
                        aBody });
    }
    // Tens of thousands of lookups would only fill the record.
    if (!aHead.starts_with("GET ")) {
      mRecord.Write("worker " + mId + " runs " + aId + ": " + StartLine(aHead) +
                    ", tenant " + Field(aHead, "Beryllever-Tenant-Name") +
                    ", " + std::to_string(aBody.size()) + " bytes of body");
    }
    const bool isLookup = aHead.starts_with("GET ");
    Sleep(isLookup ? milliseconds(0) : mWork);
    const std::string body(isLookup ? kLookupBytes : kCallOutBytes, 'x');
    return "HTTP/1.1 200 OK\r\nBeryllever-Attempt-Id: " + aId +
           "\r\nBeryllever-Server-Stamp: stamp." + mId + "." + aId +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  Record& mRecord;
  const std::string mId;
  const milliseconds mWork;
  std::mutex mMutex;
  std::vector<Run> mRuns;
  Server mServer{ [this](Connection aConnection) {
    Serve(std::move(aConnection));
  } };
};

/** One gateway as a process, started like the deploy file says. */
class Gateway
{
public:
  Gateway(std::string aFolder, std::string aName, std::string aZone)
    : mFolder(std::move(aFolder))
    , mName(std::move(aName))
    , mZone(std::move(aZone))
  {
  }

  const std::string& Name() const { return mName; }
  uint16_t Frontend() const { return mFrontend; }
  uint16_t Directory() const { return mDirectory; }
  uint16_t Ready() const { return mReady; }
  std::string ControlAddress() const { return Address(mControl); }

  /** Fills in the template with the fields of mgers-rota. */
  void Configure(uint16_t aStore, const std::vector<std::string>& aSeeds) const
  {
    std::ifstream file("platform/settings/gateway.json");
    std::string text{ std::istreambuf_iterator<char>(file), {} };
    std::string seeds;
    for (const std::string& seed : aSeeds) {
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    }
    const std::vector<std::pair<std::string, std::string>> values{
      { R"({{#SeedNodes}}"{{.}}"{{,}}{{/SeedNodes}})", seeds },
      { "{{NodeName}}", mName },
      { "{{Zone}}", mZone },
      { "{{Region}}", "midlands" },
      { "{{IpAddress}}", "127.0.0.1" },
      { "{{InternalPortRange.0}}", std::to_string(mInternal) },
      { "{{ListenAddrs.ControlPlane}}", Address(mControl) },
      { "{{ListenAddrs.Frontend}}", Address(mFrontend) },
      { "{{ListenAddrs.Ready}}", Address(mReady) },
      { "{{ListenAddrs.DirectoryAddr}}", Address(mDirectory) },
      { "{{Limits.MemoryMb}}", std::to_string(kMemoryMb) },
      { "{{Platform.Address}}", Address(aStore) },
      { "{{Bounds.ContactMs}}", "3000" },
      { "{{Bounds.GraceS}}", "8" },
      { "{{Bounds.RetryBudgetRatio}}", "0.2" },
      { "{{Bounds.RetryBudgetExtra}}", "92" },
      { "{{Bounds.BudgetWindowS}}", "10" },
      { "{{Bounds.ColdOverage}}", "1.5" },
      { "{{Bounds.ColdTolerance}}", "5" }
    };
    for (const auto& [name, value] : values) {
      for (size_t at = text.find(name); at != std::string::npos;
           at = text.find(name, at + value.size())) {
        text.replace(at, name.size(), value);
      }
    }
    std::ofstream(SettingsPath()) << text;
  }

  void Start()
  {
    const std::string settings = "BERYLLEVER_CONFIG=" + SettingsPath();
    const std::string log = mFolder + "/" + mName + ".log";
    mProcess = fork();
    if (mProcess != 0) {
      return;
    }
    // The platform limits the descriptors of each process (DEPLOY.md).
    const rlimit limit{ kMaxFds, kMaxFds };
    setrlimit(RLIMIT_NOFILE, &limit);
    // No process is left behind, however this one ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    std::string program = "target/bin/berylleverd";
    std::string path = "PATH=/usr/bin:/bin";
    std::string variable = settings;
    std::array<char*, 2> arguments{ program.data(), nullptr };
    std::array<char*, 3> environment{ path.data(), variable.data(), nullptr };
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
  }

  bool WaitUntilReady() const
  {
    const auto end = Clock::now() + std::chrono::seconds(10);
    while (Clock::now() < end) {
      Connection connection = Connection::To(mReady);
      if (connection.IsOpen()) {
        connection.SetTimeout(milliseconds(500));
        connection.Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto head = connection.ReadHead();
        if (head && head->starts_with("HTTP/1.1 200")) {
          return true;
        }
      }
      Sleep(milliseconds(50));
    }
    return false;
  }

  /** Resident memory, in bytes; 0 if the process has ended. */
  long ResidentBytes() const
  {
    std::ifstream file("/proc/" + std::to_string(mProcess) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmRSS:")) {
        return std::stol(line.substr(6)) * 1024;
      }
    }
    return 0;
  }

  /** How the process has ended by itself; nothing while it runs. */
  std::optional<std::string> End()
  {
    int status = 0;
    if (mProcess > 0 && waitpid(mProcess, &status, WNOHANG) == mProcess) {
      mProcess = -1;
      mEnd = WIFSIGNALED(status)
               ? "signal " + std::to_string(WTERMSIG(status))
               : "exit code " + std::to_string(WEXITSTATUS(status));
    }
    return mEnd;
  }

  void Kill()
  {
    if (mProcess > 0) {
      kill(mProcess, SIGKILL);
      waitpid(mProcess, nullptr, 0);
      mProcess = -1;
    }
  }

private:
  static std::string Address(uint16_t aPort)
  {
    return "127.0.0.1:" + std::to_string(aPort);
  }
  std::string SettingsPath() const { return mFolder + "/" + mName + ".json"; }

  const std::string mFolder;
  const std::string mName;
  const std::string mZone;
  const uint16_t mFrontend = FreePort();
  const uint16_t mReady = FreePort();
  const uint16_t mControl = FreePort();
  const uint16_t mDirectory = FreePort();
  const uint16_t mInternal = FreePort();
  pid_t mProcess = -1;
  std::optional<std::string> mEnd;
};

/** A request without its key, as ordinary clients send it. */
struct Request
{
  std::string mId;
  std::string mKey = "key-of-north";
  std::string mBody = "assign engineer 7";

  std::string Text() const
  {
    return "POST /assign/callout HTTP/1.1\r\nHost: rota.example\r\n"
           "Beryllever-Attempt-Id: " +
           mId + "\r\nBeryllever-Deadline-Ms: 2000\r\nAuthorization: Bearer " +
           mKey + "\r\nContent-Length: " + std::to_string(mBody.size()) +
           "\r\n\r\n" + mBody;
  }
};

/** An ordinary client: one kept connection to a gateway, one request at a
 * time, each read to its end. It never sends a request twice. */
class Client
{
public:
  struct Sent
  {
    std::string mId;
    bool mIsFirstOnConnection = false;
    /** Start line of the answer; empty if the connection ended without one. */
    std::string mAnswer;
  };

  Client(Record& aRecord,
         std::string aName,
         uint16_t aPort,
         milliseconds aPause)
    : mRecord(aRecord)
    , mName(std::move(aName))
    , mPort(aPort)
    , mPause(aPause)
    , mThread([this] { Run(); })
  {
  }

  void BeginStop() { mIsStopping = true; }
  /** Ends after the request under way. */
  std::vector<Sent> Stop()
  {
    mIsStopping = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    return mSent;
  }

private:
  void Run()
  {
    int n = 0;
    while (!mIsStopping) {
      Connection connection = Connection::To(mPort);
      if (!connection.IsOpen()) {
        Sleep(milliseconds(100));
        continue;
      }
      connection.SetTimeout(milliseconds(2500));
      bool isFirst = true;
      while (!mIsStopping &&
             SendOne(connection, mName + "-" + std::to_string(++n), isFirst)) {
        isFirst = false;
        Sleep(mPause);
      }
    }
  }

  /** Returns whether the connection can be used again. */
  bool SendOne(Connection& aConnection, const std::string& aId, bool aIsFirst)
  {
    mRecord.Write("client sends " + aId);
    Sent sent{ aId, aIsFirst, "" };
    aConnection.Send(Request{ .mId = aId }.Text());
    const auto head = aConnection.ReadHead();
    const auto body =
      head ? aConnection.ReadBytes(BodyBytes(*head)) : std::nullopt;
    if (body) {
      sent.mAnswer = StartLine(*head);
    }
    mRecord.Write("client gets " +
                  (body ? sent.mAnswer
                        : std::string(aConnection.HasTimedOut()
                                        ? "no answer in time"
                                        : "a closed connection, no answer")) +
                  " for " + aId);
    mSent.push_back(std::move(sent));
    return body && Field(*head, "Connection") != "close";
  }

  Record& mRecord;
  const std::string mName;
  const uint16_t mPort;
  const milliseconds mPause;
  std::atomic<bool> mIsStopping = false;
  std::vector<Sent> mSent;
  std::thread mThread;
};

/** Two gateways in two zones, three workers, and the operator's tables. */
class Deployment
{
public:
  Deployment(Record& aRecord, milliseconds aWork)
    : mFolder(MakeFolder())
  {
    for (const char* id : { "i-north", "i-central", "i-south" }) {
      mWorkers.emplace_back(aRecord, id, aWork);
    }
    for (const char* zone : { "mid-north", "mid-central" }) {
      mGateways.emplace_back(mFolder, std::string("edge-") + zone, zone);
    }
  }
  ~Deployment()
  {
    for (Gateway& gateway : mGateways) {
      gateway.Kill();
    }
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }

  bool Start()
  {
    mStore.Put("op/config", Tables());
    for (const Worker& worker : mWorkers) {
      AddWorker(worker.Id(), "dispatch-app", worker.Port());
    }
    std::vector<std::string> seeds;
    for (const Gateway& gateway : mGateways) {
      seeds.push_back(gateway.ControlAddress());
    }
    for (Gateway& gateway : mGateways) {
      gateway.Configure(mStore.Port(), seeds);
      gateway.Start();
    }
    return std::all_of(
      mGateways.begin(), mGateways.end(), [](const Gateway& aGateway) {
        return aGateway.WaitUntilReady();
      });
  }

  /** Registers a worker, as it does itself. */
  void AddWorker(const std::string& aId,
                 const std::string& aService,
                 uint16_t aPort)
  {
    mStore.Put("servers/" + aId,
               R"({"Backend":")" + aService + R"(","Address":"127.0.0.1:)" +
                 std::to_string(aPort) +
                 R"(","Zone":"mid-north","Version":"1","SlotCount":12)"
                 R"(,"State":"ready","ColdRemainingMs":0,"Sequence":1)"
                 R"(,"born":1})");
  }

  Gateway& First() { return mGateways.front(); }
  Gateway& Last() { return mGateways.back(); }
  std::list<Gateway>& Gateways() { return mGateways; }

  std::vector<Worker::Run> Runs()
  {
    std::vector<Worker::Run> runs;
    for (Worker& worker : mWorkers) {
      const auto more = worker.Runs();
      runs.insert(runs.end(), more.begin(), more.end());
    }
    return runs;
  }

private:
  static std::string MakeFolder()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      std::cerr << "no temporary folder can be had\n";
      std::_Exit(kCouldNotRun);
    }
    return name;
  }

  static std::string Tables()
  {
    return R"({"Version":7,"RouteList":[{"Name":"assign-callout")"
           R"(,"Hostname":"rota.example","Prefix":"/assign/")"
           R"(,"RouteKind":"non_idempotent","TimeoutMs":2000)"
           R"(,"TargetLatencyMs":100,"PriorityClass":2,"MaxAttempts":2)"
           R"(,"AuthExempt":false,"Backend":"dispatch-app"})"
           R"(,{"Name":"standby-check","Hostname":"rota.example")"
           R"(,"Prefix":"/standby/","RouteKind":"idempotent")"
           R"(,"TimeoutMs":2000,"TargetLatencyMs":100,"PriorityClass":2)"
           R"(,"MaxAttempts":2,"AuthExempt":false)"
           R"(,"Backend":"dispatch-app"})"
           R"(,{"Name":"handover-draft","Hostname":"rota.example")"
           R"(,"Prefix":"/draft/","RouteKind":"streaming")"
           R"(,"TimeoutMs":8000,"TargetLatencyMs":400,"PriorityClass":1)"
           R"(,"MaxAttempts":2,"AuthExempt":false,"SessionAffinity":true)"
           R"(,"StreamResume":true,"TargetGapMs":120)"
           R"(,"Backend":"rota-llm"}])"
           R"(,"Backends":[{"Name":"dispatch-app","HealthPath":"/healthz")"
           R"(,"MaxConnections":110},{"Name":"rota-llm")"
           R"(,"HealthPath":"/healthz","MaxConnections":418}],"Limits":{"MaxHeaderBytes":16384)"
           R"(,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000)"
           R"(,"IdleTimeoutMs":15000},"TenantList":[{"Name":"north")"
           R"(,"ApiKeys":["key-of-north"]},{"Name":"south")"
           R"(,"ApiKeys":["key-of-south"]}]})";
  }

  const std::string mFolder;
  Store mStore;
  std::list<Worker> mWorkers;
  std::list<Gateway> mGateways;
};

/** Requests of kept connections that may end without an answer, see LOST. */
constexpr size_t kMaxLost = 3;

/** Requests that were passed on to a sound worker from a kept connection,
 * which then ended without an answer. */
inline size_t
CountLost(const std::vector<Client::Sent>& aSent,
          const std::vector<Worker::Run>& aRuns)
{
  return static_cast<size_t>(
    std::count_if(aSent.begin(), aSent.end(), [&](const Client::Sent& aOne) {
      const bool hasRun =
        std::any_of(aRuns.begin(), aRuns.end(), [&](const Worker::Run& aRun) {
          return aRun.mId == aOne.mId;
        });
      return hasRun && !aOne.mIsFirstOnConnection && aOne.mAnswer.empty();
    }));
}

/** What the platform does with a process that exceeds its memory: it is
 * killed (DEPLOY.md). Watches one gateway. */
class MemoryWatch
{
public:
  MemoryWatch(Record& aRecord, Gateway& aGateway)
    : mRecord(aRecord)
    , mGateway(aGateway)
    , mThread([this] { Run(); })
  {
  }

  /** Ends the watch; returns whether the process was killed. */
  bool Stop()
  {
    mIsStopping = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    mRecord.Say("memory of " + mGateway.Name() + ", most that was seen: " +
                std::to_string(mMostBytes / 1000000) + " MB, of " +
                std::to_string(kMemoryMb));
    return mHasKilled;
  }

private:
  /** Counted so that either meaning of MB is exceeded. */
  static constexpr long kLimitBytes = kMemoryMb * 1024 * 1024;

  void Run()
  {
    while (!mIsStopping && !mHasKilled) {
      mMostBytes = std::max(mMostBytes, mGateway.ResidentBytes());
      if (mMostBytes > kLimitBytes) {
        mRecord.Say("the platform kills " + mGateway.Name() +
                    ", which exceeds its memory");
        mGateway.Kill();
        mHasKilled = true;
      }
      Sleep(milliseconds(10));
    }
  }

  Record& mRecord;
  Gateway& mGateway;
  long mMostBytes = 0;
  std::atomic<bool> mIsStopping = false;
  std::atomic<bool> mHasKilled = false;
  std::thread mThread;
};

/** Ordinary clients at one gateway. */
class Clients
{
public:
  Clients(Record& aRecord, int aCount, uint16_t aPort)
  {
    for (int i = 0; i < aCount; ++i) {
      mClients.emplace_back(
        aRecord, "client" + std::to_string(i), aPort, milliseconds(5));
    }
  }

  std::vector<Client::Sent> Stop()
  {
    std::vector<Client::Sent> sent;
    for (Client& client : mClients) {
      client.BeginStop();
    }
    for (Client& client : mClients) {
      const auto more = client.Stop();
      sent.insert(sent.end(), more.begin(), more.end());
    }
    return sent;
  }

private:
  std::list<Client> mClients;
};

/** Ends the program without waiting for threads that still serve. */
[[noreturn]] inline void
Exit(int aCode)
{
  std::cout.flush();
  std::_Exit(aCode);
}

}
