#ifndef SYCAMOREREACH_STATEDAEMON_ROLLOUTDIRECTOR_H
#define SYCAMOREREACH_STATEDAEMON_ROLLOUTDIRECTOR_H

#include "Membership/ServerRegistry.h"
#include "Rollout/Coordinator.h"
#include "State/ControlProtocol.h"
#include "State/ControlState.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace StateDaemon {

/// The leader's rollouts: connects a coordinator for each one that is running
/// with the replicated log, the reports and the directives. A new leader starts
/// with an empty one.
class RolloutDirector {
public:
  struct Dependencies {
    const State::ControlState &State;
    const Membership::ServerRegistry &Registry;
    Telemetry::Metrics &Metrics;
    Rollout::ExposureLimits Limits;
    /// Revisions of directives start above this one, which must exceed those of
    /// earlier leaders.
    std::uint64_t FirstRevision = 0;
    /// The median of the daemons' wall clocks.
    std::function<Common::WallTime(Common::TimePoint)> ReferenceTime;
  };

  explicit RolloutDirector(Dependencies Deps) : Deps(std::move(Deps)) {}

  /// Called periodically. Returns commands to propose. Entries is the number of
  /// entry daemons that poll.
  std::vector<State::ControlCommand> plan(std::size_t Entries,
                                          Common::TimePoint Now);
  void handleReport(const State::EntryReport &Report, Common::TimePoint Now);
  /// The directives for all services with a rollout.
  std::vector<Rollout::Directive> directives(Common::TimePoint Now);
  /// Directives that are to be sent to all entry daemons without waiting for
  /// their reports.
  std::vector<Rollout::Directive> takeUrgent();
  /// The evidence on the running rollout of the service; empty if none is
  /// running.
  std::string describe(const Common::ServiceName &Service) const;

private:
  /// How often the directives of a rollback are pushed, in case of a loss.
  static constexpr int UrgentRepeats = 5;
  /// A command that is not applied after this long is proposed again.
  static constexpr Common::Duration ProposalTimeout = std::chrono::seconds(1);
  /// A server that has been silent for this long does not count; as for the
  /// autoscaler.
  static constexpr Common::Duration HeartbeatTimeout =
      std::chrono::milliseconds(4200);

  struct ServiceState {
    std::unique_ptr<Rollout::Coordinator> Coordinator;
    /// Highest revision of a directive so far.
    std::uint64_t Revision = 0;
    Rollout::RolloutNumber Number;
    Rollout::Phase LastPhase = Rollout::Phase::Waiting;
    int UrgentLeft = 0;
    /// When a command was last proposed, and for which phase.
    std::optional<Common::TimePoint> ProposedAt;
    Rollout::Phase Proposed = Rollout::Phase::Waiting;
  };
  /// Creates and ends coordinators as the log says.
  void sync(Common::TimePoint Now);
  void syncService(const Common::ServiceName &Service,
                   const Rollout::ServiceRollout &Recorded,
                   Common::TimePoint Now);
  void planService(const Common::ServiceName &Service, ServiceState &Running,
                   const Rollout::ServiceRollout &Recorded, std::size_t Entries,
                   Common::TimePoint Now,
                   std::vector<State::ControlCommand> &Result);
  Rollout::Coordinator::View view(const Common::ServiceName &Service,
                                  Common::TimePoint Now) const;
  Rollout::Directive
  directiveFor(const Common::ServiceName &Service,
               const Rollout::ServiceRollout &Recorded) const;

  Dependencies Deps;
  std::map<Common::ServiceName, ServiceState> Services;
};

} // namespace StateDaemon

#endif
