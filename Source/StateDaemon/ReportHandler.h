#ifndef SYCAMOREREACH_STATEDAEMON_REPORTHANDLER_H
#define SYCAMOREREACH_STATEDAEMON_REPORTHANDLER_H

#include "Common/Time.h"
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
  RolloutDirector &rollouts() { return this->Rollouts; }

private:
  Routing::SpeedEstimator Speeds;
  RolloutDirector Rollouts;
};

} // namespace StateDaemon

#endif
