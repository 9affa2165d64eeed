#include "EntryDaemon/EntryDaemon.h"
#include "EntryDaemon/Gateway.h"

#include <iostream>

namespace {

template <typename Daemon, typename... Arguments>
int runDaemon(Arguments &&...Args) {
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Instance = Daemon::create(**Loop, std::forward<Arguments>(Args)...);
  if (!Instance.ok()) {
    std::cerr << Instance.status().message() << "\n";
    return 1;
  }
  return (*Instance)->run();
}

int runGateway(Settings::SettingsReader &Reader) {
  auto Config = EntryDaemon::GatewaySettings::create(Reader);
  if (Settings::reportErrors(Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-entry", Config.DataCentre, Config.Name},
                           Config.Level);
  const auto ReloadSettings =
      [Reader]() -> absl::StatusOr<EntryDaemon::GatewaySettings> {
    Settings::SettingsReader Fresh = Reader;
    auto Result = EntryDaemon::GatewaySettings::create(Fresh);
    if (!Fresh.errors().empty())
      return absl::InvalidArgumentError(Fresh.errors());
    return Result;
  };
  return runDaemon<EntryDaemon::Gateway>(std::move(Config), ReloadSettings);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start =
      Settings::parseCommandLine(EntryDaemon::Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  if (Start.Reader->flag("gateway"))
    return runGateway(*Start.Reader);
  auto Config = EntryDaemon::EntrySettings::create(*Start.Reader);
  if (Settings::reportErrors(*Start.Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-entry", Config.DataCentre, Config.Name},
                           Config.Level);
  return runDaemon<EntryDaemon::EntryDaemon>(std::move(Config));
}
