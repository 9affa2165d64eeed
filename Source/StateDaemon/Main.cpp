#include "StateDaemon/Controller.h"
#include "StateDaemon/StateDaemon.h"

#include <iostream>

namespace {

int formatFolder(Settings::SettingsReader &Reader) {
  const std::string Name = Reader.required("--name");
  const std::string Path = Reader.required("--data");
  if (Settings::reportFaults(Reader))
    return Settings::UsageExitCode;
  const auto Identity = Storage::DataFolder::format(Path, Name);
  if (!Identity.ok()) {
    std::cerr << Identity.status().message() << "\n";
    return 1;
  }
  std::cout << Identity->str() << "\n";
  return 0;
}

int runDaemon(Settings::SettingsReader &Reader) {
  auto Chosen = StateDaemon::StateSettings::create(Reader);
  if (Settings::reportFaults(Reader))
    return Settings::UsageExitCode;
  Telemetry::startLog({"sycamore-state", Chosen.DataCentre, Chosen.Name},
                      Chosen.Level);
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Daemon = StateDaemon::StateDaemon::create(**Loop, std::move(Chosen));
  if (!Daemon.ok()) {
    std::cerr << Daemon.status().message() << "\n";
    return 1;
  }
  return (*Daemon)->run();
}

int runController(Settings::SettingsReader &Reader) {
  auto Chosen = StateDaemon::ControllerSettings::create(Reader);
  if (Settings::reportFaults(Reader))
    return Settings::UsageExitCode;
  Telemetry::startLog({"sycamore-state", Chosen.DataCentre, Chosen.Name},
                      Chosen.Level);
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Daemon = StateDaemon::Controller::create(**Loop, std::move(Chosen));
  if (!Daemon.ok()) {
    std::cerr << Daemon.status().message() << "\n";
    return 1;
  }
  return (*Daemon)->run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start =
      Settings::startProgram(StateDaemon::Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  if (Start.Reader->flag("format"))
    return formatFolder(*Start.Reader);
  if (Start.Reader->flag("control"))
    return runController(*Start.Reader);
  return runDaemon(*Start.Reader);
}
