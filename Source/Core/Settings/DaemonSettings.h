#ifndef SYCAMOREREACH_SETTINGS_DAEMONSETTINGS_H
#define SYCAMOREREACH_SETTINGS_DAEMONSETTINGS_H

#include "Common/Ids.h"
#include "Network/Address.h"
#include "Network/Frame.h"
#include "Settings/HostLimits.h"
#include "Settings/SettingsReader.h"
#include "Telemetry/Log.h"

#include <string>
#include <vector>

namespace Settings {

/// The settings common to all daemons: their identity, the addresses of the
/// state daemons, the shared secrets and the log level.
struct DaemonSettings {
  /// Shorter secrets are rejected.
  static constexpr std::size_t MinSecretBytes = 16;

  Common::DaemonId Name;
  Common::DataCentreId DataCentre;
  std::vector<Network::Address> State;
  Network::ClusterKey Key;
  std::string OperatorToken;
  Telemetry::LogLevel Level = Telemetry::LogLevel::Info;
  HostLimits Host;

  /// Errors are collected in Reader.
  static DaemonSettings create(SettingsReader &Reader);
};

} // namespace Settings

#endif
