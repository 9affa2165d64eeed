#include "Fakes/FakeService.h"
#include "Fakes/FakeSettings.h"

#include <cstdlib>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  const std::string Usage =
      std::string("sycamore-fake-service: stand-in for a plain service\n\n"
                  "Usage:\n  sycamore-fake-service [options]\n") +
      Fakes::FakeOptions;
  auto Start = Settings::parseCommandLine(Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  const auto Chosen = Fakes::FakeSettings::create(*Start.Reader);
  if (Settings::reportErrors(*Start.Reader))
    return Settings::UsageExitCode;
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok())
    return 1;
  Network::HttpClient Http(**Loop);
  Fakes::FakeServiceOptions Options;
  Options.Listen = Chosen.Listen;
  Options.Entries = Chosen.Entries;
  Options.BackendToken = Chosen.BackendToken;
  Options.About = Chosen.About;
  Options.Delay = Chosen.Delay;
  Options.RunsFile = Chosen.RunsFile;
  auto Service = Fakes::FakeService::create(**Loop, Http, Options);
  if (!Service.ok()) {
    std::cerr << Service.status().message() << "\n";
    return 1;
  }
  constexpr int CrashExitCode = 42;
  (*Service)->onCrash([] { std::_Exit(CrashExitCode); });
  (*Service)->announce();
  const Fakes::GracefulStop Stop(
      **Loop, [&] { (*Service)->leave(); }, [&] { return (*Service)->idle(); });
  (*Loop)->run();
  return 0;
}
