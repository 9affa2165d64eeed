#include "Fakes/FakeEngine.h"
#include "Fakes/FakeSettings.h"

#include <cstdlib>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  const std::string Usage =
      std::string("sycamore-fake-engine: model engine for tests and demos\n\n"
                  "Usage:\n  sycamore-fake-engine [options]\n") +
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
  Fakes::FakeEngineOptions Options;
  Options.Listen = Parsed.Listen;
  Options.Entries = Parsed.Entries;
  Options.BackendToken = Parsed.BackendToken;
  Options.Announcement = Parsed.Announcement;
  Options.TokenDelay = Parsed.Delay;
  auto Engine = Fakes::FakeEngine::create(**Loop, Http, Options);
  if (!Engine.ok()) {
    std::cerr << Engine.status().message() << "\n";
    return 1;
  }
  constexpr int CrashExitCode = 42;
  (*Engine)->onCrash([] { std::_Exit(CrashExitCode); });
  (*Engine)->announce();
  const Fakes::GracefulShutdown Shutdown(
      **Loop, [&] { (*Engine)->announceLeaving(); },
      [&] { return (*Engine)->isIdle(); });
  (*Loop)->run();
  return 0;
}
