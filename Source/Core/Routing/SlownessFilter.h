#ifndef SYCAMOREREACH_ROUTING_SLOWNESSFILTER_H
#define SYCAMOREREACH_ROUTING_SLOWNESSFILTER_H

#include "Common/Time.h"

#include <array>
#include <cstdint>

namespace Routing {

/// Estimates the logarithm of measured over expected time. It averages over
/// seconds, so that short slow periods have little influence, but follows at
/// once when all of the last 700 ms agree that the value has changed.
class SlownessFilter {
public:
  void record(double Measured, double Expected, Common::TimePoint Now);
  /// Closes the periods that have passed. Returns the sudden change of the
  /// value, or 0.
  double update(Common::TimePoint Now);
  /// Adds a change that was seen elsewhere and lets later samples correct it.
  void shift(double Change);

  double value() const { return this->Value; }
  /// Number of periods that the value rests on.
  double weight() const { return this->Weight; }

private:
  static constexpr Common::Duration Period = std::chrono::milliseconds(100);
  static constexpr std::size_t Window = 7;
  struct Sum {
    double Measured = 0;
    double Expected = 0;
  };
  void closePeriod();

  Sum Current;
  Common::TimePoint PeriodEnd;
  Common::TimePoint SettledAt;
  std::array<Sum, Window> Recent{};
  std::size_t Next = 0;
  double Value = 0;
  double Weight = 0;
};

} // namespace Routing

#endif
