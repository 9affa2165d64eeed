#include "Rollout/Coordinator.h"
#include "TestSeeds.h"

#include <boost/test/unit_test.hpp>
#include <queue>
#include <random>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Rollout;

enum class Fault { None, Errors, Late, UnderLoad, OneRoute, AfterStart };

const Common::ServiceName Service("chat");
const Common::SoftwareVersion Old("v1");
const Common::SoftwareVersion New("v2");
constexpr Common::Duration Tick = 50ms;
constexpr double Share = 0.1;
constexpr double Slack = 50;
constexpr Common::Duration RollbackTime = 5s;

/// Entry daemons, servers and the log around one Coordinator, for one rollout
/// that is drawn from a seed.
class SimulatedRollout {
public:
  SimulatedRollout(std::uint64_t Seed, Fault Kind)
      : Random(Seed), Kind(Kind), Duration(12s + this->draw(0, 8) * 1s),
        Rate(this->draw(30, 460)) {
    const int Routes = this->draw(1, 3);
    for (int I = 0; I < Routes; ++I) {
      const bool Resumable = this->chance(0.6);
      this->Routes.push_back({"r" + std::to_string(I), this->uniform(0.06, 0.4),
                              this->uniform(0.3, Resumable ? 2.4 : 1.2),
                              Resumable});
    }
    const int Servers = std::max(2, static_cast<int>(this->Rate / 10));
    const bool SomeFaulty = this->chance(0.5);
    for (int I = 0; I < 2 * Servers; ++I) {
      Server Each;
      Each.IsNew = I >= Servers;
      Each.Id = Common::BackendServerId((Each.IsNew ? "new" : "old") +
                                        std::to_string(I));
      const double Speeds[] = {0.6, 1.0, 1.6};
      Each.Speed = Speeds[this->draw(0, 2)];
      Each.IsFaulty = SomeFaulty && this->chance(0.15);
      this->Servers.push_back(std::move(Each));
    }
    const int Entries[] = {8, 20, 88, 294};
    this->Entries.resize(static_cast<std::size_t>(Entries[this->draw(0, 3)]));
    for (Entry &Each : this->Entries)
      Each.NextPollAt = this->Now + this->draw(0, 399) * 1ms;
    this->StartupTime = this->draw(3000, 4500) * 1ms;
    this->BadShare = this->uniform(0.3, 0.6);
    this->LateInsteadOfErrors =
        Kind == Fault::Late || (Kind != Fault::Errors && this->chance(0.4));
    this->BadRoute = static_cast<std::size_t>(this->draw(0, Routes - 1));
    this->CommonFaultFrom = this->chance(0.3) ? this->uniform(2, 10) : 1e9;
    this->BurstFrom = this->chance(0.3) ? this->uniform(2, 10) : 1e9;
    ServiceRollout Ordered;
    Ordered.Number = {1};
    Ordered.Target = New;
    Ordered.DurationMilliseconds =
        static_cast<std::uint64_t>(Common::toMilliseconds(this->Duration));
    this->Leader.emplace(ExposureLimits{Share, Slack, RollbackTime}, Service,
                         Ordered, this->Now, 1, this->Now);
  }

  void run() {
    const Common::TimePoint Limit = this->Now + 2 * this->Duration;
    while (this->Now < Limit &&
           (!this->EndedAt || this->Now < *this->EndedAt + RollbackTime)) {
      this->sendRequests();
      this->finishRequests();
      this->pollLeader();
      this->updateLeader();
      this->Now += Tick;
    }
  }

  bool completed() const { return this->EndedAt && this->Verdict.Completed; }
  bool rolledBack() const { return this->EndedAt && !this->Verdict.Completed; }
  double seconds() const {
    return Common::toSeconds(
        this->EndedAt.value_or(this->Now).time_since_epoch());
  }
  double duration() const { return Common::toSeconds(this->Duration); }
  const Coordinator::Verdict &verdict() const { return this->Verdict; }
  int lostAtCompletion() const { return this->LostAtCompletion; }
  double exposure() const { return this->NewSent; }
  double exposureLimit() const { return Share * this->SentInTime + Slack; }
  bool sentTooLate() const {
    return this->FiftiethBadAt && this->LastNewSentAt &&
           *this->LastNewSentAt > *this->FiftiethBadAt + RollbackTime;
  }

private:
  struct RouteModel {
    std::string Name;
    double FirstOutput;
    double Stream;
    bool Resumable;
  };
  struct Server {
    Common::BackendServerId Id;
    bool IsNew = false;
    double Speed = 1;
    bool IsFaulty = false;
    int Running = 0;
    int Handled = 0;
    /// Requests in the last half second, decaying.
    double Arrivals = 0;
    double ArrivedAt = 0;
    double NoiseEnds = 0;
    bool Noisy = false;
  };
  struct Entry {
    std::map<std::pair<std::size_t, std::size_t>, Observation> Observed;
    std::optional<Directive> Obeyed;
    Common::TimePoint ObeyedUntil;
    Common::TimePoint NextPollAt;
    std::uint64_t Sequence = 0;
    std::uint32_t RunningElsewhere = 0;
  };
  struct Request {
    /// Of the next event: the first output, then the end.
    Common::TimePoint NextAt;
    Common::TimePoint EndsAt;
    std::size_t Entry, Route, Server;
    bool Failed, Bad;
    double FirstOutput, Gap;
    bool HasOutput;
    bool operator<(const Request &Other) const {
      return this->NextAt > Other.NextAt;
    }
  };

  int draw(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(this->Random);
  }
  double uniform(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(this->Random);
  }
  bool chance(double Probability) { return this->uniform(0, 1) < Probability; }
  double now() const { return Common::toSeconds(this->Now.time_since_epoch()); }
  bool newServersRun() const {
    return this->now() >= Common::toSeconds(this->StartupTime);
  }
  std::size_t serverCount() const { return this->Servers.size() / 2; }
  /// Index into the observations: 0 for the old servers together.
  Observation &observation(Entry &At, std::size_t Route, std::size_t Index) {
    const Server &Used = this->Servers[Index];
    Observation &Result = At.Observed[{Route, Used.IsNew ? Index : 0}];
    Result.Service = Service;
    Result.Number = {1};
    Result.Route = this->Routes[Route].Name;
    if (Used.IsNew)
      Result.Server = Used.Id;
    return Result;
  }

  void sendRequests() {
    const bool Burst =
        this->now() > this->BurstFrom && this->now() < this->BurstFrom + 3;
    const double Mean = this->Rate * (Burst ? 2 : 1) * Common::toSeconds(Tick);
    const int Count = std::poisson_distribution<int>(Mean)(this->Random);
    for (int I = 0; I < Count; ++I)
      this->sendRequest();
    if (this->now() <= this->duration())
      this->SentInTime += Count;
  }

  void sendRequest() {
    const auto EntryIndex = static_cast<std::size_t>(
        this->draw(0, static_cast<int>(this->Entries.size()) - 1));
    Entry &At = this->Entries[EntryIndex];
    const bool Obeys = At.Obeyed && this->Now < At.ObeyedUntil;
    const double Part = Obeys ? At.Obeyed->TargetShare : 0;
    const bool UseNew = this->newServersRun() && this->chance(Part);
    const std::size_t Half = this->serverCount();
    std::size_t Candidates = Half;
    if (UseNew && At.Obeyed->TrialServers != 0)
      Candidates = std::min<std::size_t>(Half, At.Obeyed->TrialServers);
    const std::size_t Index =
        (UseNew ? Half : 0) + static_cast<std::size_t>(this->draw(
                                  0, static_cast<int>(Candidates) - 1));
    const auto Route = static_cast<std::size_t>(
        this->draw(0, static_cast<int>(this->Routes.size()) - 1));
    this->startRequest(At, EntryIndex, Route, Index);
  }

  void startRequest(Entry &At, std::size_t EntryIndex, std::size_t Route,
                    std::size_t Index) {
    Server &Used = this->Servers[Index];
    if (this->now() >= Used.NoiseEnds) {
      Used.Noisy = this->chance(0.15);
      Used.NoiseEnds = this->now() + 0.6;
    }
    // Prompts and outputs differ in size.
    const double Size =
        std::exp(std::normal_distribution<double>(0, 0.35)(this->Random));
    double Slowness = (Used.Noisy ? 2.5 : 1) / Used.Speed;
    const double Load = 1 + 0.01 * std::min(Used.Running, 40);
    const bool Cold = Used.IsNew && Used.Handled < 40 && this->chance(0.4);
    Request Sent{};
    Sent.Entry = EntryIndex;
    Sent.Route = Route;
    Sent.Server = Index;
    Sent.Bad = Used.IsNew && this->isBadNow(Used, Route) &&
               this->chance(this->BadShare);
    const bool IsLate = Sent.Bad && this->LateInsteadOfErrors;
    Sent.FirstOutput = this->Routes[Route].FirstOutput * Size * Slowness *
                       Load * (Cold ? 2 : 1) * (IsLate ? 8 : 1);
    Sent.Gap = 0.03 * Slowness * Load * (IsLate ? 8 : 1);
    const double CommonFault = this->now() > this->CommonFaultFrom &&
                                       this->now() < this->CommonFaultFrom + 2
                                   ? 0.25
                                   : 0.003;
    Sent.Failed = (Sent.Bad && !this->LateInsteadOfErrors) ||
                  (Used.IsFaulty && this->chance(0.4)) ||
                  this->chance(CommonFault);
    const RouteModel &Model = this->Routes[Route];
    const double Whole =
        Sent.FirstOutput + std::min(6.0, Model.Stream * Size / Used.Speed);
    // Streams that cannot be moved are short.
    const double Limit = Model.Resumable || Used.IsNew ? 60 : 3.2;
    const double Time = Sent.Failed ? 0.03 : std::min(Limit, Whole);
    Sent.FirstOutput = std::min(Sent.FirstOutput, Time);
    Sent.EndsAt = this->Now + Common::fromSeconds(Time);
    Sent.NextAt = Sent.Failed
                      ? Sent.EndsAt
                      : this->Now + Common::fromSeconds(Sent.FirstOutput);
    Used.Arrivals =
        1 + Used.Arrivals * std::exp(2 * (Used.ArrivedAt - this->now()));
    Used.ArrivedAt = this->now();
    ++Used.Running;
    ++Used.Handled;
    if (Used.IsNew) {
      ++this->NewSent;
      this->LastNewSentAt = this->Now;
    } else {
      ++At.RunningElsewhere;
    }
    ++this->observation(At, Route, Index).Sent;
    this->Running.push(Sent);
  }

  bool isBadNow(const Server &Used, std::size_t Route) const {
    switch (this->Kind) {
    case Fault::None:
      return false;
    case Fault::Errors:
    case Fault::Late:
      return true;
    case Fault::UnderLoad:
      // Half of the requests that an old server gets within half a second.
      return Used.Arrivals * std::exp(2 * (Used.ArrivedAt - this->now())) >=
             0.5 * 0.5 * this->Rate / static_cast<double>(this->serverCount());
    case Fault::OneRoute:
      return Route == this->BadRoute;
    case Fault::AfterStart:
      return this->now() >= Common::toSeconds(this->StartupTime) + 3;
    }
    return false;
  }

  /// Resumable streams leave the old servers.
  void moveStreams() {
    std::priority_queue<Request> Kept;
    for (; !this->Running.empty(); this->Running.pop()) {
      Request Each = this->Running.top();
      const Entry &At = this->Entries[Each.Entry];
      if (!this->Servers[Each.Server].IsNew &&
          this->Routes[Each.Route].Resumable && At.Obeyed &&
          At.Obeyed->MoveStreams)
        Each.NextAt = Each.EndsAt = this->Now;
      Kept.push(Each);
    }
    this->Running.swap(Kept);
  }

  void finishRequests() {
    if (this->Leader->directive().MoveStreams)
      this->moveStreams();
    while (!this->Running.empty() && this->Running.top().NextAt <= this->Now) {
      const Request Ended = this->Running.top();
      this->Running.pop();
      Entry &At = this->Entries[Ended.Entry];
      Server &Used = this->Servers[Ended.Server];
      Observation &Seen = this->observation(At, Ended.Route, Ended.Server);
      if (!Ended.Failed && !Ended.HasOutput) {
        Seen.FirstOutput.add(Common::fromSeconds(Ended.FirstOutput));
        Request Streaming = Ended;
        Streaming.HasOutput = true;
        Streaming.NextAt = Ended.EndsAt;
        this->Running.push(Streaming);
        continue;
      }
      ++(Ended.Failed ? Seen.Failed : Seen.Answered);
      if (!Ended.Failed) {
        for (int I = 0; I < 10; ++I)
          Seen.OutputGap.add(
              Common::fromSeconds(Ended.Gap * this->uniform(0.7, 1.5)));
      }
      --Used.Running;
      if (!Used.IsNew)
        --At.RunningElsewhere;
      if (Ended.Bad && ++this->BadResponses == 50)
        this->FiftiethBadAt = this->Now;
    }
  }

  void pollLeader() {
    for (std::size_t I = 0; I < this->Entries.size(); ++I) {
      Entry &Each = this->Entries[I];
      if (this->Now < Each.NextPollAt)
        continue;
      Each.NextPollAt = this->Now + 400ms;
      std::vector<Observation> Observations;
      for (const auto &[Key, Seen] : Each.Observed)
        Observations.push_back(Seen);
      Progress Reported;
      Reported.Service = Service;
      Reported.Number = {1};
      Reported.Revision = Each.Obeyed ? Each.Obeyed->Revision : 0;
      Reported.RunningElsewhere = Each.RunningElsewhere;
      this->Leader->handleReport(Common::DaemonId("e" + std::to_string(I)), {1},
                                 ++Each.Sequence, Observations, {Reported},
                                 this->Now);
      Each.Obeyed = this->Leader->directive();
      Each.ObeyedUntil =
          this->Now + std::chrono::milliseconds(Each.Obeyed->ValidMilliseconds);
    }
  }

  void updateLeader() {
    if (this->EndedAt)
      return;
    if (this->PendingEnd && this->Now >= this->PendingAt) {
      this->EndedAt = this->Now;
      this->Verdict = *this->PendingEnd;
      for (const Entry &Each : this->Entries)
        this->LostAtCompletion += static_cast<int>(Each.RunningElsewhere);
      return;
    }
    if (this->PendingPhase && this->Now >= this->PendingAt) {
      this->View.Recorded = *this->PendingPhase;
      this->PendingPhase.reset();
    }
    this->View.Entries = this->Entries.size();
    this->View.Servers.clear();
    for (const Server &Each : this->Servers)
      if (!Each.IsNew || this->newServersRun())
        this->View.Servers.push_back({Each.Id, Each.IsNew ? New : Old});
    const auto Decided = this->Leader->update(this->View, this->Now);
    if (Decided.Urgent)
      for (Entry &Each : this->Entries)
        Each.Obeyed = this->Leader->directive();
    // A commit takes about 100 ms.
    if (Decided.End && !this->PendingEnd) {
      this->PendingEnd = Decided.End;
      this->PendingAt = this->Now + 100ms;
    } else if (Decided.Advance && !this->PendingPhase) {
      this->PendingPhase = Decided.Advance;
      this->PendingAt = this->Now + 100ms;
    }
  }

  std::mt19937_64 Random;
  Fault Kind;
  Common::Duration Duration;
  double Rate;
  Common::TimePoint Now{};
  std::vector<RouteModel> Routes;
  std::vector<Server> Servers;
  std::vector<Entry> Entries;
  Common::Duration StartupTime{};
  double BadShare = 0;
  bool LateInsteadOfErrors = false;
  std::size_t BadRoute = 0;
  double CommonFaultFrom = 0;
  double BurstFrom = 0;
  std::priority_queue<Request> Running;
  std::optional<Coordinator> Leader;
  Coordinator::View View;
  std::optional<Phase> PendingPhase;
  std::optional<Coordinator::Verdict> PendingEnd;
  Common::TimePoint PendingAt;
  std::optional<Common::TimePoint> EndedAt;
  Coordinator::Verdict Verdict;
  int LostAtCompletion = 0;
  double NewSent = 0;
  double SentInTime = 0;
  int BadResponses = 0;
  std::optional<Common::TimePoint> FiftiethBadAt;
  std::optional<Common::TimePoint> LastNewSentAt;
};

/// Enough for a regression to show; the thousands are run by hand.
constexpr std::uint64_t SeedsInBuild = 12;

void checkBadVersions(Fault Kind) {
  const TestSeeds Seeds = TestSeeds::create(SeedsInBuild);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    SimulatedRollout Run(Seed, Kind);
    Run.run();
    BOOST_TEST(Run.rolledBack(), "seed " << Seed << ": completed");
    BOOST_TEST(Run.exposure() <= Run.exposureLimit(),
               "seed " << Seed << ": " << Run.exposure() << " requests, limit "
                       << Run.exposureLimit() << ", ended at " << Run.seconds()
                       << " of " << Run.duration() << " s, "
                       << Run.verdict().Cause << ", " << Run.verdict().Figures);
    BOOST_TEST(!Run.sentTooLate(), "seed " << Seed << ": sent too late");
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutCoordinator_)

// A good version must be in service within the duration, whatever its servers'
// speeds, single faulty servers, noise, bursts, and faults that all versions
// have; and nothing may still be running at the old servers then.
BOOST_AUTO_TEST_CASE(GoodVersionsAreCompletedInTime) {
  const TestSeeds Seeds = TestSeeds::create(SeedsInBuild);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    SimulatedRollout Run(Seed, Fault::None);
    Run.run();
    BOOST_TEST(Run.completed(), "seed " << Seed << ": " << Run.verdict().Cause
                                        << ", " << Run.verdict().Figures);
    BOOST_TEST(Run.seconds() <= Run.duration(),
               "seed " << Seed << ": ended at " << Run.seconds() << " of "
                       << Run.duration() << " s");
    BOOST_TEST(Run.lostAtCompletion() == 0, "seed " << Seed);
  }
}

BOOST_AUTO_TEST_CASE(VersionsThatFailAreRolledBack) {
  checkBadVersions(Fault::Errors);
}

BOOST_AUTO_TEST_CASE(VersionsThatRespondLateAreRolledBack) {
  checkBadVersions(Fault::Late);
}

BOOST_AUTO_TEST_CASE(VersionsThatAreBadUnderLoadAreRolledBack) {
  checkBadVersions(Fault::UnderLoad);
}

BOOST_AUTO_TEST_CASE(VersionsThatAreBadOnOneRouteAreRolledBack) {
  checkBadVersions(Fault::OneRoute);
}

BOOST_AUTO_TEST_CASE(VersionsThatTurnBadAreRolledBack) {
  checkBadVersions(Fault::AfterStart);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
