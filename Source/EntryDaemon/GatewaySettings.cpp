#include "EntryDaemon/GatewaySettings.h"

namespace EntryDaemon {

namespace {

/// A share of the time after which a withdrawn key must not work any more;
/// the rest covers clocks that differ and a request's way to its server.
constexpr double TrustShare = 0.8;
/// Retries allowed where the settings say nothing: a tenth of the requests.
constexpr double DefaultRetryRatio = 0.1;
constexpr double DefaultRetryExtra = 10;

} // namespace

GatewaySettings GatewaySettings::create(Settings::SettingsReader &Reader) {
  GatewaySettings Result;
  static_cast<RoutedSettings &>(Result) = RoutedSettings::create(Reader);
  Result.Ready = Reader.address("--ready");
  constexpr Common::Duration Millisecond = std::chrono::milliseconds(1);
  constexpr Common::Duration Second = std::chrono::seconds(1);
  const Common::Duration Revoke = Reader.duration(
      "--revoke-time", std::chrono::milliseconds(5000), Millisecond);
  Result.TrustDeclaration =
      std::chrono::duration_cast<Common::Duration>(Revoke * TrustShare);
  Result.ShutdownTime =
      Reader.duration("--shutdown-time", Result.ShutdownTime, Second);
  Result.Retries.Ratio = Reader.decimal("--retry-ratio", DefaultRetryRatio);
  Result.Retries.Extra = Reader.decimal("--retry-extra", DefaultRetryExtra);
  Result.Retries.Window =
      Reader.duration("--retry-window", Result.Retries.Window, Second);
  Result.UsageWindow =
      Reader.duration("--usage-window", Result.UsageWindow, Second);
  Result.Borne = Settings::readAllowanceTolerance(Reader);
  return Result;
}

} // namespace EntryDaemon
