#include "EntryDaemon/RoutedCall.h"

// Measurement of the servers' speeds by the attempts of a routed call.

namespace EntryDaemon {

namespace {

/// With more prompt tokens queued than this multiple of the request's own, the
/// time to the first event depends mostly on what other daemons sent, of which
/// this daemon's view is older than a poll.
constexpr std::uint64_t MaxQueuedMultiple = 2;

} // namespace

void RoutedCall::startMeasuring(Attempt &Started) {
  const Routing::PlacementChoice &At = Started.Server;
  const Configuration::ServiceEntry *Entry =
      this->Declaration->service(this->Service);
  if (!this->CallerHeaders.Prompt || !Entry || !Entry->Engine ||
      this->Context.Servers.isWarmingUp(At.Id, this->Context.Loop.now()))
    return;
  Routing::SpeedMeter::Stream Begun;
  Begun.Server = At.Id;
  Begun.StartedAt = At.ServerStartedAt;
  Begun.Service = this->Service;
  Begun.TokensPerEvent = Entry->Engine->TokensPerEvent;
  // How much of a resumed stream the server has to process again is unknown.
  if (!Started.ResumedAfter &&
      At.QueuedTokens <= MaxQueuedMultiple * At.UncachedTokens) {
    Begun.PrefillTokens = At.QueuedTokens + At.UncachedTokens;
    Begun.ExpectedWait = At.ExpectedWait;
  }
  Started.Measured =
      this->Context.Speeds.begin(std::move(Begun), this->Context.Loop.now());
}

} // namespace EntryDaemon
