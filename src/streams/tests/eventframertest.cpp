#include "streams/eventframer.h"

#include <CppUTest/TestHarness.h>

using beryllever::streams::EventFramer;

TEST_GROUP(EventFramer){};

TEST(EventFramer, EventIdIsTheOffsetAfterTheEvent)
{
  EventFramer framer(0,
                     [](uint64_t aOffset) { return std::to_string(aOffset); });

  std::string text = framer.Add("data: a\n");
  text += framer.Add("\ndata: b\n\nda");

  CHECK_EQUAL(std::string("id: 9\ndata: a\n\nid: 18\ndata: b\n\n"), text);
  CHECK_EQUAL(2u, framer.BufferedBytes());
  CHECK_FALSE(framer.HasEnded());
  framer.Add("ta: [DONE]\n\n");
  CHECK(framer.HasEnded());
}
