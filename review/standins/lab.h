#pragma once

/**
 * Small stand-ins for the review: the platform's store, a worker, a client, and
 * the start of the project's own processes. Each connection has a thread.
 */

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void
Sleep(milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

/** Writes record.txt: one line an event, with the time since the start. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  long Now() const
  {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - mStart)
      .count();
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    mFile << Now() << " ms " << aText << std::endl;
  }

private:
  const Clock::time_point mStart = Clock::now();
  std::mutex mMutex;
  std::ofstream mFile;
};

inline Record&
TheRecord()
{
  static Record sRecord("record.txt");
  return sRecord;
}

inline void
Note(const std::string& aText)
{
  TheRecord().Line(aText);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int
ListenOn(int aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = Loopback(aPort);
  if (bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, 512) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

inline int
PortOf(int aDescriptor)
{
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(aDescriptor, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/** A port that was free a moment ago; never the same one twice. */
inline int
FreePort()
{
  static std::set<int> sGiven;
  for (;;) {
    const int descriptor = ListenOn(0);
    const int port = PortOf(descriptor);
    close(descriptor);
    if (sGiven.insert(port).second) {
      return port;
    }
  }
}

inline void
ResetAndClose(int aDescriptor)
{
  const linger reset{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(aDescriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(aDescriptor);
}

inline bool
SendAll(int aDescriptor, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t n =
      send(aDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

/** Value of a header field, without regard to case; empty if it is missing. */
inline std::string
Field(const std::string& aHead, const std::string& aName)
{
  std::istringstream lines(aHead);
  std::string line;
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == aName.size() &&
        strncasecmp(line.data(), aName.data(), colon) == 0) {
      const size_t start = line.find_first_not_of(' ', colon + 1);
      const size_t end = line.find_last_not_of("\r ");
      return start == std::string::npos || end < start
               ? ""
               : line.substr(start, end - start + 1);
    }
  }
  return "";
}

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::string mHead;
  std::string mBody;
};

/** Reads one request; the rest of the bytes stay in aBuffer. */
inline bool
ReadRequest(int aDescriptor, std::string& aBuffer, Request& aRequest)
{
  char buf[16384];
  size_t end = std::string::npos;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(aDescriptor, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    aBuffer.append(buf, static_cast<size_t>(n));
  }
  aRequest.mHead = aBuffer.substr(0, end + 2);
  const std::string length = Field(aRequest.mHead, "Content-Length");
  const size_t size = length.empty() ? 0 : std::stoul(length);
  while (aBuffer.size() < end + 4 + size) {
    const ssize_t n = recv(aDescriptor, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    aBuffer.append(buf, static_cast<size_t>(n));
  }
  aRequest.mBody = aBuffer.substr(end + 4, size);
  aBuffer.erase(0, end + 4 + size);
  std::istringstream line(aRequest.mHead);
  line >> aRequest.mMethod >> aRequest.mTarget;
  return true;
}

/** A server whose handler serves one connection until it ends. */
class Server
{
public:
  using Serve = std::function<void(int aDescriptor)>;

  explicit Server(Serve aServe, int aPort = 0)
    : mServe(std::move(aServe))
    , mPort(aPort)
  {
    Open();
  }
  ~Server() { Shut(); }

  int Port() const { return mPort; }
  /** Listens, on the same port as before if there was one. */
  bool Open()
  {
    for (int i = 0; i < 50 && mListener < 0; ++i) {
      mListener = ListenOn(mPort);
      if (mListener < 0) {
        Sleep(milliseconds(20));
      }
    }
    if (mListener < 0) {
      return false;
    }
    mPort = PortOf(mListener);
    std::thread([this, listener = mListener] { Accept(listener); }).detach();
    return true;
  }
  /** Ends as a killed process does: the port refuses, connections break. */
  void Shut()
  {
    const std::lock_guard lock(mMutex);
    if (mListener >= 0) {
      shutdown(mListener, SHUT_RDWR);
      close(mListener);
      mListener = -1;
    }
    for (const int descriptor : mOpen) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }

private:
  void Accept(int aListener)
  {
    for (;;) {
      const int descriptor = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      {
        const std::lock_guard lock(mMutex);
        mOpen.insert(descriptor);
      }
      std::thread([this, descriptor] {
        mServe(descriptor);
        const std::lock_guard lock(mMutex);
        mOpen.erase(descriptor);
        close(descriptor);
      }).detach();
    }
  }

  const Serve mServe;
  std::mutex mMutex;
  std::set<int> mOpen;
  int mListener = -1;
  int mPort = 0;
};

inline std::string
Reply(int aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// ------------------------------------------------------------------ store

inline std::string
Base64(const std::string& aText)
{
  constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < aText.size(); i += 3) {
    unsigned bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      bits =
        bits << 8 |
        (i + j < aText.size() ? static_cast<unsigned char>(aText[i + j]) : 0u);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j > aText.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

/** The platform's store: linearizable reads and watches, nothing lost. */
class Store
{
public:
  Store()
    : mServer([this](int aDescriptor) { Serve(aDescriptor); })
  {
  }
  int Port() const { return mServer.Port(); }
  void Put(const std::string& aKey, const std::string& aData)
  {
    const std::lock_guard lock(mMutex);
    ++mRevision;
    auto [it, isNew] = mItems.try_emplace(aKey);
    it->second.mCreated = isNew ? mRevision : it->second.mCreated;
    it->second.mRevision = mRevision;
    it->second.mData = aData;
    mHistory.emplace_back(mRevision, ItemText(aKey, it->second));
    mChanged.notify_all();
    Note("store: acknowledged put " + aKey + " revision " +
         std::to_string(mRevision));
  }
  void Delete(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    ++mRevision;
    mItems.erase(aKey);
    mHistory.emplace_back(mRevision,
                          "{\"Key\":\"" + aKey + "\",\"Revision\":" +
                            std::to_string(mRevision) + ",\"IsDeleted\":true}");
    mChanged.notify_all();
    Note("store: acknowledged removal of " + aKey + " revision " +
         std::to_string(mRevision));
  }

private:
  struct Item
  {
    std::string mData;
    uint64_t mRevision = 0;
    uint64_t mCreated = 0;
  };

  static std::string ItemText(const std::string& aKey, const Item& aItem)
  {
    return "{\"Key\":\"" + aKey + "\",\"Data\":\"" + Base64(aItem.mData) +
           "\",\"Revision\":" + std::to_string(aItem.mRevision) +
           ",\"Created\":" + std::to_string(aItem.mCreated) + ",\"LeaseId\":0}";
  }
  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const size_t query = aTarget.find('?');
    std::istringstream parts(
      query == std::string::npos ? "" : aTarget.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.starts_with(aName + "=")) {
        return part.substr(aName.size() + 1);
      }
    }
    return "";
  }
  void Serve(int aDescriptor)
  {
    std::string buffer;
    Request request;
    while (ReadRequest(aDescriptor, buffer, request)) {
      std::string body;
      if (request.mTarget.starts_with("/kv-range")) {
        body = Range();
      } else if (request.mTarget.starts_with("/kv-watch")) {
        body = Watch(std::stoull("0" + Query(request.mTarget, "After")),
                     std::stoi("0" + Query(request.mTarget, "WaitMs")));
      }
      const std::string reply = Reply(body.empty() ? 404 : 200,
                                      "Content-Type: application/json\r\n",
                                      body.empty() ? "{}" : body);
      if (!SendAll(aDescriptor, reply)) {
        return;
      }
    }
  }
  std::string Range()
  {
    const std::lock_guard lock(mMutex);
    std::string text;
    for (const auto& [key, item] : mItems) {
      text += (text.empty() ? "" : ",") + ItemText(key, item);
    }
    return "{\"Entries\":[" + text +
           "],\"HasMore\":false,\"At\":" + std::to_string(mRevision) + "}";
  }
  std::string Watch(uint64_t aAfter, int aWaitMs)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(
      lock, milliseconds(aWaitMs), [&] { return mRevision > aAfter; });
    std::string text;
    for (const auto& [revision, event] : mHistory) {
      if (revision > aAfter) {
        text += (text.empty() ? "" : ",") + event;
      }
    }
    return "{\"events\":[" + text + "],\"At\":" + std::to_string(mRevision) +
           "}";
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<std::pair<uint64_t, std::string>> mHistory;
  uint64_t mRevision = 100;
  Server mServer;
};

// -------------------------------------------------------------- processes

/** Replaces the placeholders of a settings template by fields. */
inline std::string
Render(std::string aTemplate, const std::map<std::string, std::string>& aFields)
{
  for (const auto& [name, value] : aFields) {
    const std::string mark = "{{" + name + "}}";
    for (size_t at = aTemplate.find(mark); at != std::string::npos;
         at = aTemplate.find(mark, at + value.size())) {
      aTemplate.replace(at, mark.size(), value);
    }
  }
  return aTemplate;
}

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

struct Answer
{
  /** 0 if no head has come. */
  int mStatus = 0;
  std::string mHead;
  std::string mBody;
  /** The answer has come to its end by its length or its last chunk. */
  bool mIsWhole = false;
};

/** Reads an answer. aPace is called with the number of bytes read. */
inline Answer
ReadAnswer(int aDescriptor,
           milliseconds aTimeout,
           const std::function<void(size_t)>& aPace = {})
{
  Answer answer;
  std::string raw;
  std::string buf(65536, 0);
  const auto deadline = Clock::now() + aTimeout;
  size_t head = std::string::npos;
  size_t at = 0;
  for (;;) {
    const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    pollfd wait{ .fd = aDescriptor, .events = POLLIN, .revents = 0 };
    if (left.count() <= 0 ||
        poll(&wait, 1, static_cast<int>(left.count())) <= 0) {
      return answer;
    }
    const ssize_t n = recv(aDescriptor, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return answer;
    }
    raw.append(buf.data(), static_cast<size_t>(n));
    if (aPace) {
      aPace(static_cast<size_t>(n));
    }
    if (head == std::string::npos) {
      head = raw.find("\r\n\r\n");
      if (head == std::string::npos) {
        continue;
      }
      answer.mHead = raw.substr(0, head + 2);
      answer.mStatus = std::stoi(raw.substr(9, 3));
      at = head + 4;
    }
    const std::string length = Field(answer.mHead, "Content-Length");
    if (!length.empty()) {
      const size_t size = std::stoul(length);
      answer.mBody.append(raw, at, std::string::npos);
      at = raw.size();
      if (answer.mBody.size() >= size) {
        answer.mIsWhole = answer.mBody.size() == size;
        return answer;
      }
      continue;
    }
    for (;;) {
      const size_t line = raw.find("\r\n", at);
      if (line == std::string::npos) {
        break;
      }
      const size_t size = std::stoul(raw.substr(at, line - at), nullptr, 16);
      if (raw.size() < line + 2 + size + 2) {
        break;
      }
      answer.mBody.append(raw, line + 2, size);
      at = line + 2 + size + 2;
      if (size == 0) {
        answer.mIsWhole = true;
        return answer;
      }
    }
    raw.erase(0, at);
    at = 0;
    head = 0;
  }
}

/** Largest segment on a path with the least MTU of IPv6, as in many tunnels.
 * Without it the loopback interface uses segments of 64 kB, and the kernel
 * buffers megabytes a connection. */
constexpr int kSegment = 1220;
/** Receive buffer of a client; a fixed one does not grow to megabytes. */
constexpr int kClientBuffer = 16 * 1024;

inline int
ConnectTo(int aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &kSegment, sizeof(kSegment));
  setsockopt(
    descriptor, SOL_SOCKET, SO_RCVBUF, &kClientBuffer, sizeof(kClientBuffer));
  const sockaddr_in address = Loopback(aPort);
  if (connect(descriptor,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

/** Sends one request on a new connection and reads the answer. */
inline Answer
Call(int aPort,
     const std::string& aRequest,
     milliseconds aTimeout,
     const std::function<void(size_t)>& aPace = {})
{
  const int descriptor = ConnectTo(aPort);
  if (descriptor < 0) {
    return {};
  }
  SendAll(descriptor, aRequest);
  Answer answer = ReadAnswer(descriptor, aTimeout, aPace);
  close(descriptor);
  return answer;
}

/** A process of the project. */
class Process
{
public:
  Process() { All().insert(this); }
  ~Process()
  {
    Kill();
    All().erase(this);
  }
  Process(const Process&) = delete;
  static std::set<Process*>& All()
  {
    static std::set<Process*> sAll;
    return sAll;
  }
  void Start(const std::string& aSettings, const std::string& aLog)
  {
    mPid = fork();
    if (mPid != 0) {
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("BERYLLEVER_CONFIG", aSettings.c_str(), 1);
    const std::string root = getenv("REVIEW_ROOT");
    if (chdir(root.c_str()) == 0) {
      execl("target/bin/berylleverd", "target/bin/berylleverd", nullptr);
    }
    _exit(127);
  }
  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      kill(mPid, SIGCONT);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }
  /** Whether the process has ended by itself. */
  bool HasEnded()
  {
    if (mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
      mPid = -1;
    }
    return mPid <= 0;
  }

private:
  pid_t mPid = -1;
};

/** A gateway of the project on its own ports. */
class Gateway
{
public:
  Gateway(const std::string& aName,
          const std::string& aZone,
          int aStorePort,
          int aControlPort = FreePort())
    : mName(aName)
    , mZone(aZone)
    , mStorePort(aStorePort)
    , mFrontend(FreePort())
    , mReady(FreePort())
    , mControl(aControlPort)
    , mDirectory(FreePort())
    , mOperator(FreePort())
  {
  }
  int Frontend() const { return mFrontend; }
  int Ready() const { return mReady; }
  std::string ControlAddress() const { return Address(mControl); }
  const std::string& Name() const { return mName; }
  Process& Proc() { return mProcess; }

  void Start(const std::vector<std::string>& aSeeds)
  {
    std::string seeds;
    for (const std::string& seed : aSeeds) {
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    }
    std::string text = ReadFile(std::string(getenv("REVIEW_ROOT")) +
                                "/platform/settings/gateway.json");
    const std::string section = "{{#SeedNodes}}\"{{.}}\"{{,}}{{/SeedNodes}}";
    const size_t at = text.find(section);
    text.replace(at, section.size(), seeds);
    text = Render(text,
                  { { "NodeName", mName },
                    { "Zone", mZone },
                    { "Region", "midlands" },
                    { "IpAddress", "127.0.0.1" },
                    { "InternalPortRange.0", std::to_string(mOperator) },
                    { "ListenAddrs.ControlPlane", Address(mControl) },
                    { "ListenAddrs.Frontend", Address(mFrontend) },
                    { "ListenAddrs.Ready", Address(mReady) },
                    { "ListenAddrs.DirectoryAddr", Address(mDirectory) },
                    { "Limits.MemoryMb", "260" },
                    { "Platform.Address", Address(mStorePort) },
                    { "Bounds.ContactMs", "3000" },
                    { "Bounds.GraceS", "8" },
                    { "Bounds.RetryBudgetRatio", "0.2" },
                    { "Bounds.RetryBudgetExtra", "92" },
                    { "Bounds.BudgetWindowS", "10" },
                    { "Bounds.ColdOverage", "1.5" },
                    { "Bounds.ColdTolerance", "5" } });
    const std::string folder = getenv("REVIEW_TMP");
    const std::string path = folder + "/" + mName + ".json";
    std::ofstream(path) << text;
    mProcess.Start(path, folder + "/" + mName + ".log");
  }
  bool IsReady() const
  {
    return Call(mReady,
                "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n",
                milliseconds(500))
             .mStatus == 200;
  }
  bool WaitReady(milliseconds aTimeout) const
  {
    const auto deadline = Clock::now() + aTimeout;
    while (Clock::now() < deadline) {
      if (IsReady()) {
        return true;
      }
      Sleep(milliseconds(50));
    }
    return false;
  }

private:
  static std::string Address(int aPort)
  {
    return "127.0.0.1:" + std::to_string(aPort);
  }

  const std::string mName;
  const std::string mZone;
  const int mStorePort;
  const int mFrontend;
  const int mReady;
  const int mControl;
  const int mDirectory;
  const int mOperator;
  Process mProcess;
};

inline bool
HasTrouble()
{
  const char* const value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/** Ends with the exit code that the issue asks for. */
[[noreturn]] inline void
End(int aCode, const std::string& aText)
{
  Note("result " + std::to_string(aCode) + ": " + aText);
  std::cout << aText << std::endl;
  for (Process* process : Process::All()) {
    process->Kill();
  }
  std::_Exit(aCode);
}

/** One route of a configuration. */
struct RouteText
{
  std::string mName;
  std::string mKind;
  std::string mService;
  int mAttempts = 1;
  bool mIsResumable = false;
};

/** A configuration as the operator writes it, without tenants. */
inline std::string
ConfigText(int aVersion,
           const std::vector<RouteText>& aRoutes,
           const std::vector<std::string>& aServices,
           int aTimeoutMs)
{
  std::string routes;
  for (const RouteText& route : aRoutes) {
    routes += (routes.empty() ? "" : ",") + std::string("{\"Name\":\"") +
              route.mName + "\",\"Hostname\":\"rota.example\",\"Prefix\":\"/" +
              route.mName + "/\",\"RouteKind\":\"" + route.mKind +
              "\",\"TimeoutMs\":" + std::to_string(aTimeoutMs) +
              ",\"TargetLatencyMs\":400,\"TargetGapMs\":120"
              ",\"PriorityClass\":1,\"MaxAttempts\":" +
              std::to_string(route.mAttempts) +
              ",\"StreamResume\":" + (route.mIsResumable ? "true" : "false") +
              ",\"Backend\":\"" + route.mService + "\"}";
  }
  std::string services;
  for (const std::string& service : aServices) {
    services += (services.empty() ? "" : ",") + std::string("{\"Name\":\"") +
                service +
                "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110}";
  }
  return "{\"Version\":" + std::to_string(aVersion) + ",\"RouteList\":[" +
         routes + "],\"Backends\":[" + services +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304"
         ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

/** An entry in the list of workers. */
inline std::string
WorkerText(const std::string& aService,
           int aPort,
           const std::string& aZone,
           const std::string& aState,
           long long aBorn)
{
  return "{\"Backend\":\"" + aService +
         "\",\"Address\":\"127.0.0.1:" + std::to_string(aPort) +
         "\",\"Zone\":\"" + aZone +
         "\",\"Version\":\"1\",\"SlotCount\":12,\"State\":\"" + aState +
         "\",\"ColdRemainingMs\":0,\"Sequence\":0,\"born\":" +
         std::to_string(aBorn) + "}";
}

inline long long
UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** A request of a client. */
inline std::string
RequestText(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aFields = "",
            const std::string& aBody = "")
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: rota.example\r\nBeryllever-Attempt-Id: " + aId +
         "\r\nBeryllever-Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n" +
         aFields +
         (aMethod == "POST"
            ? "Content-Length: " + std::to_string(aBody.size()) + "\r\n"
            : "") +
         "\r\n" + (aMethod == "POST" ? aBody : "");
}

}
