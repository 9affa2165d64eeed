#include "Network/MemoryBudget.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace Network {

using Holder = MemoryBudget::Holder;

BOOST_AUTO_TEST_SUITE(MemoryBudgetTest)

// Guards against charges that are not credited, or credited twice, and against
// the end of a request that is complete.
BOOST_AUTO_TEST_CASE(TheSumOfTheChargesIsWhatIsHeld) {
  constexpr int Steps = 20'000;
  constexpr std::size_t MaxBytes = 400'000;
  MemoryBudget Budget({MaxBytes, 100, std::chrono::seconds(1)});
  std::map<MemoryBudget::AccountId, std::size_t> Held;
  std::mt19937 Random(17); // NOLINT(cert-msc51-cpp): reproducible
  Common::TimePoint Now;
  for (int Step = 0; Step < Steps; ++Step) {
    Now += std::chrono::milliseconds(Random() % 20);
    const auto Action = Random() % 10;
    if (Held.empty() || Action == 0) {
      Held[Budget.open(Holder::Idle, true, Now)] = 0;
    } else {
      const auto Chosen = std::next(
          Held.begin(), static_cast<std::ptrdiff_t>(Random() % Held.size()));
      if (Action == 1) {
        Budget.close(Chosen->first);
        Held.erase(Chosen);
      } else {
        Chosen->second = Random() % 30'000;
        Budget.charge(Chosen->first, static_cast<Holder>(Random() % 5),
                      Chosen->second);
        if (Action < 6)
          Budget.recordProgress(Chosen->first, Now);
      }
    }
    while (const auto Ended = Budget.nextToEnd(Now)) {
      BOOST_REQUIRE(Budget.holderOf(*Ended) != Holder::Kept);
      BOOST_REQUIRE(Budget.holderOf(*Ended) != Holder::Idle);
      Budget.close(*Ended);
      Held.erase(*Ended);
    }
    std::size_t Sum = 0;
    for (const auto &Each : Held)
      Sum += Each.second;
    BOOST_REQUIRE(Budget.usedBytes() == Sum);
    BOOST_REQUIRE(Budget.connections() == Held.size());
  }
}

// Guards against a small request that is arriving giving way to a large one, or
// to one that has stopped.
BOOST_AUTO_TEST_CASE(StalledMessagesEndFirstThenTheLargest) {
  MemoryBudget Budget({1000, 100, std::chrono::seconds(1)});
  Common::TimePoint Now;
  const auto Stalled = Budget.open(Holder::Incoming, true, Now);
  Now += std::chrono::seconds(2);
  const auto Small = Budget.open(Holder::Incoming, true, Now);
  const auto Large = Budget.open(Holder::Incoming, true, Now);
  const auto Running = Budget.open(Holder::Kept, true, Now);
  Budget.charge(Stalled, Holder::Incoming, 100);
  Budget.charge(Small, Holder::Incoming, 10);
  Budget.charge(Large, Holder::Incoming, 500);
  BOOST_TEST(!Budget.nextToEnd(Now).has_value());
  Budget.charge(Running, Holder::Kept, 2000);
  BOOST_TEST(Budget.nextToEnd(Now).value() == Stalled);
  Budget.close(Stalled);
  BOOST_TEST(Budget.nextToEnd(Now).value() == Large);
  Budget.close(Large);
  BOOST_TEST(Budget.nextToEnd(Now).value() == Small);
  Budget.close(Small);
  BOOST_TEST(!Budget.nextToEnd(Now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace Network
