#include "Routing/SpeedEstimator.h"

#include "Common/Random.h"
#include "Network/Codec.h"
#include "State/ControlProtocol.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <set>

namespace UnitTests {

namespace {

using namespace Routing;

constexpr std::size_t ServerCount = 24;
constexpr double StepBase = 4;
constexpr double StepPerRequest = 0.1;
constexpr double PromptRate = 55;
constexpr double Running = 20;

/// Servers of different speeds whose work is reported by several entry daemons,
/// each every 400 ms.
class Fleet {
public:
  explicit Fleet(std::size_t DaemonCount)
      : Sums(DaemonCount, std::vector<ServerTiming>(ServerCount)) {}

  /// How many times longer a server takes at a time.
  std::function<double(std::size_t, double)> Slowness =
      [](std::size_t, double) { return 1.0; };
  /// Published speeds of decoding.
  std::vector<double> Speeds = std::vector<double>(ServerCount, 1);
  std::vector<EngineProfile> Engines;

  void runUntil(double Seconds) {
    for (; this->Seconds < Seconds; this->Seconds += 0.02)
      this->step();
  }

private:
  static Common::BackendServerId idOf(std::size_t Server) {
    return Common::BackendServerId("s" + std::to_string(Server));
  }
  void step() {
    const Common::TimePoint Now = Common::TimePoint(std::chrono::seconds(100)) +
                                  Common::fromSeconds(this->Seconds);
    for (std::size_t I = 0; I < ServerCount; ++I) {
      const double Slow = this->Slowness(I, this->Seconds);
      ServerTiming &Sum = this->Sums[this->Randomness.below(Sums.size())][I];
      const double Steps =
          Running * 20 / ((StepBase + StepPerRequest * Running) * Slow);
      Sum.DecodeSteps += static_cast<float>(Steps);
      Sum.DecodeRequestSteps += static_cast<float>(Steps * Running);
      Sum.DecodeMilliseconds += 20 * Running;
      // About five prompts a second, of which some were cached.
      if (!this->Randomness.chance(0.1))
        continue;
      const double Tokens = 6600;
      const double Cached = this->Randomness.chance(0.1) ? 0.3 : 1;
      Sum.PrefillTokens += static_cast<float>(Tokens);
      Sum.PrefillMilliseconds +=
          static_cast<float>(Tokens * Cached / PromptRate * Slow);
    }
    const auto Tick = static_cast<std::size_t>(std::lround(Seconds / 0.02));
    for (std::size_t D = 0; D < this->Sums.size(); ++D) {
      if (Tick % 20 != D % 20)
        continue;
      for (std::size_t I = 0; I < ServerCount; ++I) {
        ServerTiming &Sum = this->Sums[D][I];
        if (Sum.DecodeSteps == 0)
          continue;
        Sum.Id = idOf(I);
        Sum.StartedAt = 1;
        Sum.Service = Common::ServiceName("models");
        this->Estimator.record(Sum, Now);
        Sum = ServerTiming();
      }
    }
    if (Tick % 5 != 0)
      return;
    const auto Update = this->Estimator.take(Now);
    if (!Update)
      return;
    if (!Update->Engines.empty()) {
      this->Engines = Update->Engines;
      this->Speeds.assign(ServerCount, 1);
    }
    for (const ServerSpeed &Each : Update->Servers)
      this->Speeds[static_cast<std::size_t>(
          std::stoul(Each.Id.str().substr(1)))] = Each.Decode;
  }

  double Seconds = 0;
  Common::Random Randomness{7};
  SpeedEstimator Estimator;
  std::vector<std::vector<ServerTiming>> Sums;
};

/// One slow period of 600 ms in each 4 s, at a time of its own for each server:
/// 15 % of the time.
double spell(std::size_t Server, double Seconds) {
  const auto Cycle = static_cast<std::uint64_t>(Seconds / 4);
  Common::Random Randomness(Server * 1000 + Cycle);
  const double Start =
      4 * static_cast<double>(Cycle) + (4 - 0.6) * Randomness.fraction();
  return Seconds >= Start && Seconds < Start + 0.6 ? 2.5 : 1;
}

double spread(std::size_t Server) {
  constexpr double Spread[] = {0.6, 1, 1.6};
  return Spread[Server % 3];
}

} // namespace

BOOST_AUTO_TEST_SUITE(SpeedEstimator_)

// Guards against placing as if all servers were equal.
BOOST_AUTO_TEST_CASE(SpeedsAndProfileAreLearnt) {
  for (const std::size_t Daemons : {8U, 67U, 294U}) {
    Fleet Test(Daemons);
    Test.Slowness = [](std::size_t I, double) { return 1 / spread(I); };
    Test.runUntil(10);
    for (std::size_t I = 0; I < ServerCount; ++I) {
      const double Ratio = Test.Speeds[I] / Test.Speeds[1];
      BOOST_TEST(Ratio > 0.85 * spread(I));
      BOOST_TEST(Ratio < 1.15 * spread(I));
    }
    BOOST_REQUIRE(Test.Engines.size() == 1U);
  }
}

// A sixth of the servers becomes 3.5 times slower and recovers. Within 1 s,
// placement must know, in both directions.
BOOST_AUTO_TEST_CASE(SuddenChangesAreKnownWithinASecond) {
  for (const std::size_t Daemons : {8U, 67U, 294U}) {
    Fleet Test(Daemons);
    Test.Slowness = [](std::size_t I, double Seconds) {
      return I % 6 == 0 && Seconds >= 10 && Seconds < 20 ? 3.5 : 1;
    };
    Test.runUntil(10);
    for (const double Each : Test.Speeds)
      BOOST_TEST(Each == 1);
    Test.runUntil(11);
    for (std::size_t I = 0; I < ServerCount; ++I) {
      BOOST_TEST_CONTEXT(Daemons << " daemons, server " << I) {
        if (I % 6 == 0)
          BOOST_TEST(Test.Speeds[I] < 0.45);
        else
          BOOST_TEST(Test.Speeds[I] > 0.8);
      }
    }
    Test.runUntil(21);
    for (std::size_t I = 0; I < ServerCount; ++I)
      BOOST_TEST(Test.Speeds[I] > 0.75);
  }
}

// Guards against moving requests back and forth with the noise of shared hosts.
BOOST_AUTO_TEST_CASE(ShortSlowPeriodsDoNotChangeSpeedsMuch) {
  for (const std::size_t Daemons : {8U, 294U}) {
    Fleet Test(Daemons);
    Test.Slowness = spell;
    Test.runUntil(10);
    std::size_t Far = 0;
    std::size_t Changes = 0;
    std::vector<double> Last = Test.Speeds;
    for (int I = 1; I <= 400; ++I) {
      Test.runUntil(10 + I * 0.1);
      for (std::size_t S = 0; S < ServerCount; ++S) {
        Far += Test.Speeds[S] < 0.6 || Test.Speeds[S] > 1.6;
        Changes += std::abs(std::log(Test.Speeds[S] / Last[S])) > 0.3;
      }
      Last = Test.Speeds;
    }
    // 400 observations of 24 servers. Two or three spells in a row look like a
    // change, and are one.
    BOOST_TEST(Far < 400 * ServerCount / 20);
    // Less than one change for each server in 10 s.
    BOOST_TEST(Changes < 4 * ServerCount);
  }
}

// A server that was restarted must not inherit the speed.
BOOST_AUTO_TEST_CASE(SpeedEndsWithTheIncarnation) {
  SpeedEstimator Estimator;
  Common::TimePoint Now{std::chrono::seconds(100)};
  const auto Report = [&](const std::string &Id, std::uint64_t StartedAt,
                          float Milliseconds) {
    ServerTiming Timing;
    Timing.Id = Common::BackendServerId(Id);
    Timing.StartedAt = StartedAt;
    Timing.Service = Common::ServiceName("models");
    Timing.DecodeSteps = 100;
    Timing.DecodeRequestSteps = 1000;
    Timing.DecodeMilliseconds = Milliseconds;
    Estimator.record(Timing, Now);
  };
  std::map<std::string, ServerSpeed> Speeds;
  const auto Take = [&] {
    if (const auto Update = Estimator.take(Now)) {
      if (!Update->Engines.empty())
        Speeds.clear();
      for (const ServerSpeed &Each : Update->Servers)
        Speeds[Each.Id.str()] = Each;
    }
    Now += std::chrono::milliseconds(100);
  };
  for (int I = 0; I < 100; ++I) {
    Report("a", 1, 500);
    Report("b", 1, 500);
    Report("c", 1, 1500);
    Take();
  }
  BOOST_REQUIRE(Speeds.count("c") == 1U);
  BOOST_TEST(Speeds["c"].Decode < 0.6);
  for (int I = 0; I < 25; ++I) {
    Report("c", 2, 700);
    Report("c", 1, 1500);
    Take();
  }
  BOOST_TEST((Speeds.count("c") == 0U || Speeds["c"].StartedAt == 2U));
}

// Values that no honest daemon sends must not enter the profile.
BOOST_AUTO_TEST_CASE(ImpossibleReportsAreIgnored) {
  SpeedEstimator Estimator;
  const Common::TimePoint Now{std::chrono::seconds(100)};
  ServerTiming Timing;
  Timing.Id = Common::BackendServerId("a");
  Timing.Service = Common::ServiceName("models");
  Timing.DecodeSteps = std::nanf("");
  Estimator.record(Timing, Now);
  Timing.DecodeSteps = -1;
  Estimator.record(Timing, Now);
  BOOST_TEST(!Estimator.take(Now + std::chrono::seconds(10)).has_value());
}

// Entry hosts have 7.5 Mbit/s links, and all control traffic of an entry daemon
// together stays under 30 KB/s. Speeds and reports may take a tenth of it each
// with 64 servers, none of which is like the others.
BOOST_AUTO_TEST_CASE(FramesAreSmall) {
  State::ServerSpeeds Speeds;
  Speeds.Engines.push_back({Common::ServiceName("huvo11a"), 55, 4, 0.1});
  State::EntryReport Report;
  Report.Entry = Common::DaemonId("entry-294");
  for (int I = 0; I < 64; ++I) {
    const Common::BackendServerId Id("i-5489407" + std::to_string(100 + I));
    const std::uint64_t StartedAt = 1'790'000'000'000;
    Speeds.Servers.push_back({Id, StartedAt, 0.6F, 1.6F});
    // A daemon has about 8 requests a second, which last 2 to 3 s.
    if (I < 20)
      Report.Timings.push_back({Id, StartedAt,
                                Common::ServiceName(I == 0 ? "huvo11a" : ""),
                                6600, 120, 700, 14000, 3000});
  }
  constexpr double Bound = 3000;
  const double SpeedBytes =
      static_cast<double>(Network::encode(State::ControlFrame(Speeds)).size());
  const double ReportBytes =
      static_cast<double>(Network::encode(State::ControlFrame(Report)).size());
  // All speeds every 2 s; a report every 400 ms.
  BOOST_TEST(SpeedBytes / 2 < Bound);
  BOOST_TEST(ReportBytes * 2.5 < Bound);
  BOOST_TEST_MESSAGE("speeds " << SpeedBytes << " report " << ReportBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
