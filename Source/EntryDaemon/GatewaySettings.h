#ifndef SYCAMOREREACH_ENTRYDAEMON_GATEWAYSETTINGS_H
#define SYCAMOREREACH_ENTRYDAEMON_GATEWAYSETTINGS_H

#include "Routing/RetryShare.h"
#include "Settings/RoutedSettings.h"

namespace EntryDaemon {

/// The checked settings of sycamore-entry for routed serving.
struct GatewaySettings : Settings::RoutedSettings {
  /// Where the balancer asks whether this daemon takes connections.
  Network::Address Ready;
  /// A declaration is obeyed this long after a leader stood behind it.
  Common::Duration TrustDeclaration = std::chrono::milliseconds(4000);
  /// How long requests under way may go on after SIGTERM.
  Common::Duration ShutdownTime = std::chrono::seconds(8);
  Routing::RetryShareOptions Retries;
  Admission::AllowanceTolerance Borne;
  Common::Duration UsageWindow = std::chrono::seconds(5);

  /// Faults are left in Reader.
  static GatewaySettings create(Settings::SettingsReader &Reader);
};

} // namespace EntryDaemon

#endif
