#ifndef SYCAMOREREACH_FLEETDAEMON_FLEETSETTINGS_H
#define SYCAMOREREACH_FLEETDAEMON_FLEETSETTINGS_H

#include "Common/Ids.h"
#include "Network/Address.h"
#include "Network/Frame.h"
#include "Settings/SettingsReader.h"
#include "Telemetry/Log.h"

#include <vector>

namespace FleetDaemon {

/// The checked settings of sycamore-fleet.
struct FleetSettings {
  Common::DaemonId Name;
  Common::DataCentreId DataCentre;
  Network::Address Http;
  Network::Address Cloud;
  std::vector<Network::Address> Entries;
  std::vector<Network::Address> State;
  Network::ClusterKey Key;
  std::string OperatorToken;
  Telemetry::LogLevel Level = Telemetry::LogLevel::Info;

  /// Faults are left in Reader.
  static FleetSettings create(Settings::SettingsReader &Reader);
};

/// The docopt usage text.
extern const char *const Usage;

} // namespace FleetDaemon

#endif
