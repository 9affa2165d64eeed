#include "Settings/RoutedSettings.h"

namespace Settings {

RoutedSettings RoutedSettings::create(SettingsReader &Reader) {
  constexpr std::uint64_t MostPort = 65535;
  RoutedSettings Result;
  const std::string File = Reader.text("--settings-file", "");
  if (!File.empty())
    if (absl::Status Loaded = Reader.loadFile(File); !Loaded.ok())
      Reader.fault("--settings-file", std::string(Loaded.message()));
  Result.Name = Common::DaemonId(Reader.required("--name"));
  Result.DataCentre = Common::DataCentreId(Reader.required("--datacentre"));
  Result.Http = Reader.address("--http");
  Result.LinkPort =
      static_cast<std::uint16_t>(Reader.number("--link-port", 0, 1, MostPort));
  Result.MetricsPort = static_cast<std::uint16_t>(
      Reader.number("--metrics-port", 0, 0, MostPort));
  Result.Seeds = Reader.addresses("--seeds");
  if (Result.Seeds.empty())
    Reader.fault("--seeds", "is missing; name the state daemons' addresses");
  Result.Key.Secret =
      Reader.secret("SYCAMORE_CLUSTER_KEY", DaemonSettings::LeastSecretBytes);
  const auto Level =
      Telemetry::parseLogLevel(Reader.text("--log-level", "info"));
  if (Level.ok())
    Result.Level = *Level;
  else
    Reader.fault("--log-level", std::string(Level.status().message()));
  return Result;
}

std::vector<Network::Address> RoutedSettings::seedLinks() const {
  std::vector<Network::Address> Result;
  for (const Network::Address &Each : this->Seeds)
    Result.push_back(Network::Address{Each.Ip, this->LinkPort});
  return Result;
}

Admission::AllowanceTolerance readTolerance(SettingsReader &Reader) {
  Admission::AllowanceTolerance Result;
  Result.Tokens = Reader.decimal("--allowance-slack", 0);
  Result.Share = Reader.decimal("--allowance-over", 0);
  Result.Window =
      Reader.span("--allowance-window", Result.Window, std::chrono::seconds(1));
  return Result;
}

} // namespace Settings
