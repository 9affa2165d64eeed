#ifndef SYCAMOREREACH_ROUTING_DISPATCHWINDOW_H
#define SYCAMOREREACH_ROUTING_DISPATCHWINDOW_H

#include "Common/Time.h"

#include <cstdint>

namespace Routing {

/// Limit on the requests that all entry daemons together send to one backend
/// server. It is at most the announced number of slots, shrinks by a factor
/// when first tokens are late, and otherwise grows in small steps (additive
/// increase, multiplicative decrease).
class DispatchWindow {
public:
  /// A first token is late if it takes more than this many times the baseline,
  /// which indicates that the server queues requests internally.
  static constexpr double LateFactor = 4;

  explicit DispatchWindow(std::uint64_t Slots)
      : Slots(static_cast<double>(Slots)), Size(this->Slots) {}

  void resize(std::uint64_t NewSlots);
  /// Adjusts the window after a first token. The expected delay is proportional
  /// to UncachedTokens.
  void recordFirstToken(Common::Duration Delay, std::uint64_t UncachedTokens);
  double size() const { return this->Size; }

private:
  static constexpr double DecreaseFactor = 0.9;
  static constexpr double IncreaseStep = 0.05;
  static constexpr double MinSize = 1;

  double Slots;
  double Size;
  /// Smoothed time to the first token per uncached token of a server that is
  /// not overloaded, in seconds.
  double BaselineSecondsPerToken = 0;
};

} // namespace Routing

#endif
