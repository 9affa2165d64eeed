#ifndef SYCAMOREREACH_STATEDAEMON_CONTROLLERSETTINGS_H
#define SYCAMOREREACH_STATEDAEMON_CONTROLLERSETTINGS_H

#include "Admission/AllowanceLedger.h"
#include "Rollout/Coordinator.h"
#include "Settings/RoutedSettings.h"

#include <string>

namespace StateDaemon {

/// Validated settings of `sycamore-state control`.
struct ControllerSettings : Settings::RoutedSettings {
  std::string DataPath;
  /// The system starts for the first time: the seeds bootstrap the group.
  bool FirstStart = false;
  /// Number of state daemons, each on its own host, that may fail at the same
  /// time; the group aims at 2 * N + 1 voters.
  std::uint32_t ToleratedHosts = 1;
  /// How long after its start a daemon that replaces a lost one may take to
  /// hold what was lost; then ToleratedHosts others may fail.
  Common::Duration CatchUpTime = std::chrono::seconds(4);
  /// How far use may exceed the teams' limits.
  Admission::AllowanceTolerance Tolerance;
  /// Where duty calls are sent; no duty calls are made if empty.
  Network::Address DutyAddress;
  /// Duty calls per second, over all daemons.
  double DutyRate = 10;
  /// Whether usage reports are sent.
  bool ReportsUsage = false;
  /// Whether servers are started and stopped by duty calls.
  bool ScalesServices = false;
  /// Minimum time between the last call of one duty holder and the first call
  /// of the next.
  Common::Duration DutyLease = std::chrono::seconds(3);
  Common::Duration UsageWindow = std::chrono::seconds(5);
  /// Whether operators may order rollouts.
  bool Rollouts = false;
  Rollout::ExposureLimits Exposure;
  /// How long an operator repeats a call that was not acknowledged.
  Common::Duration AckTime = std::chrono::seconds(5);

  /// Errors are collected in Reader.
  static ControllerSettings create(Settings::SettingsReader &Reader);
};

} // namespace StateDaemon

#endif
