#include "FleetDaemon/FleetDaemon.h"

#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  auto Start =
      Settings::startProgram(FleetDaemon::Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  auto Chosen = FleetDaemon::FleetSettings::create(*Start.Reader);
  if (Settings::reportFaults(*Start.Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-fleet", Chosen.DataCentre, Chosen.Name},
                           Chosen.Level);
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Daemon = FleetDaemon::FleetDaemon::create(**Loop, std::move(Chosen));
  if (!Daemon.ok()) {
    std::cerr << Daemon.status().message() << "\n";
    return 1;
  }
  return (*Daemon)->run();
}
