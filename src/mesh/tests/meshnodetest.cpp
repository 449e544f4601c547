#include "mesh/meshnode.h"

#include "mesh/internal/messages.h"
#include "transport/grpcserver.h"

#include <CppUTest/TestHarness.h>
#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>

using namespace beryllever;
using namespace beryllever::mesh;
using std::chrono::milliseconds;

namespace {

constexpr quint16 kRelayPort = 18441;
constexpr quint16 kPeerPort = 18442;
constexpr char kRelayAddress[] = "127.0.0.1:18441";
constexpr char kPeerAddress[] = "127.0.0.1:18442";

/** Passes connections on to the peer. */
class Relay : public QTcpServer
{
public:
  Relay()
  {
    QObject::connect(
      this, &QTcpServer::newConnection, this, [this] { PassOn(); });
  }

  /** Passes nothing more on for the connections that are open now. */
  void Silence()
  {
    for (QTcpSocket* const socket : findChildren<QTcpSocket*>()) {
      QObject::disconnect(socket, &QTcpSocket::readyRead, nullptr, nullptr);
    }
  }

  bool mIsRefusing = false;
  int mRefused = 0;

private:
  void PassOn()
  {
    QTcpSocket* const caller = nextPendingConnection();
    if (mIsRefusing) {
      ++mRefused;
      caller->abort();
      return;
    }
    auto* const peer = new QTcpSocket(this);
    peer->connectToHost("127.0.0.1", kPeerPort);
    Copy(caller, peer);
    Copy(peer, caller);
  }

  static void Copy(QTcpSocket* aFrom, QTcpSocket* aTo)
  {
    QObject::connect(aFrom, &QTcpSocket::readyRead, aTo, [aFrom, aTo] {
      aTo->write(aFrom->readAll());
    });
  }
};

class NoItems : public IMeshListener
{
public:
  RecordBatch RecordsSince(uint64_t) const override { return {}; }
  uint64_t PublishedRevision() const override { return 0; }
  void HandleRecords(const RecordBatch&) override {}
  void HandleMembers() override {}
  void HandleLoad(const EndpointLoad&) override {}
};

Member
GatewayAt(const std::string& aVm, const std::string& aAddress)
{
  return { .mVm = aVm,
           .mRole = kGatewayRole,
           .mIncarnation = 1,
           .mPeerAddress = aAddress };
}

}

TEST_GROUP(MeshNode)
{
  global::SteadyClock mClock;
  metrics::Metrics mMetrics;
  NoItems mItems;
  MeshNode mPeer{ mClock, GatewayAt("peer", kRelayAddress), {}, mMetrics };
  MeshNode mNode{
    mClock, GatewayAt("self", "127.0.0.1:1"), { kRelayAddress }, mMetrics
  };
  transport::GrpcServer mServer;
  Relay mRelay;
  v1::GossipReply mReply;

  void setup() override
  {
    mPeer.SetListener(mItems);
    mNode.SetListener(mItems);
    mServer.Add(mPeer.Service());
    CHECK(mServer.Start(kPeerAddress));
    CHECK(mRelay.listen(QHostAddress::LocalHost, kRelayPort));
  }

  void Start()
  {
    mPeer.Start();
    mNode.Start();
  }

  void teardown() override
  {
    mNode.Stop();
    mPeer.Stop();
    mServer.Stop();
  }

  static v1::GossipRequest GossipOf(const Member& aMember)
  {
    v1::GossipRequest request;
    ToMessage(aMember, *request.add_members());
    return request;
  }

  /** Whether the node hears its peer after aTime, before aDeadline. */
  bool HearsPeerAfter(global::TimePoint aTime, global::TimePoint aDeadline)
  {
    while (mClock.Now() < aDeadline) {
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
      if (mNode.Members().LastHeard("peer") > aTime) {
        return true;
      }
    }
    return false;
  }
};

TEST(MeshNode, HearsAPeerAgainSoonAfterTheConnectionHasGoneSilent)
{
  Start();
  const auto begin = mClock.Now();
  CHECK(HearsPeerAfter(begin, begin + milliseconds(3000)));

  mRelay.Silence();

  // A peer that is not heard for 2.5 s counts as gone.
  const auto silence = mClock.Now();
  CHECK(HearsPeerAfter(silence, silence + milliseconds(2400)));
}

TEST(MeshNode, APeerThatHasRestartedIsReachedAtOnce)
{
  // Arrange: after six attempts, the next one is due about 1 s later.
  constexpr int kAttempts = 6;
  mRelay.mIsRefusing = true;
  Start();
  const auto begin = mClock.Now();
  while (mRelay.mRefused < kAttempts &&
         mClock.Now() - begin < milliseconds(5000)) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  LONGS_EQUAL(kAttempts, mRelay.mRefused);

  // Act
  mRelay.mIsRefusing = false;
  mNode.HandleGossip(GossipOf(GatewayAt("peer", kRelayAddress)), mReply);

  // Assert
  const auto restart = mClock.Now();
  CHECK(HearsPeerAfter(restart, restart + milliseconds(600)));
}
