#ifndef SYCAMOREREACH_SETTINGS_ROUTEDSETTINGS_H
#define SYCAMOREREACH_SETTINGS_ROUTEDSETTINGS_H

#include "Admission/AllowanceLedger.h"
#include "Settings/DaemonSettings.h"
#include "Settings/HostLimits.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace Settings {

/// The settings common to the gateway and the controller. They discover other
/// daemons from the seeds, which are control addresses of some state daemons.
struct RoutedSettings {
  Common::DaemonId Name;
  Common::DataCentreId DataCentre;
  /// The listening address of this daemon's HTTP interface.
  Network::Address Http;
  /// The port on which state daemons accept frame connections; the same on all
  /// hosts.
  std::uint16_t LinkPort = 0;
  std::uint16_t MetricsPort = 0;
  std::vector<Network::Address> Seeds;
  Network::ClusterKey Key;
  Telemetry::LogLevel Level = Telemetry::LogLevel::Info;
  HostLimits Host;

  /// Loads --settings-file if it is given, then reads the settings. Errors are
  /// collected in Reader.
  static RoutedSettings create(SettingsReader &Reader);
  /// The addresses on which the seeds accept frame connections.
  std::vector<Network::Address> seedLinkAddresses() const;
};

/// Reads the tolerance beyond the teams' limits, which must be the same on all
/// daemons.
Admission::AllowanceTolerance readAllowanceTolerance(SettingsReader &Reader);

} // namespace Settings

#endif
