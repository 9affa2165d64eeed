#ifndef SYCAMOREREACH_ROUTING_DISPATCHWINDOW_H
#define SYCAMOREREACH_ROUTING_DISPATCHWINDOW_H

#include "Common/Time.h"

#include <cstdint>

namespace Routing {

/// How many requests all entry daemons together should have at one backend
/// server: its announced slots, lowered while answers begin late, raised
/// again step by step.
class DispatchWindow {
public:
  /// An answer that begins later than this many times the usual shortest
  /// delay shows that the server queues inside.
  static constexpr double LateFactor = 4;

  explicit DispatchWindow(std::uint64_t Slots)
      : Slots(static_cast<double>(Slots)), Size(this->Slots) {}

  void resize(std::uint64_t NewSlots);
  /// Uncached tokens scale what delay is expected.
  void recordFirstToken(Common::Duration Delay, std::uint64_t UncachedTokens);
  double size() const { return this->Size; }

private:
  static constexpr double DecreaseFactor = 0.9;
  static constexpr double IncreaseStep = 0.05;
  static constexpr double MinSize = 1;

  double Slots;
  double Size;
  /// Smoothed seconds for each uncached token when the server is not late.
  double BaselineSecondsPerToken = 0;
};

} // namespace Routing

#endif
