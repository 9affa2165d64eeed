#include "Settings/RoutedSettings.h"

namespace Settings {

RoutedSettings RoutedSettings::create(SettingsReader &Reader) {
  constexpr std::uint64_t MaxPort = 65535;
  RoutedSettings Result;
  const std::string File = Reader.text("--settings-file", "");
  if (!File.empty())
    if (absl::Status Loaded = Reader.loadFile(File); !Loaded.ok())
      Reader.addError("--settings-file", std::string(Loaded.message()));
  Result.Name = Common::DaemonId(Reader.required("--name"));
  Result.DataCentre = Common::DataCentreId(Reader.required("--datacentre"));
  Result.Http = Reader.address("--http");
  Result.LinkPort =
      static_cast<std::uint16_t>(Reader.number("--link-port", 0, 1, MaxPort));
  Result.MetricsPort = static_cast<std::uint16_t>(
      Reader.number("--metrics-port", 0, 0, MaxPort));
  Result.Seeds = Reader.addresses("--seeds");
  if (Result.Seeds.empty())
    Reader.addError("--seeds", "is missing; name the state daemons' addresses");
  Result.Key.Secret =
      Reader.secret("SYCAMORE_CLUSTER_KEY", DaemonSettings::MinSecretBytes);
  Result.Host = HostLimits::create(Reader);
  const auto Parsed =
      Telemetry::parseLogLevel(Reader.text("--log-level", "info"));
  if (Parsed.ok())
    Result.Level = *Parsed;
  else
    Reader.addError("--log-level", std::string(Parsed.status().message()));
  return Result;
}

std::vector<Network::Address> RoutedSettings::seedLinkAddresses() const {
  std::vector<Network::Address> Result;
  for (const Network::Address &Each : this->Seeds)
    Result.push_back(Network::Address{Each.Ip, this->LinkPort});
  return Result;
}

Admission::AllowanceTolerance readAllowanceTolerance(SettingsReader &Reader) {
  Admission::AllowanceTolerance Result;
  Result.FixedTokens = Reader.decimal("--allowance-slack", 0);
  Result.FractionOfLimits = Reader.decimal("--allowance-over", 0);
  Result.Window = Reader.duration("--allowance-window", Result.Window,
                                  std::chrono::seconds(1));
  return Result;
}

} // namespace Settings
