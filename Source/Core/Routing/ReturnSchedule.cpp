#include "Routing/ReturnSchedule.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// Time between the returns of two callers on average, and the longest time
/// over which returns are spread.
constexpr Common::Duration ReturnInterval = std::chrono::milliseconds(5);
constexpr Common::Duration MaxSpread = std::chrono::seconds(1);
/// Callers that return earlier would find the servers as they are.
constexpr Common::Duration MinRetryAfter = std::chrono::milliseconds(250);
constexpr double PriorityLevels = 10;
/// Multiples of it, modulo 1, are spread evenly however many there are.
constexpr double GoldenRatio = 0.618033988749895;

} // namespace

Common::Duration ReturnSchedule::add(const Common::ServiceName &Service,
                                     const RefusedCaller &Caller,
                                     Common::TimePoint RestEnd,
                                     Common::TimePoint Now) {
  Returns &Expected = this->Services[Service];
  if (Expected.RestEnd < Now)
    Expected.Callers = 0;
  Expected.RestEnd = RestEnd;
  ++Expected.Callers;
  const auto Spread =
      std::min<Common::Duration>(MaxSpread, ReturnInterval * Expected.Callers);
  const double Urgency =
      (std::min<double>(Caller.Priority, PriorityLevels - 1) +
       std::clamp(Caller.TimeLeftShare, 0.0, 1.0)) /
      PriorityLevels;
  const double Even =
      std::fmod(static_cast<double>(Expected.Callers) * GoldenRatio, 1.0);
  const auto Offset =
      Common::fromSeconds(Common::toSeconds(Spread) * (Urgency + Even) / 2);
  return std::max(MinRetryAfter,
                  std::chrono::duration_cast<Common::Duration>(RestEnd - Now) +
                      Offset);
}

} // namespace Routing
