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

quint16
FreePort()
{
  QTcpServer server;
  server.listen(QHostAddress::LocalHost);
  return server.serverPort();
}

std::string
AddressOf(quint16 aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/** Passes connections on to the peer. */
class Relay : public QTcpServer
{
public:
  explicit Relay(quint16 aPeerPort)
    : mPeerPort(aPeerPort)
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
    peer->connectToHost("127.0.0.1", mPeerPort);
    Copy(caller, peer);
    Copy(peer, caller);
  }

  static void Copy(QTcpSocket* aFrom, QTcpSocket* aTo)
  {
    QObject::connect(aFrom, &QTcpSocket::readyRead, aTo, [aFrom, aTo] {
      aTo->write(aFrom->readAll());
    });
  }

  const quint16 mPeerPort;
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
  const quint16 mPeerPort = FreePort();
  Relay mRelay{ mPeerPort };
  transport::GrpcServer mServer;
  std::optional<MeshNode> mPeer;
  std::optional<MeshNode> mNode;
  v1::GossipReply mReply;

  void setup() override
  {
    CHECK(mRelay.listen(QHostAddress::LocalHost));
    const std::string relay = AddressOf(mRelay.serverPort());
    mPeer.emplace(
      mClock, GatewayAt("peer", relay), std::vector<std::string>{}, mMetrics);
    mNode.emplace(mClock,
                  GatewayAt("self", "127.0.0.1:1"),
                  std::vector<std::string>{ relay },
                  mMetrics);
    mPeer->SetListener(mItems);
    mNode->SetListener(mItems);
    mServer.Add(mPeer->Service());
    CHECK(mServer.Start(AddressOf(mPeerPort)));
  }

  void Start()
  {
    mPeer->Start();
    mNode->Start();
  }

  void teardown() override
  {
    mNode->Stop();
    mPeer->Stop();
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
      if (mNode->Members().LastHeard("peer") > aTime) {
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
  mNode->HandleGossip(
    GossipOf(GatewayAt("peer", AddressOf(mRelay.serverPort()))), mReply);

  // Assert
  const auto restart = mClock.Now();
  CHECK(HearsPeerAfter(restart, restart + milliseconds(600)));
}
