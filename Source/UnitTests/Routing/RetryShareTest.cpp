#include "Routing/RetryShare.h"

#include "Common/Random.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(RetryShare_)

// Every request fails and would be retried, at daemons with uneven shares of
// the traffic. Guards against retries beyond the common budget.
BOOST_AUTO_TEST_CASE(AllDaemonsTogetherStayWithinTheBudget) {
  using namespace std::chrono_literals;
  const Routing::RetryShareOptions Options{0.2, 56, 10s};
  const Common::ServiceName Service("shop");
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Common::Random Randomness(Seed);
    std::vector<Routing::RetryShare> Daemons(8, Routing::RetryShare(Options));
    for (auto &Each : Daemons)
      Each.setDaemons(Daemons.size());
    std::deque<Common::TimePoint> Requests;
    std::deque<Common::TimePoint> Retries;
    for (Common::TimePoint Now(0s); Now < Common::TimePoint(40s); Now += 10ms) {
      auto &Daemon = Daemons[Randomness.below(Randomness.below(8) + 1)];
      Requests.push_back(Now);
      Daemon.recordRequest(Service, Now);
      while (Daemon.tryConsume(Service, Now))
        Retries.push_back(Now);
      while (Now - Requests.front() > 10s)
        Requests.pop_front();
      while (!Retries.empty() && Now - Retries.front() > 10s)
        Retries.pop_front();
      BOOST_REQUIRE_LE(static_cast<double>(Retries.size()),
                       0.2 * static_cast<double>(Requests.size()) + 56);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
