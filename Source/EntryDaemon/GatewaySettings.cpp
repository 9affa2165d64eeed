#include "EntryDaemon/GatewaySettings.h"

namespace EntryDaemon {

namespace {

/// Validity of a declaration as a share of --revoke-time, after which a revoked
/// key must no longer be accepted. The rest covers clock differences and the
/// time that a request takes to reach its server.
constexpr double ValidityShare = 0.8;
/// Default retry budget: a tenth of the requests, and a fixed extra number for
/// all daemons together.
constexpr double DefaultRetryRatio = 0.1;
constexpr double DefaultRetryExtra = 10;

} // namespace

GatewaySettings GatewaySettings::create(Settings::SettingsReader &Reader) {
  GatewaySettings Result;
  static_cast<RoutedSettings &>(Result) = RoutedSettings::create(Reader);
  Result.ReadinessAddress = Reader.address("--ready");
  constexpr Common::Duration Millisecond = std::chrono::milliseconds(1);
  constexpr Common::Duration Second = std::chrono::seconds(1);
  const Common::Duration RevocationTime = Reader.duration(
      "--revoke-time", std::chrono::milliseconds(5000), Millisecond);
  Result.DeclarationValidity = std::chrono::duration_cast<Common::Duration>(
      RevocationTime * ValidityShare);
  Result.ShutdownTime =
      Reader.duration("--shutdown-time", Result.ShutdownTime, Second);
  Result.Retries.Ratio = Reader.decimal("--retry-ratio", DefaultRetryRatio);
  Result.Retries.Extra = Reader.decimal("--retry-extra", DefaultRetryExtra);
  Result.Retries.Window =
      Reader.duration("--retry-window", Result.Retries.Window, Second);
  Result.UsageWindow =
      Reader.duration("--usage-window", Result.UsageWindow, Second);
  Result.Rollouts = Reader.text("--rollouts", "false") == "true";
  Result.AdmissionControl = Reader.number("--admission", 0, 0, 1) != 0;
  Result.Tolerance = Settings::readAllowanceTolerance(Reader);
  return Result;
}

} // namespace EntryDaemon
