#include "LoadTool/LoadGenerator.h"
#include "Settings/SettingsReader.h"

#include <absl/strings/str_format.h>
#include <iostream>

namespace {

const char *const Usage =
    R"(sycamore-load: open-loop load generator for HTTP servers

Usage:
  sycamore-load [options]

Options:
  --targets=LIST      Servers as IP:PORT, separated by commas; called in turn.
  --method=NAME       GET, POST, ...; GET unless given.
  --path=PATH         Path of each call; / unless given.
  --body=TEXT         Body of each call.
  --key=KEY           Caller's key, sent as a bearer token.
  --rate=N            Mean calls per second; 100 unless given.
  --seconds=N         Duration of the run; 10 unless given.
  --seed=N            Seed of the arrival times; 1 unless given.
  --unique-keys       Give each call an Idempotency-Key.
  -h --help           Show this text.
  --version           Show the version.
)";

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start = Settings::parseCommandLine(Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  constexpr std::uint64_t MaxRate = 1'000'000;
  constexpr std::uint64_t DefaultRate = 100;
  constexpr std::uint64_t MaxSeconds = 3600;
  auto &Reader = *Start.Reader;
  LoadTool::LoadOptions Options;
  Options.Targets = Reader.addresses("--targets");
  if (Options.Targets.empty())
    Reader.addError("--targets",
                    "is missing; give the address of at least one server");
  const auto Method = Network::parseHttpMethod(Reader.text("--method", "GET"));
  if (Method)
    Options.Method = *Method;
  else
    Reader.addError("--method",
                    "is not an HTTP method; use for example GET or POST");
  Options.Path = Reader.text("--path", "/");
  Options.Body = Reader.text("--body", "");
  Options.UniqueKeys = Reader.flag("--unique-keys");
  Options.Rate = double(Reader.number("--rate", DefaultRate, 1, MaxRate));
  Options.Duration =
      std::chrono::seconds(Reader.number("--seconds", 10, 1, MaxSeconds));
  Options.Seed = Reader.number("--seed", 1, 1, ~0ULL);
  const std::string Key = Reader.text("--key", "");
  if (!Key.empty())
    Options.Headers.push_back({"Authorization", "Bearer " + Key});
  if (Settings::reportErrors(Reader))
    return Settings::UsageExitCode;
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok())
    return 1;
  constexpr double MillisecondsPerSecond = 1000;
  const double Seconds = Common::toSeconds(Options.Duration);
  const auto Result = LoadTool::LoadGenerator(**Loop, Options).run();
  std::cout << absl::StrFormat(
      "asked %d (%.0f/s)  p50 %.3f  p95 %.3f  p99 %.3f  max %.3f ms ",
      Result.Sent, double(Result.Sent) / Seconds,
      Result.latencyQuantile(0.5) * MillisecondsPerSecond,
      Result.latencyQuantile(0.95) * MillisecondsPerSecond,
      Result.latencyQuantile(0.99) * MillisecondsPerSecond,
      Result.latencyQuantile(1) * MillisecondsPerSecond);
  for (const auto &[Status, Count] : Result.Statuses)
    std::cout << absl::StrFormat(" status %d: %d", Status, Count);
  std::cout << "\n";
  return 0;
}
