#ifndef SYCAMOREREACH_COMMON_RANDOM_H
#define SYCAMOREREACH_COMMON_RANDOM_H

#include "Common/Time.h"

#include <cstdint>
#include <random>

namespace Common {

/// A seeded pseudo-random generator. Every random decision uses one, so a run
/// can be reproduced from its seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// Uniform in [0, Bound); 0 if Bound is 0.
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
  /// True with the given probability.
  bool chance(double Probability) { return this->fraction() < Probability; }
  /// Exponentially distributed with the given mean.
  Duration exponential(Duration Mean) {
    std::exponential_distribution<double> Distribution(1.0 / toSeconds(Mean));
    return fromSeconds(Distribution(this->Engine));
  }
  /// Uniform in [Low, High].
  Duration between(Duration Low, Duration High) {
    return Low + Duration(this->below((High - Low).count() + 1));
  }
  /// Uniform over all 64-bit values.
  std::uint64_t next() { return this->Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace Common

#endif
