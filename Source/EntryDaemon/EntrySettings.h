#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYSETTINGS_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYSETTINGS_H

#include "Membership/PeerTable.h"
#include "Network/Address.h"
#include "Settings/DaemonSettings.h"

#include <string>
#include <vector>

namespace EntryDaemon {

/// The checked settings of sycamore-entry.
struct EntrySettings : Settings::DaemonSettings {
  Network::Address Http;
  /// TCP and UDP for the other entry daemons.
  Network::Address Peer;
  std::vector<Membership::Peer> Peers;
  std::string BackendToken;
  Common::Duration DrainGrace{};

  /// Faults are left in Reader.
  static EntrySettings create(Settings::SettingsReader &Reader);
};

/// The docopt usage text.
extern const char *const Usage;

} // namespace EntryDaemon

#endif
