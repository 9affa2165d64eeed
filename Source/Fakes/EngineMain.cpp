#include "Fakes/FakeEngine.h"
#include "Fakes/FakeSettings.h"

#include <cstdlib>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  const std::string Usage =
      std::string("sycamore-fake-engine: stand-in for a model engine\n\n"
                  "Usage:\n  sycamore-fake-engine [options]\n") +
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
  Fakes::FakeEngineOptions Options;
  Options.Listen = Chosen.Listen;
  Options.Entries = Chosen.Entries;
  Options.BackendToken = Chosen.BackendToken;
  Options.About = Chosen.About;
  Options.TokenDelay = Chosen.Delay;
  auto Engine = Fakes::FakeEngine::create(**Loop, Http, Options);
  if (!Engine.ok()) {
    std::cerr << Engine.status().message() << "\n";
    return 1;
  }
  constexpr int CrashExitCode = 42;
  (*Engine)->onCrash([] { std::_Exit(CrashExitCode); });
  (*Engine)->announce();
  const Fakes::GracefulStop Stop(
      **Loop, [&] { (*Engine)->leave(); }, [&] { return (*Engine)->idle(); });
  (*Loop)->run();
  return 0;
}
