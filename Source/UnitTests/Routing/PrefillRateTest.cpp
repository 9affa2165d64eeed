#include "Routing/PrefillRate.h"

#include "Common/Random.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(PrefillRate_)

// Engines of different speed, of which some prompts are cached and others wait
// although the engine seemed idle. The estimate must come within a fifth.
BOOST_AUTO_TEST_CASE(ConvergesToTheRateOfTheEngines) {
  for (const double Rate : {20.0, 38.4, 56.9, 120.0}) {
    Common::Random Randomness(7);
    Routing::PrefillRate Estimate;
    for (int I = 0; I < 400; ++I) {
      const std::uint64_t Tokens = 1200 + Randomness.below(8000);
      double Milliseconds = static_cast<double>(Tokens) / Rate + 10;
      if (Randomness.chance(0.1))
        Milliseconds /= 3;
      else if (Randomness.chance(0.3))
        Milliseconds += 400 * Randomness.fraction();
      Estimate.record(Tokens, 0, Common::fromSeconds(Milliseconds / 1000));
    }
    BOOST_TEST(Estimate.tokensPerMillisecond() > 0.8 * Rate);
    BOOST_TEST(Estimate.tokensPerMillisecond() < 1.25 * Rate);
  }
}

BOOST_AUTO_TEST_CASE(BusyEnginesAndShortPromptsAreIgnored) {
  Routing::PrefillRate Estimate;
  const double Before = Estimate.tokensPerMillisecond();
  Estimate.record(5000, 30, std::chrono::seconds(5));
  Estimate.record(100, 0, std::chrono::seconds(5));
  Estimate.record(5000, 0, std::chrono::milliseconds(2));
  BOOST_TEST(Estimate.tokensPerMillisecond() == Before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
