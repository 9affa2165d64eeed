#include "Fakes/FakeCloud.h"
#include "Settings/SettingsReader.h"

#include <csignal>
#include <iostream>

namespace {

const char *const Usage = R"(sycamore-fake-cloud: stand-in for a cloud

Usage:
  sycamore-fake-cloud [options]

Options:
  --listen=IP:PORT    Where it takes requests.
  --entries=LIST      Entry hosts that its hosts announce themselves to.
  --centres=LIST      Data centres that it offers, separated by commas.
  --first-port=N      Hosts listen on the ports after this one.
  --start-ms=N        Time to start a host; 200 unless given.
  --load-ms=N         Time to load a model; 300 unless given.
  -h --help           Show this text.
  --version           Show the version.

SYCAMORE_BACKEND_TOKEN is read from the environment.
)";

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start = Settings::parseCommandLine(Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  constexpr std::uint64_t DefaultStartMs = 200;
  constexpr std::uint64_t DefaultLoadMs = 300;
  constexpr std::uint64_t MostMs = 3'600'000;
  constexpr std::uint64_t MostPort = 65'000;
  constexpr std::size_t MinSecretBytes = 16;
  auto &Reader = *Start.Reader;
  Fakes::FakeCloudOptions Options;
  Options.Listen = Reader.address("--listen");
  Options.Entries = Reader.addresses("--entries");
  Options.DataCentres = Reader.list("--centres");
  Options.BackendToken =
      Reader.secret("SYCAMORE_BACKEND_TOKEN", MinSecretBytes);
  Options.FirstHostPort =
      static_cast<std::uint16_t>(Reader.number("--first-port", 1, 1, MostPort));
  Options.StartDelay = std::chrono::milliseconds(
      Reader.number("--start-ms", DefaultStartMs, 0, MostMs));
  Options.LoadDelay = std::chrono::milliseconds(
      Reader.number("--load-ms", DefaultLoadMs, 0, MostMs));
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
  const auto Stop = (*Loop)->onSignal(SIGTERM, [&] { (*Loop)->stop(); });
  (*Loop)->run();
  return 0;
}
