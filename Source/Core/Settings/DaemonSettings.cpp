#include "Settings/DaemonSettings.h"

namespace Settings {

DaemonSettings DaemonSettings::create(SettingsReader &Reader) {
  DaemonSettings Result;
  Result.Name = Common::DaemonId(Reader.required("--name"));
  Result.DataCentre = Common::DataCentreId(Reader.required("--datacentre"));
  Result.State = Reader.addresses("--state");
  if (Result.State.empty())
    Reader.fault("--state", "is missing; name the state daemons' addresses");
  Result.Key.Secret = Reader.secret("SYCAMORE_CLUSTER_KEY", LeastSecretBytes);
  Result.OperatorToken =
      Reader.secret("SYCAMORE_OPERATOR_TOKEN", LeastSecretBytes);
  const auto Level =
      Telemetry::parseLogLevel(Reader.text("--log-level", "info"));
  if (Level.ok())
    Result.Level = *Level;
  else
    Reader.fault("--log-level", std::string(Level.status().message()));
  return Result;
}

} // namespace Settings
