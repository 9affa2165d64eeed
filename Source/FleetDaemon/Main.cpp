#include "FleetDaemon/FleetDaemon.h"

#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  auto Start =
      Settings::parseCommandLine(FleetDaemon::Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  auto Options = FleetDaemon::FleetSettings::create(*Start.Reader);
  if (Settings::reportErrors(*Start.Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-fleet", Options.DataCentre, Options.Name},
                           Options.Level);
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Daemon = FleetDaemon::FleetDaemon::create(**Loop, std::move(Options));
  if (!Daemon.ok()) {
    std::cerr << Daemon.status().message() << "\n";
    return 1;
  }
  return (*Daemon)->run();
}
