#include "Fakes/FakeSettings.h"

#include <csignal>

namespace Fakes {

namespace {

/// After this the entry daemons have heard that the server leaves.
constexpr Common::Duration LeaveGrace = std::chrono::seconds(1);

} // namespace

const char *const FakeOptions = R"(
Options:
  --name=NAME         Name of this backend server.
  --service=NAME      Service that it belongs to.
  --model=NAME        Model that it has loaded, for model engines.
  --model-version=V   Version of the model.
  --host=NAME         Host that it runs on.
  --datacentre=NAME   Data centre of the host.
  --listen=IP:PORT    Where it takes requests.
  --entries=LIST      Entry hosts to announce itself to.
  --slots=N           Requests that run together; 8 unless given.
  --cache-blocks=N    Prompt blocks that its cache holds; 4096 unless given.
  --delay-ms=N        Time for a call, or between tokens; 5 unless given.
  --runs-file=PATH    Where a plain service writes down what it ran.
  --price-milli=N     Price of the host for an hour, in thousandths.
  -h --help           Show this text.
  --version           Show the version.

SYCAMORE_BACKEND_TOKEN is read from the environment.
)";

FakeSettings FakeSettings::create(Settings::SettingsReader &Reader) {
  constexpr std::uint64_t DefaultSlots = 8;
  constexpr std::uint64_t DefaultBlocks = 4096;
  constexpr std::uint64_t DefaultDelayMs = 5;
  constexpr std::uint64_t Most = 1'000'000;
  FakeSettings Result;
  Result.RunsFile = Reader.text("--runs-file", "");
  Result.Listen = Reader.address("--listen");
  Result.Entries = Reader.addresses("--entries");
  constexpr std::size_t MinSecretBytes = 16;
  Result.BackendToken = Reader.secret("SYCAMORE_BACKEND_TOKEN", MinSecretBytes);
  Membership::Announcement &About = Result.About;
  About.BackendServer = Common::BackendServerId(Reader.required("--name"));
  About.Service = Common::ServiceName(Reader.required("--service"));
  About.Model = Common::ModelName(Reader.text("--model", ""));
  About.ModelVersion = Reader.text("--model-version", "");
  About.Host = Common::HostId(Reader.required("--host"));
  About.DataCentre = Common::DataCentreId(Reader.required("--datacentre"));
  About.Capacity.Slots = Reader.number("--slots", DefaultSlots, 1, Most);
  About.Capacity.CacheBlocks =
      Reader.number("--cache-blocks", DefaultBlocks, 0, Most);
  About.PricePerHour =
      double(Reader.number("--price-milli", 0, 0, Most)) / 1000;
  Result.Delay = std::chrono::milliseconds(
      Reader.number("--delay-ms", DefaultDelayMs, 0, Most));
  return Result;
}

GracefulStop::GracefulStop(Network::EventLoop &Loop,
                           std::function<void()> Leave,
                           std::function<bool()> Idle)
    : Loop(Loop), Leave(std::move(Leave)), Idle(std::move(Idle)) {
  this->Signal = Loop.onSignal(SIGTERM, [this] {
    this->Leave();
    this->Poll = this->Loop.callEvery(LeaveGrace, [this] {
      if (this->Idle())
        this->Loop.stop();
    });
  });
}

} // namespace Fakes
