#ifndef SYCAMOREREACH_SETTINGS_DAEMONSETTINGS_H
#define SYCAMOREREACH_SETTINGS_DAEMONSETTINGS_H

#include "Common/Ids.h"
#include "Network/Address.h"
#include "Network/Frame.h"
#include "Settings/SettingsReader.h"
#include "Telemetry/Log.h"

#include <string>
#include <vector>

namespace Settings {

/// What every daemon is told: who it is, where the state daemons are, the
/// shared secrets, and how much it logs.
struct DaemonSettings {
  /// Secrets shorter than this are refused.
  static constexpr std::size_t LeastSecretBytes = 16;

  Common::DaemonId Name;
  Common::DataCentreId DataCentre;
  std::vector<Network::Address> State;
  Network::ClusterKey Key;
  std::string OperatorToken;
  Telemetry::LogLevel Level = Telemetry::LogLevel::Info;

  /// Faults are left in Reader.
  static DaemonSettings create(SettingsReader &Reader);
};

} // namespace Settings

#endif
