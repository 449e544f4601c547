#include "platform/tests/gatewayfixture.h"
#include <cstdio>
using namespace beryllever;
using namespace beryllever::platform::tests;
TEST_GROUP_BASE(TimeLimitProbe, GatewayFixture)
{
  void Probe(const char* aTarget, bool aIsStream, int aFirst, int aSecond)
  {
    AddBackEnd([aIsStream](Connection& aConnection, const std::string& aRequest, int) {
      if (!aIsStream) { std::this_thread::sleep_for(milliseconds(2000)); aConnection.Send(MakeResponse(aRequest, "whole")); return; }
      aConnection.Send(EventStreamHead(aRequest));
      for (int i = 0; i < 20; ++i) { aConnection.Send(Chunk(Event(i))); std::this_thread::sleep_for(milliseconds(100)); }
      aConnection.Send("0\r\n\r\n");
    });
    for (auto& route : mConfiguration.mRoutes) { route.mTimeout = milliseconds(aFirst); }
    Start();
    Connection caller = Connection::ConnectTo(kPort);
    const auto begin = std::chrono::steady_clock::now();
    caller.Send(MakeRequest(aTarget));
    std::this_thread::sleep_for(milliseconds(300));
    ++mConfiguration.mVersion;
    for (auto& route : mConfiguration.mRoutes) { route.mTimeout = milliseconds(aSecond); }
    mServer->SetSnapshot(MakeSnapshot());
    const std::string text = aIsStream ? caller.ReadUntil("0\r\n\r\n") : caller.ReadMessage();
    const auto ms = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin).count();
    std::printf("\n%s %d -> %d ms: status %s, whole %d, after %lld ms\n", aTarget, aFirst, aSecond, text.substr(9, 3).c_str(), text.ends_with("0\r\n\r\n") || text.ends_with("whole"), (long long)ms);
  }
};
TEST(TimeLimitProbe, A) { Probe("/resume/a", true, 1000, 4000); }
TEST(TimeLimitProbe, B) { Probe("/resume/a", true, 4000, 1000); }
TEST(TimeLimitProbe, C) { Probe("/once/a", false, 1000, 4000); }
TEST(TimeLimitProbe, D) { Probe("/once/a", false, 4000, 1000); }
