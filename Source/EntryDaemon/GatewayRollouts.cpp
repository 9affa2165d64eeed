#include "EntryDaemon/Gateway.h"

// Periodic work for rollouts.

namespace EntryDaemon {

namespace {

/// How often servers are checked for silence.
constexpr Common::Duration RefreshPeriod = std::chrono::milliseconds(500);
constexpr Common::Duration MovePeriod = std::chrono::milliseconds(100);
/// Streams that are moved in one period. Each is a prompt to prefill for the
/// servers of the target version.
constexpr std::size_t MovesPerPeriod = 4;

} // namespace

void Gateway::startRolloutTimers() {
  if (!this->Context.Rollouts)
    return;
  this->EventHandles.push_back(this->Loop.callEvery(RefreshPeriod, [this] {
    this->Context.Rollouts->refresh(this->Loop.now());
  }));
  this->EventHandles.push_back(
      this->Loop.callEvery(MovePeriod, [this] { this->moveStreams(); }));
}

void Gateway::moveStreams() {
  // A move may end a call, which changes the set.
  const std::vector<std::shared_ptr<RoutedCall>> Calls(
      this->Context.OpenCalls.begin(), this->Context.OpenCalls.end());
  std::size_t Moved = 0;
  for (const std::shared_ptr<RoutedCall> &Each : Calls)
    if (Moved < MovesPerPeriod && Each->moveStream())
      ++Moved;
}

} // namespace EntryDaemon
