#ifndef SYCAMOREREACH_ENTRYDAEMON_GATEWAYSETTINGS_H
#define SYCAMOREREACH_ENTRYDAEMON_GATEWAYSETTINGS_H

#include "Routing/RetryShare.h"
#include "Settings/RoutedSettings.h"

namespace EntryDaemon {

/// Validated settings of sycamore-entry for routed serving.
struct GatewaySettings : Settings::RoutedSettings {
  /// Listen address of the load balancer's readiness check.
  Network::Address ReadinessAddress;
  /// A declaration may be applied for this long after the leader confirmed it.
  Common::Duration DeclarationValidity = std::chrono::milliseconds(4000);
  /// Time limit for requests in progress after SIGTERM.
  Common::Duration ShutdownTime = std::chrono::seconds(8);
  Routing::RetryShareOptions Retries;
  Admission::AllowanceTolerance Tolerance;
  Common::Duration UsageWindow = std::chrono::seconds(5);
  /// Whether the versions of servers restrict which requests they get.
  bool Rollouts = false;
  /// Whether requests are admitted by priority, team and work while a service
  /// is short of room.
  bool AdmissionControl = false;

  /// Invalid settings are recorded in Reader.
  static GatewaySettings create(Settings::SettingsReader &Reader);
};

} // namespace EntryDaemon

#endif
