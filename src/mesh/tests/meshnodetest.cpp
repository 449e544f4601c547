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

/** Has no items; its position is set. */
class NoItems : public IMeshListener
{
public:
  RecordBatch RecordsSince(const StorePosition& aPosition) const override
  {
    mAskedSince = aPosition;
    return { .mPosition = mPosition, .mIsFull = true, .mRecords = {} };
  }
  StorePosition PublishedPosition() const override { return mPosition; }
  void HandleRecords(const RecordBatch& aBatch) override
  {
    mPosition = aBatch.mPosition;
  }
  void HandleMembers() override {}
  void HandleLoad(const EndpointLoad&) override {}

  StorePosition mPosition;
  mutable StorePosition mAskedSince;
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
  NoItems mPeerItems;
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
    mPeer->SetListener(mPeerItems);
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

/** Guards against a gateway that stays in the old era because its revision is
 * the higher one. */
TEST(MeshNode, FetchesFromAPeerThatHasSeenANewEra)
{
  mItems.mPosition = { 0, 90 };
  mPeerItems.mPosition = { 1, 40 };
  Start();

  const auto begin = mClock.Now();
  while (mItems.mPosition.mEra == 0 &&
         mClock.Now() - begin < milliseconds(3000)) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }

  CHECK(mItems.mPosition == StorePosition({ 1, 40 }));
  CHECK(mPeerItems.mAskedSince == StorePosition({ 0, 90 }));
}

/** Guards against a fetch of outdated items from a peer of an older era. */
TEST(MeshNode, DoesNotFetchFromAPeerOfAnOlderEra)
{
  mItems.mPosition = { 1, 40 };
  mPeerItems.mPosition = { 0, 90 };
  mPeerItems.mAskedSince = { 7, 7 };
  Start();
  const auto begin = mClock.Now();
  CHECK(HearsPeerAfter(begin, begin + milliseconds(3000)));

  const auto heard = mClock.Now();
  HearsPeerAfter(heard + milliseconds(600), heard + milliseconds(700));

  CHECK(mItems.mPosition == StorePosition({ 1, 40 }));
  CHECK(mPeerItems.mAskedSince == StorePosition({ 7, 7 }));
}

/** Guards against the loss of the era between processes. */
TEST(MeshNode, MessagesCarryTheEra)
{
  Member member = GatewayAt("peer", "127.0.0.1:1");
  member.mPublishedPosition = { 3, 40 };
  const RecordBatch batch{ .mPosition = { 3, 40 },
                           .mIsFull = true,
                           .mRecords = { { "x", "data", { 2, 90 } } } };
  v1::Member memberMessage;
  v1::FetchReply batchMessage;

  ToMessage(member, memberMessage);
  ToMessage(batch, mClock.Now(), batchMessage);

  const RecordBatch received = FromMessage(batchMessage, mClock.Now());
  CHECK(FromMessage(memberMessage).mPublishedPosition ==
        member.mPublishedPosition);
  CHECK(received.mPosition == batch.mPosition);
  CHECK(received.mRecords.at(0).mPosition == batch.mRecords[0].mPosition);
}

/** Guards against a misread position of a process that does not know eras. */
TEST(MeshNode, MessagesWithoutAnEraBelongToEraZero)
{
  mPeerItems.mPosition = { 1, 40 };
  v1::Member member;
  member.set_published_revision(90);
  v1::FetchRequest request;
  request.set_since_revision(90);
  v1::FetchReply reply;

  mPeer->HandleFetch(request, reply);

  CHECK(FromMessage(member).mPublishedPosition == StorePosition({ 0, 90 }));
  CHECK(mPeerItems.mAskedSince == StorePosition({ 0, 90 }));
}
