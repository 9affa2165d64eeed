#include "Fakes/FakeSettings.h"

#include <csignal>

namespace Fakes {

namespace {

/// Also the time from SIGTERM to the first check, in which the entry daemons
/// learn that the server is leaving.
constexpr Common::Duration IdlePollInterval = std::chrono::seconds(1);

} // namespace

const char *const FakeOptionsUsage = R"(
Options:
  --name=NAME         Name of this backend server.
  --service=NAME      Service that it provides.
  --model=NAME        Loaded model, for model engines.
  --model-version=V   Version of the model.
  --host=NAME         Host that it runs on.
  --datacentre=NAME   Data centre of the host.
  --listen=IP:PORT    Address to listen on.
  --entries=LIST      Entry daemons to announce itself to.
  --slots=N           Maximum concurrent requests (default: 8).
  --cache-blocks=N    Prompt blocks in its cache (default: 4096).
  --delay-ms=N        Time per request, or per token (default: 5).
  --runs-file=PATH    File to which a plain service logs its runs.
  --price-milli=N     Price of the host per hour, in thousandths.
  -h --help           Show this text.
  --version           Show the version.

SYCAMORE_BACKEND_TOKEN, the bearer token of backend servers, is read from the
environment.
)";

FakeSettings FakeSettings::create(Settings::SettingsReader &Reader) {
  constexpr std::uint64_t DefaultSlots = 8;
  constexpr std::uint64_t DefaultBlocks = 4096;
  constexpr std::uint64_t DefaultDelayMs = 5;
  constexpr std::uint64_t MaxValue = 1'000'000;
  FakeSettings Result;
  Result.RunsFile = Reader.text("--runs-file", "");
  Result.Listen = Reader.address("--listen");
  Result.Entries = Reader.addresses("--entries");
  constexpr std::size_t MinSecretBytes = 16;
  Result.BackendToken = Reader.secret("SYCAMORE_BACKEND_TOKEN", MinSecretBytes);
  Membership::Announcement &Announcement = Result.Announcement;
  Announcement.BackendServer =
      Common::BackendServerId(Reader.required("--name"));
  Announcement.Service = Common::ServiceName(Reader.required("--service"));
  Announcement.Model = Common::ModelName(Reader.text("--model", ""));
  Announcement.ModelVersion = Reader.text("--model-version", "");
  Announcement.Host = Common::HostId(Reader.required("--host"));
  Announcement.DataCentre =
      Common::DataCentreId(Reader.required("--datacentre"));
  Announcement.Capacity.Slots =
      Reader.number("--slots", DefaultSlots, 1, MaxValue);
  Announcement.Capacity.CacheBlocks =
      Reader.number("--cache-blocks", DefaultBlocks, 0, MaxValue);
  Announcement.PricePerHour =
      double(Reader.number("--price-milli", 0, 0, MaxValue)) / 1000;
  Result.Delay = std::chrono::milliseconds(
      Reader.number("--delay-ms", DefaultDelayMs, 0, MaxValue));
  return Result;
}

GracefulShutdown::GracefulShutdown(Network::EventLoop &Loop,
                                   std::function<void()> OnShutdown,
                                   std::function<bool()> IsIdle)
    : Loop(Loop), OnShutdown(std::move(OnShutdown)), IsIdle(std::move(IsIdle)) {
  this->SignalHandler = Loop.onSignal(SIGTERM, [this] {
    this->OnShutdown();
    this->IdlePoll = this->Loop.callEvery(IdlePollInterval, [this] {
      if (this->IsIdle())
        this->Loop.stop();
    });
  });
}

} // namespace Fakes
