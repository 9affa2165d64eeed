#ifndef SYCAMOREREACH_STATEDAEMON_CONTROLLERSETTINGS_H
#define SYCAMOREREACH_STATEDAEMON_CONTROLLERSETTINGS_H

#include "Admission/AllowanceLedger.h"
#include "Settings/RoutedSettings.h"

#include <string>

namespace StateDaemon {

/// The checked settings of sycamore-state for routed serving.
struct ControllerSettings : Settings::RoutedSettings {
  std::string DataPath;
  /// The whole system starts for the first time: seeds found the group.
  bool FirstStart = false;
  /// State daemons that may be lost at once.
  std::uint32_t ToleratedHosts = 1;
  /// What is borne beyond the teams' limits.
  Admission::AllowanceTolerance Borne;
  /// Where duty calls go; empty where there are none.
  Network::Address DutyAddress;
  /// Duty calls a second, of all daemons together.
  double DutyRate = 10;
  /// Whether usage is reported and servers are ordered.
  bool ReportsUsage = false;
  bool OrdersServers = false;
  /// Two holders of a duty never act within this time of each other's turns.
  Common::Duration DutyLease = std::chrono::seconds(3);
  Common::Duration UsageWindow = std::chrono::seconds(5);

  /// Faults are left in Reader.
  static ControllerSettings create(Settings::SettingsReader &Reader);
};

} // namespace StateDaemon

#endif
