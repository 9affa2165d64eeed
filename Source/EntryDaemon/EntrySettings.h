#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYSETTINGS_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYSETTINGS_H

#include "Membership/PeerTable.h"
#include "Network/Address.h"
#include "Settings/DaemonSettings.h"

#include <string>
#include <vector>

namespace EntryDaemon {

/// The validated settings of sycamore-entry.
struct EntrySettings : Settings::DaemonSettings {
  Network::Address Http;
  /// Address for the other entry daemons, TCP and UDP.
  Network::Address Peer;
  std::vector<Membership::Peer> Peers;
  /// Token that backend servers must present when they announce themselves.
  std::string BackendToken;
  /// How long connections are still accepted after SIGTERM.
  Common::Duration DrainGrace{};
  /// How long after SIGTERM requests in progress may go on.
  Common::Duration ShutdownTime{};

  /// Reads and validates the settings; errors are recorded in Reader.
  static EntrySettings create(Settings::SettingsReader &Reader);
};

/// The usage text in docopt format.
extern const char *const Usage;

} // namespace EntryDaemon

#endif
