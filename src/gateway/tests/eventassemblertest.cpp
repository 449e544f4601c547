#include "gateway/eventassembler.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever::gateway;

TEST_GROUP(EventAssembler)
{
  EventAssembler mEvents;
};

TEST(EventAssembler, PassesWholeEventsOnByteForByte)
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    EventAssembler events;
    std::string passed = events.Append(stream.substr(0, cut));
    passed += events.Append(stream.substr(cut));
    STRCMP_EQUAL(stream.c_str(), passed.c_str());
    LONGS_EQUAL(2, *events.LastId());
  }
}

TEST(EventAssembler, DropsHalfAnEventAtAResumption)
{
  mEvents.Append("id: 1\ndata: a\n\nid: 2\nda");
  mEvents.BeginResumption();

  const std::string passed = mEvents.Append("id: 2\ndata: b\n\n");

  STRCMP_EQUAL("id: 2\ndata: b\n\n", passed.c_str());
  CHECK_FALSE(mEvents.HasGap());
}

TEST(EventAssembler, DropsEventsThatCameBefore)
{
  mEvents.Append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  mEvents.BeginResumption();

  STRCMP_EQUAL("id: 3\ndata: c\n\n",
               mEvents.Append("id: 2\ndata: b\n\nid: 3\ndata: c\n\n").c_str());
}

TEST(EventAssembler, SeesAGapAfterAResumption)
{
  mEvents.Append("id: 1\ndata: a\n\n");
  mEvents.BeginResumption();

  mEvents.Append("id: 3\ndata: c\n\n");

  CHECK(mEvents.HasGap());
}

TEST(EventAssembler, TellsWhetherBytesCompleteAnEvent)
{
  CHECK(mEvents.CompletesEvent("id: 1\n\nid: 2"));
  CHECK_FALSE(mEvents.CompletesEvent("id: 1\n"));

  mEvents.Append("id: 1\ndata: a\n");

  CHECK(mEvents.CompletesEvent("\n"));
  CHECK_FALSE(mEvents.CompletesEvent("data: b\n"));
}
