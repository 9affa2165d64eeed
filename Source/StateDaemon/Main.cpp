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

template <typename Daemon, typename Chosen>
int runDaemon(Settings::SettingsReader &Reader) {
  auto Given = Chosen::create(Reader);
  if (Settings::reportFaults(Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-state", Given.DataCentre, Given.Name},
                           Given.Level);
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Made = Daemon::create(**Loop, std::move(Given));
  if (!Made.ok()) {
    std::cerr << Made.status().message() << "\n";
    return 1;
  }
  return (*Made)->run();
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
    return runDaemon<StateDaemon::Controller, StateDaemon::ControllerSettings>(
        *Start.Reader);
  return runDaemon<StateDaemon::StateDaemon, StateDaemon::StateSettings>(
      *Start.Reader);
}
