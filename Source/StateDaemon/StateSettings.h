#ifndef SYCAMOREREACH_STATEDAEMON_STATESETTINGS_H
#define SYCAMOREREACH_STATEDAEMON_STATESETTINGS_H

#include "Consensus/Membership.h"
#include "Network/Address.h"
#include "Settings/DaemonSettings.h"

#include <string>
#include <vector>

namespace StateDaemon {

/// Validated settings of `sycamore-state run`.
struct StateSettings : Settings::DaemonSettings {
  std::string DataPath;
  Network::Address Listen;
  Network::Address Http;
  std::vector<Consensus::Member> Founders;

  /// Errors are collected in Reader.
  static StateSettings create(Settings::SettingsReader &Reader);
};

/// The docopt usage text of all commands of sycamore-state.
extern const char *const Usage;

} // namespace StateDaemon

#endif
