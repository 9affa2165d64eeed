#include "EntryDaemon/EntryDaemon.h"
#include "EntryDaemon/Gateway.h"

#include <iostream>

namespace {

template <typename Daemon, typename... Arguments>
int runDaemon(Arguments &&...Given) {
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Made = Daemon::create(**Loop, std::forward<Arguments>(Given)...);
  if (!Made.ok()) {
    std::cerr << Made.status().message() << "\n";
    return 1;
  }
  return (*Made)->run();
}

int runGateway(Settings::SettingsReader &Reader) {
  auto Chosen = EntryDaemon::GatewaySettings::create(Reader);
  if (Settings::reportFaults(Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-entry", Chosen.DataCentre, Chosen.Name},
                           Chosen.Level);
  const auto Reread =
      [Reader]() -> absl::StatusOr<EntryDaemon::GatewaySettings> {
    Settings::SettingsReader Fresh = Reader;
    auto Result = EntryDaemon::GatewaySettings::create(Fresh);
    if (!Fresh.faults().empty())
      return absl::InvalidArgumentError(Fresh.faults());
    return Result;
  };
  return runDaemon<EntryDaemon::Gateway>(std::move(Chosen), Reread);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start =
      Settings::startProgram(EntryDaemon::Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  if (Start.Reader->flag("gateway"))
    return runGateway(*Start.Reader);
  auto Chosen = EntryDaemon::EntrySettings::create(*Start.Reader);
  if (Settings::reportFaults(*Start.Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-entry", Chosen.DataCentre, Chosen.Name},
                           Chosen.Level);
  return runDaemon<EntryDaemon::EntryDaemon>(std::move(Chosen));
}
