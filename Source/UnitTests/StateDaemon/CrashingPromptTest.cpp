#include "EntryDaemon/PromptCrashReporter.h"
#include "EntryDaemon/RefusalList.h"
#include "Routing/AnswerProgress.h"
#include "StateDaemon/EntryDaemonTracker.h"

#include "Common/Random.h"
#include "UnitTests/TestSeeds.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;

/// The seeds that each case is played with.
TestSeeds seeds() { return TestSeeds::create(2); }

/// How the answers of servers end.
enum class Framing { Framed, AtClose };

/// What happens to servers besides harmful requests.
enum class Trouble {
  None,
  /// A quarter of the servers crashes at once, every 8 s.
  Crash,
  /// One server after another crashes.
  Flap,
  /// The connections of a quarter of the servers are reset every 2 s.
  Reset,
  /// A fifth of the answers is cut off at a random point.
  Garble
};

struct Plan {
  std::size_t Daemons = 8;
  std::size_t Servers = 14;
  double SoundPerSecond = 40;
  /// Of each harmful part.
  double HarmfulPerSecond = 2;
  /// Positions of the harmful parts in their prompts; none if empty.
  std::vector<std::size_t> HarmfulPositions;
  Framing Ends = Framing::Framed;
  Trouble Kind = Trouble::None;
  /// Announcements arrive up to this much later than they were sent, out of
  /// order, and some of them twice.
  Common::Duration AnnouncementDelay{};
  /// When the leader is replaced by one that knows only the replicated state.
  std::optional<Common::Duration> LeaderLost;
  /// When all daemons are restarted.
  std::optional<Common::Duration> AllRestarted;
  Common::Duration Length = 100s;
};

/// Entry daemons, a leader and servers without a network, with the daemons' own
/// decisions on what crashes servers. Servers crash when they begin to write an
/// answer on a harmful part.
class CrashSimulation {
public:
  CrashSimulation(Plan Setup, std::uint64_t Seed)
      : Setup(std::move(Setup)), Randomness(Seed) {
    for (std::size_t I = 0; I < this->Setup.Servers; ++I)
      this->Servers.push_back(
          {Common::BackendServerId("i-" + std::to_string(I)),
           {"10.0.0.1", static_cast<std::uint16_t>(I + 1)},
           ++this->Starts});
    this->restartEntries();
    this->restartLeader();
  }

  void run() {
    const Common::TimePoint End = this->Start + this->Setup.Length;
    while (this->Now < End) {
      this->Now += Step;
      this->step();
    }
  }

  /// Crashes caused by each harmful part, and the requests with it that reached
  /// servers later than ContactTime after its fifth crash.
  std::vector<std::size_t> Crashes;
  std::vector<std::size_t> LateArrivals;
  /// Sound requests since the first crash that is caused by a harmful part, and
  /// how many of them were refused.
  std::size_t Sound = 0;
  std::size_t SoundRefused = 0;
  /// The longest time for which anything without a harmful part was refused.
  Common::Duration LongestFalseRefusal{};

private:
  static constexpr Common::Duration Step = 20ms;
  static constexpr Common::Duration PollPeriod = 400ms;
  static constexpr Common::Duration ContactTime = 3s;
  static constexpr Common::Duration DownTime = 3s;
  static constexpr Common::CauseHash FirstHarmfulPart = 900'000;

  struct Server {
    Common::BackendServerId Id;
    Network::Address Address;
    std::uint64_t StartedAt = 0;
    std::uint64_t Sequence = 0;
    Common::TimePoint DownUntil{};
  };
  struct Daemon {
    explicit Daemon(Common::TimePoint Now) : Refusals(Now) {}
    EntryDaemon::PromptCrashReporter Reporter;
    EntryDaemon::RefusalList Refusals;
    Routing::LivenessEvidence Liveness;
    std::vector<std::pair<State::SupposedCrash, Common::TimePoint>>
        SupposedCrashes;
    Membership::ServerRegistry Known;
    std::uint64_t Polls = 0;
  };
  struct Run {
    std::size_t Entry = 0;
    std::size_t At = 0;
    Common::CauseSet Parts;
    Common::CauseSet Causes;
    std::optional<std::size_t> Harmful;
    bool IsProbe = false;
    std::uint32_t Attempts = 1;
    Common::TimePoint SentAt;
    Common::TimePoint BeginsAt;
    Common::TimePoint CrashesAt;
    Common::TimePoint EndsAt;
    std::optional<Common::TimePoint> CutAt;
    Routing::AnswerProgress Progress;
    bool SurvivalRecorded = false;
  };

  void restartEntries() {
    this->Runs.clear();
    this->Entries.clear();
    for (std::size_t I = 0; I < this->Setup.Daemons; ++I)
      this->Entries.push_back(std::make_unique<Daemon>(this->Now));
  }
  void restartLeader() {
    this->Leader = std::make_unique<StateDaemon::EntryDaemonTracker>(
        Admission::AllowanceTolerance{}, this->Now);
  }

  bool every(Common::Duration Period) const {
    return (this->Now - this->Start) % Period < Step;
  }
  bool happens(std::optional<Common::Duration> Time) const {
    return Time && this->Now - this->Start >= *Time &&
           this->Now - this->Start - Step < *Time;
  }

  void step() {
    if (this->happens(this->Setup.LeaderLost))
      this->restartLeader();
    if (this->happens(this->Setup.AllRestarted)) {
      this->restartLeader();
      this->restartEntries();
      // Daemons serve only after an answer of the leader.
      for (std::size_t I = 0; I < this->Entries.size(); ++I)
        this->poll(I);
    }
    this->startTrouble();
    if (this->every(1000ms))
      this->announce();
    this->receiveDelayed();
    for (std::size_t I = 0; I < this->Entries.size(); ++I)
      if ((this->Now - this->Start + Step * static_cast<int>(I)) % PollPeriod <
          Step)
        this->poll(I);
    if (this->every(100ms))
      for (const auto &Each :
           this->Leader->planRefusals(this->State, this->Known, this->Now))
        this->State.apply(Each);
    if (this->every(260ms))
      this->Leader->expire(this->Now);
    this->startRequests();
    this->progressRuns();
    this->noteFalseRefusals();
  }

  void announce() {
    for (Server &Each : this->Servers) {
      if (Each.DownUntil > this->Now)
        continue;
      Membership::ServerRecord Record;
      Record.Id = Each.Id;
      Record.Address = Each.Address;
      Record.StartedAt = Each.StartedAt;
      Record.Sequence = ++Each.Sequence;
      if (this->Setup.AnnouncementDelay == Common::Duration::zero()) {
        this->receive(Record);
        continue;
      }
      do
        this->DelayedAnnouncements.emplace(
            this->Now +
                this->Randomness.between(0ms, this->Setup.AnnouncementDelay),
            Record);
      while (this->Randomness.chance(0.2));
    }
  }
  void receive(const Membership::ServerRecord &Record) {
    this->Known.update(Record, this->Now);
    for (const auto &Entry : this->Entries)
      Entry->Known.update(Record, this->Now);
  }
  void receiveDelayed() {
    auto &Delayed = this->DelayedAnnouncements;
    while (!Delayed.empty() && Delayed.begin()->first <= this->Now) {
      this->receive(Delayed.begin()->second);
      Delayed.erase(Delayed.begin());
    }
  }

  void poll(std::size_t Index) {
    Daemon &Sender = *this->Entries[Index];
    State::EntryPoll Poll;
    Poll.Entry = Common::DaemonId("e" + std::to_string(Index));
    Poll.Incarnation = {1};
    Poll.Sequence = ++Sender.Polls;
    Sender.Reporter.fillPoll(Poll, Sender.Known, Sender.Liveness, this->Now);
    Poll.UsedRefusals = Sender.Refusals.takeUsed();
    const State::EntryPollResponse Answer =
        this->Leader->handlePoll(Poll, nullptr, this->State, this->Now);
    Sender.Refusals.replace(Answer.Refusals, this->Now);
    Sender.Refusals.grantProbes(Answer.Probes, this->Now);
    Sender.Reporter.setSuspects(Answer.Suspects);
    this->reportDisproofs(Sender);
  }

  void reportDisproofs(Daemon &Sender) {
    std::vector<std::uint64_t> Disproved;
    for (const auto &[Crash, At] : Sender.SupposedCrashes)
      if (Sender.Liveness.hasSurvived({Crash.Server, {Crash.StartedAt}}, At))
        Disproved.push_back(Crash.Number);
    Sender.SupposedCrashes.clear();
    for (const State::SupposedCrash &Each :
         this->Leader->handleDisproofs(Disproved, this->Now)) {
      const Common::TimePoint At =
          this->Now - std::chrono::milliseconds(Each.AgeMilliseconds);
      Sender.SupposedCrashes.emplace_back(Each, At);
      Sender.Reporter.recordSupposedCrash(Each.Server, Each.StartedAt, At);
    }
    Sender.Liveness.removeExpired(this->Now);
  }

  void startTrouble() {
    const std::size_t Quarter = this->Setup.Servers / 4;
    if (this->Setup.Kind == Trouble::Crash && this->every(8000ms))
      for (std::size_t I = 0; I < Quarter; ++I)
        this->crash(this->Randomness.below(this->Setup.Servers));
    if (this->Setup.Kind == Trouble::Flap && this->every(500ms))
      this->crash(this->Randomness.below(this->Setup.Servers));
    if (this->Setup.Kind == Trouble::Reset && this->every(2000ms))
      for (std::size_t I = 0; I < Quarter; ++I)
        this->loseRuns(this->Randomness.below(this->Setup.Servers));
  }

  void startRequests() {
    const double Steps = Common::toSeconds(Step);
    for (double Rest = this->Setup.SoundPerSecond * Steps; Rest > 0; Rest -= 1)
      if (this->Randomness.chance(std::min(1.0, Rest)))
        this->startRequest(std::nullopt);
    if (this->Now - this->Start < 5s)
      return;
    this->Crashes.resize(this->Setup.HarmfulPositions.size());
    this->LateArrivals.resize(this->Crashes.size());
    this->FifthCrashAt.resize(this->Crashes.size());
    for (std::size_t I = 0; I < this->Crashes.size(); ++I)
      if (this->Randomness.chance(this->Setup.HarmfulPerSecond * Steps))
        this->startRequest(I);
  }

  /// Harmful requests share their other parts with sound ones.
  void startRequest(std::optional<std::size_t> Harmful) {
    Run Started;
    Started.Entry = this->Randomness.below(this->Entries.size());
    std::vector<Common::CauseHash> Parts = {1000 + this->Randomness.below(3),
                                            2000 + this->Randomness.below(100)};
    if (Harmful)
      Parts[this->Setup.HarmfulPositions[*Harmful]] =
          FirstHarmfulPart + *Harmful;
    Started.Parts = Common::makeCauseSet(Parts);
    Parts.push_back(1'000'000 + ++this->Contents);
    Started.Causes = Common::makeCauseSet(Parts);
    Started.Harmful = Harmful;
    this->dispatch(std::move(Started));
  }

  void dispatch(Run Started) {
    using Decision = EntryDaemon::RefusalList::Decision;
    const Decision Outcome =
        this->Entries[Started.Entry]->Refusals.check(Started.Causes, this->Now);
    const bool Counts =
        !Started.Harmful && !this->Crashes.empty() && this->Crashes.front() > 0;
    this->Sound += Counts ? 1 : 0;
    if (Outcome == Decision::Refused) {
      this->SoundRefused += Counts ? 1 : 0;
      return;
    }
    Started.IsProbe = Outcome == Decision::Probe;
    std::vector<std::size_t> Up;
    for (std::size_t I = 0; I < this->Servers.size(); ++I)
      if (this->Servers[I].DownUntil <= this->Now)
        Up.push_back(I);
    if (Up.empty())
      return;
    Started.At = Up[this->Randomness.below(Up.size())];
    if (Started.Harmful) {
      const auto &Fifth = this->FifthCrashAt[*Started.Harmful];
      if (Fifth && this->Now > *Fifth + ContactTime)
        ++this->LateArrivals[*Started.Harmful];
    }
    Started.SentAt = this->Now;
    Started.BeginsAt = this->Now + this->Randomness.between(20ms, 150ms);
    Started.CrashesAt = Started.BeginsAt + this->Randomness.between(0ms, 80ms);
    // A harmful answer does not end before the crash.
    Started.EndsAt = Started.Harmful ? Started.CrashesAt + 1s
                                     : Started.BeginsAt + 20ms +
                                           this->Randomness.exponential(1200ms);
    if (this->Setup.Kind == Trouble::Garble && this->Randomness.chance(0.2))
      Started.CutAt = Started.BeginsAt +
                      this->Randomness.between(
                          0ms, std::chrono::duration_cast<Common::Duration>(
                                   Started.EndsAt - Started.BeginsAt));
    this->Runs.push_back(std::move(Started));
  }

  void progressRuns() {
    for (std::size_t I = 0; I < this->Runs.size(); ++I) {
      Run &Each = this->Runs[I];
      if (Each.BeginsAt > this->Now)
        continue;
      Each.Progress.recordBytes(this->Now);
      this->Entries[Each.Entry]->Liveness.recordBytes(
          {this->Servers[Each.At].Id, {this->Servers[Each.At].StartedAt}},
          Each.SentAt, this->Now);
      this->noteSurvival(Each);
      if (Each.Harmful && Each.CrashesAt <= this->Now) {
        const std::size_t Part = *Each.Harmful;
        if (++this->Crashes[Part] == 5)
          this->FifthCrashAt[Part] = this->Now;
        this->crash(Each.At);
        // The runs have changed.
        return;
      }
    }
    std::vector<Run> Open;
    Open.swap(this->Runs);
    for (Run &Each : Open) {
      if (Each.CutAt && *Each.CutAt <= this->Now)
        this->endLostRun(Each);
      else if (Each.EndsAt <= this->Now)
        this->endCompleteRun(Each);
      else
        this->Runs.push_back(std::move(Each));
    }
  }

  void noteSurvival(Run &Each) {
    if (Each.SurvivalRecorded || !Each.Progress.hasSurvived())
      return;
    Each.SurvivalRecorded = true;
    Daemon &Entry = *this->Entries[Each.Entry];
    Entry.Reporter.recordSurvival(Each.Causes, *Each.Progress.beganAt());
    for (const Common::CauseHash Cause : Each.Parts)
      Entry.Refusals.ownEvidence().recordSurvival(Cause,
                                                  *Each.Progress.beganAt());
  }

  EntryDaemon::PromptCrashReporter::Run reported(const Run &Each) const {
    return {Each.Parts, Each.Causes, this->Servers[Each.At].Id,
            this->Servers[Each.At].StartedAt, *Each.Progress.beganAt()};
  }

  void endCompleteRun(Run &Each) {
    if (this->Setup.Ends == Framing::Framed)
      Each.Progress.recordFramedEnd(this->Now);
    this->noteSurvival(Each);
    if (!Each.SurvivalRecorded)
      this->Entries[Each.Entry]->Reporter.recordUncertainEnd(
          this->reported(Each), this->Now);
  }

  void endLostRun(Run &Each) {
    // A stream that ends between two events with its connection looks complete.
    if (this->Setup.Ends == Framing::AtClose && Each.Progress.beganAt() &&
        this->Randomness.chance(0.5)) {
      this->endCompleteRun(Each);
      return;
    }
    if (Each.Progress.beganAt() && !Each.Progress.hasSurvived()) {
      Daemon &Entry = *this->Entries[Each.Entry];
      Entry.Reporter.recordLostRun(this->reported(Each), this->Now);
      Entry.Refusals.ownEvidence().recordLostRun(
          {this->Servers[Each.At].Id, {this->Servers[Each.At].StartedAt}},
          Each.Parts, this->Now);
    }
    if (Each.IsProbe || Each.Attempts >= 2)
      return;
    Run Again;
    Again.Entry = Each.Entry;
    Again.Parts = Each.Parts;
    Again.Causes = Each.Causes;
    Again.Harmful = Each.Harmful;
    Again.Attempts = Each.Attempts + 1;
    this->Retries.push_back(std::move(Again));
  }

  void loseRuns(std::size_t Index) {
    std::vector<Run> Open;
    Open.swap(this->Runs);
    for (Run &Each : Open) {
      if (Each.At == Index)
        this->endLostRun(Each);
      else
        this->Runs.push_back(std::move(Each));
    }
    std::vector<Run> Again;
    Again.swap(this->Retries);
    for (Run &Each : Again)
      this->dispatch(std::move(Each));
  }

  void crash(std::size_t Index) {
    if (this->Servers[Index].DownUntil > this->Now)
      return;
    this->Servers[Index].DownUntil = this->Now + DownTime;
    this->loseRuns(Index);
    this->Servers[Index].StartedAt = ++this->Starts;
    this->Servers[Index].Sequence = 0;
  }

  void noteFalseRefusals() {
    std::map<Common::CauseSet, Common::TimePoint> Current;
    for (const State::Refusal &Each : this->State.refusals()) {
      if (Each.Causes.back() >= FirstHarmfulPart)
        continue;
      const auto Since = this->FalseRefusals.find(Each.Causes);
      Current[Each.Causes] =
          Since == this->FalseRefusals.end() ? this->Now : Since->second;
      this->LongestFalseRefusal =
          std::max(this->LongestFalseRefusal,
                   std::chrono::duration_cast<Common::Duration>(
                       this->Now - Current[Each.Causes]));
    }
    this->FalseRefusals.swap(Current);
  }

  Plan Setup;
  Common::Random Randomness;
  const Common::TimePoint Start{1000s};
  Common::TimePoint Now = Start;
  std::vector<Server> Servers;
  std::uint64_t Starts = 0;
  std::vector<std::unique_ptr<Daemon>> Entries;
  std::unique_ptr<StateDaemon::EntryDaemonTracker> Leader;
  State::ControlState State;
  /// The leader's registry.
  Membership::ServerRegistry Known;
  std::multimap<Common::TimePoint, Membership::ServerRecord>
      DelayedAnnouncements;
  std::vector<Run> Runs;
  std::vector<Run> Retries;
  std::uint64_t Contents = 0;
  std::vector<std::optional<Common::TimePoint>> FifthCrashAt;
  std::map<Common::CauseSet, Common::TimePoint> FalseRefusals;
};

/// Plays the plan with all seeds. Harmful parts must stop, and sound requests
/// go on.
void checkHarmful(const Plan &Setup) {
  for (std::uint64_t Seed = seeds().First; Seed <= seeds().Last; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      CrashSimulation Simulation(Setup, Seed);
      Simulation.run();
      for (std::size_t I = 0; I < Simulation.Crashes.size(); ++I) {
        BOOST_TEST(Simulation.Crashes[I] >= 3u);
        BOOST_TEST(Simulation.LateArrivals[I] <= 3u);
        BOOST_TEST_MESSAGE("crashes " << Simulation.Crashes[I] << " late "
                                      << Simulation.LateArrivals[I]);
      }
      BOOST_TEST(Simulation.Sound >= 20u);
      BOOST_TEST_MESSAGE("sound " << Simulation.Sound << " refused "
                                  << Simulation.SoundRefused);
      BOOST_TEST(static_cast<double>(Simulation.SoundRefused) <=
                 0.1 * static_cast<double>(Simulation.Sound));
    }
  }
}

void checkHarmless(Plan Setup, Trouble Kind) {
  Setup.Kind = Kind;
  for (std::uint64_t Seed = seeds().First; Seed <= seeds().Last; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      CrashSimulation Simulation(Setup, Seed);
      Simulation.run();
      BOOST_TEST_MESSAGE("longest false refusal "
                         << Common::toSeconds(Simulation.LongestFalseRefusal));
      BOOST_TEST(Common::toSeconds(Simulation.LongestFalseRefusal) <= 2.0);
    }
  }
}

Plan installation(std::size_t Daemons) {
  Plan Result;
  Result.Daemons = Daemons;
  if (Daemons > 8) {
    Result.Servers = Daemons / 2;
    Result.SoundPerSecond = static_cast<double>(Daemons) * 2;
  }
  return Result;
}

const std::size_t InstallationSizes[] = {8, 88, 294};
const std::size_t SmallerInstallationSizes[] = {8, 88};

} // namespace

// Guards against BUDGET: requests that share one part of their prompts, and are
// otherwise different, end one server after another.
BOOST_AUTO_TEST_SUITE(CrashingPrompt)

BOOST_DATA_TEST_CASE(AFirstPartIsRefused,
                     boost::unit_test::data::make(InstallationSizes), Daemons) {
  Plan Setup = installation(Daemons);
  Setup.HarmfulPositions = {0};
  checkHarmful(Setup);
}

BOOST_DATA_TEST_CASE(AMiddlePartIsRefused,
                     boost::unit_test::data::make(InstallationSizes), Daemons) {
  Plan Setup = installation(Daemons);
  Setup.HarmfulPositions = {1};
  checkHarmful(Setup);
}

BOOST_AUTO_TEST_CASE(TwoPartsAreRefused) {
  Plan Setup = installation(88);
  Setup.HarmfulPositions = {0, 1};
  checkHarmful(Setup);
}

BOOST_AUTO_TEST_CASE(ARarePartIsRefused) {
  Plan Setup = installation(8);
  Setup.HarmfulPositions = {1};
  Setup.HarmfulPerSecond = 0.2;
  checkHarmful(Setup);
}

BOOST_AUTO_TEST_CASE(AFrequentPartIsRefused) {
  Plan Setup = installation(88);
  Setup.HarmfulPositions = {1};
  Setup.HarmfulPerSecond = 12;
  checkHarmful(Setup);
}

BOOST_DATA_TEST_CASE(APartIsRefusedIfAnswersEndWithTheirConnections,
                     boost::unit_test::data::make(InstallationSizes), Daemons) {
  Plan Setup = installation(Daemons);
  Setup.HarmfulPositions = {1};
  Setup.Ends = Framing::AtClose;
  checkHarmful(Setup);
}

BOOST_AUTO_TEST_CASE(ARefusalOutlivesTheLeader) {
  Plan Setup = installation(8);
  Setup.HarmfulPositions = {1};
  // During the first crashes, and after the verdict.
  for (const Common::Duration Time : {6s, 7s, 20s}) {
    Setup.LeaderLost = Time;
    checkHarmful(Setup);
  }
}

BOOST_AUTO_TEST_CASE(ARefusalOutlivesAllDaemons) {
  Plan Setup = installation(8);
  Setup.HarmfulPositions = {1};
  Setup.AllRestarted = 20s;
  checkHarmful(Setup);
}

// Guards against BUDGET: an announcement that was sent before a crash and
// arrived after it counted as proof that the server had not crashed, so that
// the harmful part was never refused.
BOOST_DATA_TEST_CASE(APartIsRefusedIfAnnouncementsAreLate,
                     boost::unit_test::data::make(SmallerInstallationSizes),
                     Daemons) {
  for (const Common::Duration Delay : {1500ms, 5000ms}) {
    Plan Setup = installation(Daemons);
    Setup.HarmfulPositions = {1};
    Setup.AnnouncementDelay = Delay;
    checkHarmful(Setup);
    Setup.Ends = Framing::AtClose;
    checkHarmful(Setup);
  }
}

BOOST_AUTO_TEST_CASE(LateAnnouncementsAreNoVerdict) {
  Plan Setup = installation(88);
  Setup.AnnouncementDelay = 5s;
  for (const Trouble Kind : {Trouble::Crash, Trouble::Flap, Trouble::Reset})
    checkHarmless(Setup, Kind);
}

BOOST_DATA_TEST_CASE(CrashesOfSeveralServersAreNoVerdict,
                     boost::unit_test::data::make(InstallationSizes), Daemons) {
  checkHarmless(installation(Daemons), Trouble::Crash);
}

BOOST_AUTO_TEST_CASE(ServersThatCrashInTurnAreNoVerdict) {
  checkHarmless(installation(88), Trouble::Flap);
}

BOOST_AUTO_TEST_CASE(ResetConnectionsAreNoVerdict) {
  checkHarmless(installation(88), Trouble::Reset);
}

BOOST_AUTO_TEST_CASE(CutAnswersAreNoVerdict) {
  checkHarmless(installation(8), Trouble::Garble);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
