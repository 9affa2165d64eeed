#ifndef SYCAMOREREACH_STATEDAEMON_REPORTHANDLER_H
#define SYCAMOREREACH_STATEDAEMON_REPORTHANDLER_H

#include "Admission/LevelPlanner.h"
#include "Common/Time.h"
#include "Membership/ServerRegistry.h"
#include "Routing/SpeedEstimator.h"
#include "State/ControlProtocol.h"
#include "StateDaemon/RolloutDirector.h"

#include <optional>

namespace StateDaemon {

/// The leader's use of the entry daemons' reports: hands each part of a report
/// to the library that decides on it, and collects what these decide. A new
/// leader starts with an empty one.
class ReportHandler {
public:
  explicit ReportHandler(RolloutDirector::Dependencies Rollouts)
      : Rollouts(std::move(Rollouts)) {}

  /// Takes in a report and returns the answer to it.
  State::EntryDirectives handleReport(const State::EntryReport &Report,
                                      Common::TimePoint Now);
  /// Directives that reduce what the entry daemons are allowed and cannot wait
  /// for their next report.
  std::optional<State::EntryDirectives> takeUrgent(Common::TimePoint Now);
  /// Speeds that changed since the last call, or all of them when that is due.
  std::optional<State::ServerSpeeds> takeSpeeds(Common::TimePoint Now);
  /// Takes in which servers serve. Called before the urgent directives are
  /// taken.
  void setServers(const Membership::ServerRegistry &Servers,
                  Common::TimePoint Now);
  RolloutDirector &rollouts() { return this->Rollouts; }

private:
  void updateLevels(Common::TimePoint Now);

  Routing::SpeedEstimator Speeds;
  RolloutDirector Rollouts;
  /// Exists from the first call on.
  std::optional<Admission::LevelPlanner> Planner;
  /// The same for all entry daemons until the next update.
  std::vector<Admission::AdmissionLevel> Levels;
  Common::TimePoint LevelsUpdatedAt;
};

} // namespace StateDaemon

#endif
