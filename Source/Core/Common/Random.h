#ifndef SYCAMOREREACH_COMMON_RANDOM_H
#define SYCAMOREREACH_COMMON_RANDOM_H

#include "Common/Time.h"

#include <cstdint>
#include <random>

namespace Common {

/// A seeded generator. Every random decision takes one of these, so that a
/// run can be repeated from its seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// Uniform in [0, Bound); 0 for a bound of 0.
  std::uint64_t below(std::uint64_t Bound) {
    if (Bound == 0)
      return 0;
    return std::uniform_int_distribution<std::uint64_t>(0, Bound -
                                                               1)(this->Engine);
  }
  /// Uniform in [0, 1).
  double fraction() {
    return std::uniform_real_distribution<double>(0, 1)(this->Engine);
  }
  bool chance(double Probability) { return this->fraction() < Probability; }
  /// Exponentially distributed with the given mean.
  Duration exponential(Duration Mean) {
    std::exponential_distribution<double> Spread(1.0 / toSeconds(Mean));
    return fromSeconds(Spread(this->Engine));
  }
  /// Uniform in [Low, High].
  Duration between(Duration Low, Duration High) {
    return Low + Duration(this->below((High - Low).count() + 1));
  }
  std::uint64_t next() { return this->Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace Common

#endif
