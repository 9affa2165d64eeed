#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYSETTINGS_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYSETTINGS_H

#include "Common/Ids.h"
#include "Membership/PeerTable.h"
#include "Network/Address.h"
#include "Network/Frame.h"
#include "Settings/SettingsReader.h"
#include "Telemetry/Log.h"

#include <string>
#include <vector>

namespace EntryDaemon {

/// The checked settings of sycamore-entry.
struct EntrySettings {
  Common::DaemonId Name;
  Common::DataCentreId DataCentre;
  Network::Address Http;
  /// TCP and UDP for the other entry daemons.
  Network::Address Peer;
  std::vector<Membership::Peer> Peers;
  std::vector<Network::Address> State;
  Network::ClusterKey Key;
  std::string OperatorToken;
  std::string BackendToken;
  Common::Duration DrainGrace{};
  Telemetry::LogLevel Level = Telemetry::LogLevel::Info;

  /// Faults are left in Reader.
  static EntrySettings create(Settings::SettingsReader &Reader);
};

/// The docopt usage text.
extern const char *const Usage;

} // namespace EntryDaemon

#endif
