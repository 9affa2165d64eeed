#ifndef SYCAMOREREACH_SETTINGS_ROUTEDSETTINGS_H
#define SYCAMOREREACH_SETTINGS_ROUTEDSETTINGS_H

#include "Admission/AllowanceLedger.h"
#include "Settings/DaemonSettings.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace Settings {

/// What the daemons of routed serving are told. Other daemons are found from
/// the seeds: control addresses of some state daemons.
struct RoutedSettings {
  Common::DaemonId Name;
  Common::DataCentreId DataCentre;
  /// Where this daemon's HTTP interface listens.
  Network::Address Http;
  /// The port at which state daemons accept links, the same on all hosts.
  std::uint16_t LinkPort = 0;
  std::uint16_t MetricsPort = 0;
  std::vector<Network::Address> Seeds;
  Network::ClusterKey Key;
  Telemetry::LogLevel Level = Telemetry::LogLevel::Info;

  /// Reads --settings-file if it was given, then the settings; faults are
  /// left in Reader.
  static RoutedSettings create(SettingsReader &Reader);
  /// The link addresses that belong to the seeds.
  std::vector<Network::Address> seedLinks() const;
};

/// What is borne beyond the teams' limits, which all daemons must agree on.
Admission::AllowanceTolerance readTolerance(SettingsReader &Reader);

} // namespace Settings

#endif
