#include "Fakes/FakeService.h"
#include "Fakes/FakeSettings.h"

#include <cstdlib>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  const std::string Usage =
      std::string("sycamore-fake-service: plain service for tests and demos\n\n"
                  "Usage:\n  sycamore-fake-service [options]\n") +
      Fakes::FakeOptionsUsage;
  auto Start = Settings::parseCommandLine(Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  const auto Parsed = Fakes::FakeSettings::create(*Start.Reader);
  if (Settings::reportErrors(*Start.Reader))
    return Settings::UsageExitCode;
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok())
    return 1;
  Network::HttpClient Http(**Loop);
  Fakes::FakeServiceOptions Options;
  Options.Listen = Parsed.Listen;
  Options.Entries = Parsed.Entries;
  Options.BackendToken = Parsed.BackendToken;
  Options.Announcement = Parsed.Announcement;
  Options.Delay = Parsed.Delay;
  Options.RunsFile = Parsed.RunsFile;
  auto Service = Fakes::FakeService::create(**Loop, Http, Options);
  if (!Service.ok()) {
    std::cerr << Service.status().message() << "\n";
    return 1;
  }
  constexpr int CrashExitCode = 42;
  (*Service)->onCrash([] { std::_Exit(CrashExitCode); });
  (*Service)->announce();
  const Fakes::GracefulShutdown Shutdown(
      **Loop, [&] { (*Service)->announceLeaving(); },
      [&] { return (*Service)->isIdle(); });
  (*Loop)->run();
  return 0;
}
