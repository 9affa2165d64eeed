#include "Common/Random.h"
#include "Routing/RetryShare.h"
#include "TestSeeds.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

// Entry daemons that share a retry budget while daemons restart, are cut off
// from the leader, or the leader changes. Every request fails and each daemon
// retries whenever its share allows it. All times are simulated.

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using Common::Duration;
using Common::TimePoint;

constexpr Duration Step = 10ms;
constexpr Duration PollPeriod = 400ms;
/// The leader counts a daemon for this long after its last poll.
constexpr Duration EntryTimeout = 3s;
constexpr Duration Window = 10s;
/// Daemons have shared the budget for some time when the disturbance begins.
constexpr TimePoint Disturbance(40s);

struct FleetOptions {
  std::size_t Daemons = 8;
  double RequestsPerSecond = 50;
  Routing::RetryShareOptions Budget{0.2, 56, Window};
  /// A retry may wait this long for connections, to 4 unreachable servers in
  /// turn, before it is written. The wait is similar for retries at about the
  /// same time.
  Duration MaxWriteDelay = 1s;
  /// Windows that begin earlier are not measured.
  TimePoint MeasuredFrom = Disturbance - Window;
};

class RetryFleet {
public:
  RetryFleet(FleetOptions Options, std::uint64_t Seed)
      : Options(Options), Randomness(Seed) {
    for (std::size_t I = 0; I < Options.Daemons; ++I)
      this->Daemons.emplace_back(this->Options.Budget);
    for (auto &Each : this->Daemons)
      this->start(Each);
    this->changeConditions();
  }

  Common::Random &random() { return this->Randomness; }
  TimePoint now() const { return this->Now; }
  std::size_t size() const { return this->Daemons.size(); }

  /// Ends a daemon; its successor knows nothing of it.
  void restart(std::size_t Index, Duration DownTime) {
    this->Daemons[Index].DownUntil = this->Now + DownTime;
  }
  /// Polls of a daemon do not reach the leader, but requests and servers do.
  void cutOff(std::size_t Index, Duration For) {
    this->Daemons[Index].CutUntil = this->Now + For;
  }
  /// The new leader has heard of no daemon yet.
  void changeLeader(Duration Election, Duration MaxReconnection) {
    this->LastPolls.clear();
    for (std::size_t I = 0; I < this->size(); ++I)
      this->cutOff(I, std::max(this->Daemons[I].CutUntil - this->Now,
                               Election + this->Randomness.between(
                                              0s, MaxReconnection)));
  }

  void runUntil(TimePoint End) {
    for (; this->Now < End; this->Now += Step) {
      if (this->Randomness.chance(0.002))
        this->changeConditions();
      for (auto &Each : this->Daemons)
        this->updateDaemon(Each);
      if (this->Randomness.chance(this->Options.RequestsPerSecond *
                                  Common::toSeconds(Step)))
        this->sendRequest();
      for (auto &Each : this->Daemons)
        while (this->isUp(Each) && Each.Share.tryConsume(Service, this->Now))
          this->Retries.push_back(this->Now + this->WriteDelay);
    }
  }

  /// Retries by which the fullest window exceeds the budget, or a number of
  /// at most 0.
  double maxExcess() {
    std::sort(this->Retries.begin(), this->Retries.end());
    double Result = -this->Options.Budget.Extra;
    for (const TimePoint Each : this->Retries) {
      if (Each - Window >= this->Options.MeasuredFrom)
        Result = std::max(Result, this->excess(Each - Window, Each));
      if (Each >= this->Options.MeasuredFrom && Each + Window < this->Now)
        Result = std::max(Result, this->excess(Each, Each + Window));
    }
    return Result;
  }
  std::size_t retries() const { return this->Retries.size(); }

private:
  struct Daemon {
    explicit Daemon(Routing::RetryShareOptions Budget) : Share(Budget) {}
    Routing::RetryShare Share;
    std::uint64_t Weight = 1;
    TimePoint NextPollAt;
    std::optional<TimePoint> DownUntil;
    TimePoint CutUntil;
    struct Answer {
      TimePoint SentAt;
      TimePoint ArrivesAt;
      std::size_t Count;
    };
    std::vector<Answer> Answers;
  };

  static bool isUp(const Daemon &Each) { return !Each.DownUntil; }
  void start(Daemon &Each) {
    Each.Share = Routing::RetryShare(this->Options.Budget);
    Each.DownUntil.reset();
    Each.Answers.clear();
    Each.NextPollAt = this->Now + this->Randomness.between(0s, PollPeriod);
  }
  void updateDaemon(Daemon &Each) {
    if (Each.DownUntil && *Each.DownUntil <= this->Now)
      this->start(Each);
    if (!this->isUp(Each))
      return;
    if (Each.NextPollAt <= this->Now) {
      Each.NextPollAt += PollPeriod;
      if (Each.CutUntil <= this->Now)
        this->poll(Each);
    }
    std::erase_if(Each.Answers, [&](const Daemon::Answer &Answer) {
      if (Answer.ArrivesAt > this->Now)
        return false;
      Each.Share.updateDaemons(Answer.Count, Answer.SentAt, this->Now);
      return true;
    });
  }
  void poll(Daemon &Each) {
    this->LastPolls[&Each] = this->Now;
    std::size_t Live = 0;
    for (const auto &[Sender, At] : this->LastPolls)
      if (this->Now - At <= EntryTimeout)
        ++Live;
    Each.Answers.push_back(
        {this->Now, this->Now + this->Randomness.between(1ms, 300ms), Live});
  }
  void changeConditions() {
    for (auto &Each : this->Daemons)
      Each.Weight = 1 + this->Randomness.below(this->Randomness.below(50) + 1);
    this->WriteDelay =
        this->Randomness.between(0s, this->Options.MaxWriteDelay);
  }
  void sendRequest() {
    std::uint64_t Total = 0;
    for (const auto &Each : this->Daemons)
      Total += this->isUp(Each) ? Each.Weight : 0;
    std::uint64_t Position = this->Randomness.below(Total);
    for (auto &Each : this->Daemons) {
      if (!this->isUp(Each))
        continue;
      if (Position < Each.Weight) {
        Each.Share.recordRequest(Service, this->Now);
        this->Requests.push_back(this->Now);
        return;
      }
      Position -= Each.Weight;
    }
  }
  static double countBetween(const std::vector<TimePoint> &Times,
                             TimePoint First, TimePoint Last) {
    return static_cast<double>(
        std::upper_bound(Times.begin(), Times.end(), Last) -
        std::lower_bound(Times.begin(), Times.end(), First));
  }
  double excess(TimePoint First, TimePoint Last) const {
    return countBetween(this->Retries, First, Last) -
           this->Options.Budget.Ratio *
               countBetween(this->Requests, First, Last) -
           this->Options.Budget.Extra;
  }

  static inline const Common::ServiceName Service{"shop"};
  FleetOptions Options;
  Common::Random Randomness;
  TimePoint Now;
  Duration WriteDelay{};
  std::vector<Daemon> Daemons;
  std::map<const Daemon *, TimePoint> LastPolls;
  std::vector<TimePoint> Requests;
  std::vector<TimePoint> Retries;
};

void expectWithinBudget(const FleetOptions &Options,
                        const std::function<void(RetryFleet &)> &Play) {
  const TestSeeds Seeds = TestSeeds::create(20);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    RetryFleet Fleet(Options, Seed);
    Play(Fleet);
    const double Excess = Fleet.maxExcess();
    BOOST_TEST_MESSAGE("seed " << Seed << ": excess " << Excess << ", retries "
                               << Fleet.retries());
    BOOST_CHECK_MESSAGE(Excess <= 0, "seed " << Seed << ": " << Excess
                                             << " retries too many");
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryShare_)

// Guards against a budget that is exceeded without any disturbance.
BOOST_AUTO_TEST_CASE(AnUndisturbedFleetStaysWithinTheBudget) {
  expectWithinBudget(
      {}, [](RetryFleet &Fleet) { Fleet.runUntil(Disturbance + 60s); });
}

// Guards against a share that is used twice in a window, before and after a
// restart.
BOOST_AUTO_TEST_CASE(RestartsInTurnStayWithinTheBudget) {
  expectWithinBudget({}, [](RetryFleet &Fleet) {
    for (std::size_t I = 0; I < 2 * Fleet.size(); ++I) {
      Fleet.runUntil(std::max(Fleet.now(), Disturbance) +
                     Fleet.random().between(200ms, 2s));
      Fleet.restart(I % Fleet.size(), Fleet.random().between(50ms, 1s));
    }
    Fleet.runUntil(Fleet.now() + 60s);
  });
}

// The same, with all daemons killed at once, several times.
BOOST_AUTO_TEST_CASE(RestartsOfAllStayWithinTheBudget) {
  expectWithinBudget({}, [](RetryFleet &Fleet) {
    Fleet.runUntil(Disturbance);
    for (int Round = 0; Round < 3; ++Round) {
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        Fleet.restart(I, Fleet.random().between(50ms, 1s));
      Fleet.runUntil(Fleet.now() + Fleet.random().between(1500ms, 5s));
    }
    Fleet.runUntil(Fleet.now() + 60s);
  });
}

// Guards against a share that assumes fewer daemons than there are until the
// leader has told the number.
BOOST_AUTO_TEST_CASE(ALargeFleetStartsWithinTheBudget) {
  FleetOptions Options;
  Options.Daemons = 40;
  Options.MeasuredFrom = TimePoint(0s);
  expectWithinBudget(Options, [](RetryFleet &Fleet) {
    Fleet.changeLeader(2s, 1s);
    Fleet.runUntil(TimePoint(60s));
  });
}

// Guards against shares that grow as the leader no longer counts daemons that
// still use theirs.
BOOST_AUTO_TEST_CASE(DaemonsCutOffFromTheLeaderStayWithinTheBudget) {
  expectWithinBudget({}, [](RetryFleet &Fleet) {
    Fleet.runUntil(Disturbance);
    const std::size_t Cut = 1 + Fleet.random().below(Fleet.size() - 1);
    const Duration For = Fleet.random().between(2s, 40s);
    for (std::size_t I = 0; I < Cut; ++I)
      Fleet.cutOff(I, For);
    Fleet.runUntil(Fleet.now() + 90s);
  });
}

// Guards against shares that grow as a new leader has heard of few daemons.
BOOST_AUTO_TEST_CASE(ANewLeaderKeepsTheFleetWithinTheBudget) {
  expectWithinBudget({}, [](RetryFleet &Fleet) {
    Fleet.runUntil(Disturbance);
    Fleet.changeLeader(Fleet.random().between(300ms, 2s), 2s);
    Fleet.runUntil(Fleet.now() + 60s);
  });
}

// The same, with some daemons that the new leader hears of late or never.
BOOST_AUTO_TEST_CASE(ANewLeaderInACutKeepsTheFleetWithinTheBudget) {
  expectWithinBudget({}, [](RetryFleet &Fleet) {
    Fleet.runUntil(Disturbance);
    const std::size_t Cut = 1 + Fleet.random().below(Fleet.size() - 1);
    const Duration For = Fleet.random().between(2s, 40s);
    for (std::size_t I = 0; I < Cut; ++I)
      Fleet.cutOff(I, For);
    Fleet.changeLeader(Fleet.random().between(300ms, 2s), 2s);
    Fleet.runUntil(Fleet.now() + 90s);
  });
}

// Restarts, cuts and new leaders in random order, on fleets of several sizes
// and loads.
BOOST_AUTO_TEST_CASE(MixedFailuresStayWithinTheBudget) {
  for (const std::size_t Daemons : {3, 8, 40})
    for (const double RequestsPerSecond : {10.0, 80.0}) {
      FleetOptions Options;
      Options.Daemons = Daemons;
      Options.RequestsPerSecond = RequestsPerSecond;
      expectWithinBudget(Options, [](RetryFleet &Fleet) {
        while (Fleet.now() < TimePoint(180s)) {
          Fleet.runUntil(Fleet.now() + Fleet.random().exponential(2s));
          const std::size_t Index = Fleet.random().below(Fleet.size());
          switch (Fleet.random().below(8)) {
          case 0:
            Fleet.changeLeader(Fleet.random().between(300ms, 3s), 2s);
            break;
          case 1:
          case 2:
          case 3:
            Fleet.cutOff(Index, Fleet.random().exponential(8s));
            break;
          default:
            Fleet.restart(Index, Fleet.random().between(50ms, 2s));
          }
        }
      });
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
