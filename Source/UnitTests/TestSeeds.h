#ifndef SYCAMOREREACH_UNITTESTS_TESTSEEDS_H
#define SYCAMOREREACH_UNITTESTS_TESTSEEDS_H

#include <cstdint>
#include <cstdlib>

namespace UnitTests {

/// The range of seeds that a randomized test plays; the environment variables
/// SYCAMORE_TEST_FIRST_SEED and SYCAMORE_TEST_LAST_SEED choose another one.
struct TestSeeds {
  std::uint64_t First;
  std::uint64_t Last;

  static TestSeeds create(std::uint64_t DefaultLast) {
    return {numberFrom("SYCAMORE_TEST_FIRST_SEED", 1),
            numberFrom("SYCAMORE_TEST_LAST_SEED", DefaultLast)};
  }

private:
  static std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
    const char *Text = std::getenv(Variable);
    return Text ? std::strtoull(Text, nullptr, 10) : Default;
  }
};

} // namespace UnitTests

#endif
