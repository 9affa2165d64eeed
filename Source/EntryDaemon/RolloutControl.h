#ifndef SYCAMOREREACH_ENTRYDAEMON_ROLLOUTCONTROL_H
#define SYCAMOREREACH_ENTRYDAEMON_ROLLOUTCONTROL_H

#include "Rollout/Observer.h"
#include "Rollout/VersionPolicy.h"
#include "Routing/ServerTable.h"
#include "State/ControlProtocol.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace EntryDaemon {

/// Applies the rollouts' directives to the placement of requests, and reports
/// what is observed of them. Exists only where rollouts are enabled.
class RolloutControl {
public:
  /// PollSoon sends a poll and a report without delay.
  RolloutControl(Routing::ServerTable &Servers, Telemetry::Metrics &Metrics,
                 std::function<void()> PollSoon);

  void applyDirectives(const State::EntryDirectives &Directives,
                       std::optional<Common::TimePoint> PollSentAt,
                       Common::TimePoint Now);
  /// To be called when servers, their phases or their versions have changed,
  /// and periodically, as servers become silent.
  void refresh(Common::TimePoint Now);
  void fillReport(State::EntryReport &Report, Common::TimePoint Now);

  /// Where a new request, or a retry, is to be placed.
  Routing::ServerGroup groupFor(const Common::ServiceName &Service,
                                const std::string &RequestId,
                                Common::TimePoint Now);
  /// Whether a request that was placed may still be written.
  bool mayWrite(const Routing::PlacementChoice &At, Common::TimePoint Now);
  /// Whether a running stream is to be moved away from its server.
  bool shouldMove(const Routing::PlacementChoice &At, Common::TimePoint Now);

  Rollout::ObservedNumber recordStart(const Routing::PlacementChoice &At,
                                      const std::string &Route);
  Rollout::Observer &observer() { return this->Observations; }
  /// Records the end of an attempt with regard to the server's health. A
  /// failure answer is recorded before, by recordFailure.
  void recordEnd(Rollout::ObservedNumber Number, Routing::ServerOutcome Outcome,
                 Common::TimePoint Now);
  void recordFailure(Rollout::ObservedNumber Number,
                     const Common::ServiceName &Service, Common::TimePoint Now);

private:
  using VersionKey = std::pair<Common::ServiceName, Common::SoftwareVersion>;

  /// Refreshes the groups if a share has ended by itself.
  void expire(Common::TimePoint Now);
  void applyStandings(const Common::ServiceName &Service,
                      Common::TimePoint Now);
  void logStanding(const VersionKey &Of,
                   Rollout::VersionPolicy::Standing Standing,
                   Common::TimePoint Now);
  Common::SoftwareVersion versionOf(const Common::BackendServerId &Id,
                                    std::uint64_t StartedAt) const;

  Routing::ServerTable &Servers;
  Telemetry::Metrics &Metrics;
  std::function<void()> PollSoon;
  Rollout::VersionPolicy Policy;
  Rollout::Observer Observations;
  std::optional<Common::TimePoint> NextExpiry;
  /// What was last logged.
  std::map<VersionKey, Rollout::VersionPolicy::Standing> Standings;
};

} // namespace EntryDaemon

#endif
