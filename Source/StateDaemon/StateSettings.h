#ifndef SYCAMOREREACH_STATEDAEMON_STATESETTINGS_H
#define SYCAMOREREACH_STATEDAEMON_STATESETTINGS_H

#include "Common/Ids.h"
#include "Consensus/Membership.h"
#include "Network/Address.h"
#include "Network/Frame.h"
#include "Settings/SettingsReader.h"
#include "Telemetry/Log.h"

#include <string>
#include <vector>

namespace StateDaemon {

/// The checked settings of sycamore-state.
struct StateSettings {
  Common::DaemonId Name;
  Common::DataCentreId DataCentre;
  std::string DataPath;
  Network::Address Listen;
  Network::Address Http;
  std::vector<Network::Address> State;
  std::vector<Consensus::Member> Founders;
  Network::ClusterKey Key;
  std::string OperatorToken;
  Telemetry::LogLevel Level = Telemetry::LogLevel::Info;

  /// Faults are left in Reader.
  static StateSettings create(Settings::SettingsReader &Reader);
};

/// The docopt usage text.
extern const char *const Usage;

} // namespace StateDaemon

#endif
