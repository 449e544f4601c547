#include "transport/tokens.h"

#include <CppUTest/TestHarness.h>

using namespace beryllever;

TEST_GROUP(Tokens){};

TEST(Tokens, ATicketSurvivesTheWay)
{
  v1::Ticket ticket;
  ticket.set_endpoint("127.0.0.1:1");
  ticket.set_incarnation(UINT64_MAX);
  ticket.set_number(3);

  const auto decoded = transport::DecodeTicket(transport::EncodeTicket(ticket));

  CHECK(decoded.has_value());
  CHECK_EQUAL(ticket.SerializeAsString(), decoded.value().SerializeAsString());
}

TEST(Tokens, ACutOrForeignTicketIsRefused)
{
  v1::Ticket ticket;
  ticket.set_endpoint("127.0.0.1:1");
  const std::string text = transport::EncodeTicket(ticket);

  for (const std::string& bad : { std::string(),
                                  std::string("order-17"),
                                  text.substr(0, text.size() - 2) }) {
    const auto kind = global::Resolve(
      [&]() -> global::Result<global::ErrorKind> {
        BOOST_LEAF_CHECK(transport::DecodeTicket(bad));
        return global::ErrorKind::Internal;
      },
      [](const global::Error& aError) { return aError.mKind; });
    CHECK(kind == global::ErrorKind::UnknownTicket);
  }
}
