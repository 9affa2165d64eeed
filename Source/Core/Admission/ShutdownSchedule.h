#ifndef SYCAMOREREACH_ADMISSION_SHUTDOWNSCHEDULE_H
#define SYCAMOREREACH_ADMISSION_SHUTDOWNSCHEDULE_H

#include "Common/Time.h"

#include <optional>

namespace Admission {

/// Decides, during the planned stop of a daemon behind a load balancer, which
/// new requests it still accepts and when it stops.
class ShutdownSchedule {
public:
  struct Options {
    /// Time from the signal until the process is killed.
    Common::Duration Limit = std::chrono::seconds(8);
    /// Time after which the load balancer has stopped sending connections: it
    /// checks readiness once a second and acts on two results.
    Common::Duration BalancerDrainTime = std::chrono::milliseconds(3300);
    /// A request that might outlast the process is accepted up to this time.
    /// Callers may rely on a daemon for 3 s after the signal, and few of their
    /// requests need all the time until their deadline.
    Common::Duration LongRequestIntake = std::chrono::milliseconds(2900);
    /// How long before Limit the requests that are still in progress are ended.
    Common::Duration EndMargin = std::chrono::milliseconds(400);
    /// How long before Limit the process stops even if responses are unsent.
    Common::Duration StopMargin = std::chrono::milliseconds(150);
  };

  enum class Action {
    Continue,
    /// Answer or abort all requests in progress.
    EndRequests,
    Stop,
  };

  explicit ShutdownSchedule(const Options &Timing) : Timing(Timing) {}

  const Options &options() const { return this->Timing; }

  void start(Common::TimePoint Now) { this->StartedAt = Now; }
  bool isStarted() const { return this->StartedAt.has_value(); }
  /// Time since the start; zero before it.
  Common::Duration elapsed(Common::TimePoint Now) const;

  /// Whether to accept a request that arrives now, with TimeLeft until its
  /// deadline.
  bool accepts(Common::TimePoint Now, Common::Duration TimeLeft) const;

  /// Idle means that no request is in progress and no response is unsent.
  Action nextAction(Common::TimePoint Now, bool Idle);

private:
  Options Timing;
  std::optional<Common::TimePoint> StartedAt;
  /// Whether nextAction returned EndRequests.
  bool RequestsEnded = false;
};

} // namespace Admission

#endif
