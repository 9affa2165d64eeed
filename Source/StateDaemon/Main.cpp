#include "StateDaemon/Controller.h"
#include "StateDaemon/StateDaemon.h"

#include <iostream>

namespace {

int formatFolder(Settings::SettingsReader &Reader) {
  const std::string Name = Reader.required("--name");
  const std::string Path = Reader.required("--data");
  if (Settings::reportErrors(Reader))
    return Settings::UsageExitCode;
  const auto Identity = Storage::DataFolder::format(Path, Name);
  if (!Identity.ok()) {
    std::cerr << Identity.status().message() << "\n";
    return 1;
  }
  std::cout << Identity->str() << "\n";
  return 0;
}

template <typename Daemon, typename DaemonSettings>
int runDaemon(Settings::SettingsReader &Reader) {
  auto Parsed = DaemonSettings::create(Reader);
  if (Settings::reportErrors(Reader))
    return Settings::UsageExitCode;
  Telemetry::initializeLog({"sycamore-state", Parsed.DataCentre, Parsed.Name},
                           Parsed.Level);
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok()) {
    std::cerr << Loop.status().message() << "\n";
    return 1;
  }
  auto Instance = Daemon::create(**Loop, std::move(Parsed));
  if (!Instance.ok()) {
    std::cerr << Instance.status().message() << "\n";
    return 1;
  }
  return (*Instance)->run();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start =
      Settings::parseCommandLine(StateDaemon::Usage, ArgumentCount, Arguments);
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
