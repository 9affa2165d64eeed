#include "Settings/DaemonSettings.h"

namespace Settings {

DaemonSettings DaemonSettings::create(SettingsReader &Reader) {
  DaemonSettings Result;
  Result.Name = Common::DaemonId(Reader.required("--name"));
  Result.DataCentre = Common::DataCentreId(Reader.required("--datacentre"));
  Result.State = Reader.addresses("--state");
  if (Result.State.empty())
    Reader.addError("--state", "is missing; name the state daemons' addresses");
  Result.Key.Secret = Reader.secret("SYCAMORE_CLUSTER_KEY", MinSecretBytes);
  Result.OperatorToken =
      Reader.secret("SYCAMORE_OPERATOR_TOKEN", MinSecretBytes);
  Result.Host = HostLimits::create(Reader);
  const auto Parsed =
      Telemetry::parseLogLevel(Reader.text("--log-level", "info"));
  if (Parsed.ok())
    Result.Level = *Parsed;
  else
    Reader.addError("--log-level", std::string(Parsed.status().message()));
  return Result;
}

} // namespace Settings
