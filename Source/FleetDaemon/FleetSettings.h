#ifndef SYCAMOREREACH_FLEETDAEMON_FLEETSETTINGS_H
#define SYCAMOREREACH_FLEETDAEMON_FLEETSETTINGS_H

#include "Network/Address.h"
#include "Settings/DaemonSettings.h"

#include <vector>

namespace FleetDaemon {

/// The validated settings of sycamore-fleet.
struct FleetSettings : Settings::DaemonSettings {
  Network::Address Http;
  Network::Address Cloud;
  /// HTTP addresses of the entry daemons.
  std::vector<Network::Address> Entries;

  /// Errors are recorded in Reader.
  static FleetSettings create(Settings::SettingsReader &Reader);
};

/// The docopt usage text.
extern const char *const Usage;

} // namespace FleetDaemon

#endif
