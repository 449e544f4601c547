#include "tickets/ticketbook.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <random>
#include <set>

using namespace beryllever;
using namespace std::chrono_literals;
using tickets::Ticket;
using tickets::TicketBook;
using tickets::TicketState;

namespace {

constexpr size_t kAmpleBytes = 1 << 20;

}

TEST_GROUP(TicketBook)
{
  global::ManualClock clock;
  TicketBook book{ clock, "127.0.0.1:1", 7, kAmpleBytes };
};

TEST(TicketBook, ATicketBeginsOnce)
{
  const Ticket ticket = book.Issue();

  CHECK(book.Begin(ticket));
  CHECK_FALSE(book.Begin(ticket));
}

TEST(TicketBook, ASettledTicketNeverBegins)
{
  const Ticket ticket = book.Issue();

  CHECK(book.Settle(ticket).mState == TicketState::Void);

  CHECK_FALSE(book.Begin(ticket));
}

TEST(TicketBook, ATicketThatHasNotBegunByItsDeadlineIsVoid)
{
  const Ticket ticket = book.Issue();
  clock.Advance(2min);

  CHECK_FALSE(book.Begin(ticket));

  CHECK(book.GetOutcome(ticket).mState == TicketState::Void);
}

TEST(TicketBook, ANewIncarnationReportsOldTicketsAsUnknownAndNeverRunsThem)
{
  const Ticket ticket = book.Issue();
  TicketBook next{ clock, "127.0.0.1:1", 8, kAmpleBytes };

  CHECK_FALSE(next.Begin(ticket));
  CHECK(next.Settle(ticket).mState == TicketState::Unknown);
}

TEST(TicketBook, AnEvictedTicketIsUnknownAndNotVoid)
{
  const Ticket ticket = book.Issue();
  book.Begin(ticket);
  book.Complete(ticket, 200, "done");
  clock.Advance(20min);
  book.Issue();

  CHECK(book.Settle(ticket).mState == TicketState::Unknown);
  CHECK_FALSE(book.Begin(ticket));
}

TEST(TicketBook, MemoryStaysWithinItsBudget)
{
  TicketBook small{ clock, "127.0.0.1:1", 7, 10000 };
  for (int i = 0; i < 1000; ++i) {
    const Ticket ticket = small.Issue();
    small.Begin(ticket);
    small.Complete(ticket, 200, std::string(500, 'x'));
  }

  CHECK(small.HeldBytes() <= 10000);
}

// Seeded interleavings of duplicate requests, settlements, answers, lost
// answers and restarts. No ticket may run twice, or after it was reported as
// void.
TEST(TicketBook, NoInterleavingRunsATicketTwice)
{
  for (unsigned seed = 1; seed <= 5000; ++seed) {
    std::mt19937 random(seed);
    uint64_t incarnation = 1;
    auto current = std::make_unique<TicketBook>(clock, "e", incarnation, 2000);
    std::vector<Ticket> issued;
    std::map<std::pair<uint64_t, uint64_t>, int> runs;
    std::set<std::pair<uint64_t, uint64_t>> reportedVoid;
    for (int step = 0; step < 60; ++step) {
      if (issued.empty() || random() % 6 == 0) {
        issued.push_back(current->Issue());
      }
      const Ticket ticket = issued[random() % issued.size()];
      const std::pair key{ ticket.mIncarnation, ticket.mNumber };
      switch (random() % 8) {
        case 0:
          current =
            std::make_unique<TicketBook>(clock, "e", ++incarnation, 2000);
          break;
        case 1:
          if (current->Settle(ticket).mState == TicketState::Void) {
            reportedVoid.insert(key);
          }
          break;
        case 2:
          current->Complete(ticket, 200, std::string(random() % 300, 'x'));
          break;
        case 3:
          current->MarkUnknown(ticket);
          break;
        case 4:
          clock.Advance(std::chrono::seconds(random() % 90));
          break;
        default:
          if (current->Begin(ticket)) {
            ++runs[key];
            CHECK_FALSE(reportedVoid.contains(key));
          }
      }
      CHECK(runs[key] <= 1);
      if (current->GetOutcome(ticket).mState == TicketState::Void) {
        CHECK_EQUAL(0, runs[key]);
      }
    }
  }
}
