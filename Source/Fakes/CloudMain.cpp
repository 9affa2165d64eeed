#include "Fakes/FakeCloud.h"
#include "Settings/SettingsReader.h"

#include <csignal>
#include <iostream>

namespace {

const char *const Usage = R"(sycamore-fake-cloud: cloud API for tests and demos

Usage:
  sycamore-fake-cloud [options]

Options:
  --listen=IP:PORT    Address to listen on.
  --entries=LIST      Entry daemons to which its hosts announce themselves.
  --centres=LIST      Data centres to offer, separated by commas.
  --first-port=N      Hosts listen on the ports after this one.
  --start-ms=N        Time to start a host (default: 200).
  --load-ms=N         Time to load a model (default: 300).
  -h --help           Show this text.
  --version           Show the version.

SYCAMORE_BACKEND_TOKEN, the bearer token of backend servers, is read from the
environment.
)";

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start = Settings::parseCommandLine(Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  constexpr std::uint64_t DefaultStartMs = 200;
  constexpr std::uint64_t DefaultLoadMs = 300;
  constexpr std::uint64_t MaxMs = 3'600'000;
  constexpr std::uint64_t MaxPort = 65'000;
  constexpr std::size_t MinSecretBytes = 16;
  auto &Reader = *Start.Reader;
  Fakes::FakeCloudOptions Options;
  Options.Listen = Reader.address("--listen");
  Options.Entries = Reader.addresses("--entries");
  Options.DataCentres = Reader.list("--centres");
  Options.BackendToken =
      Reader.secret("SYCAMORE_BACKEND_TOKEN", MinSecretBytes);
  Options.FirstHostPort =
      static_cast<std::uint16_t>(Reader.number("--first-port", 1, 1, MaxPort));
  Options.StartDelay = std::chrono::milliseconds(
      Reader.number("--start-ms", DefaultStartMs, 0, MaxMs));
  Options.LoadDelay = std::chrono::milliseconds(
      Reader.number("--load-ms", DefaultLoadMs, 0, MaxMs));
  if (Settings::reportErrors(Reader))
    return Settings::UsageExitCode;
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok())
    return 1;
  Network::HttpClient Http(**Loop);
  auto Cloud = Fakes::FakeCloud::create(**Loop, Http, Options);
  if (!Cloud.ok()) {
    std::cerr << Cloud.status().message() << "\n";
    return 1;
  }
  const auto TerminationHandler =
      (*Loop)->onSignal(SIGTERM, [&] { (*Loop)->stop(); });
  (*Loop)->run();
  return 0;
}
