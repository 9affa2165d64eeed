#include "Common/Random.h"
#include "Routing/RetryShare.h"
#include "Routing/ServerTable.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>

namespace UnitTests {

namespace {

using namespace Routing;
using namespace std::chrono_literals;

const Common::ServiceName Models("models");
constexpr int ServerCount = 6;
constexpr Common::Duration Step = 10ms;
/// Requests that were under way at the answer may arrive for this long.
constexpr Common::Duration ArrivalAllowance = 500ms;
constexpr int MaxArrivalsDuringRest = 2;
constexpr std::uint32_t MaxRejections = 3;
constexpr RetryShareOptions RetryBudget = {0.2, 56, 10s};

/// Servers that ask for rest, crash, fall silent and are not announced, in
/// random series, and entry daemons that place requests on them. A daemon's
/// calls are like RoutedCall: they wait for a connection, ask again before they
/// are written, and are repeated elsewhere within the retry budget.
class RestingServers {
public:
  RestingServers(std::uint64_t Seed, int Daemons) : Randomness(Seed) {
    for (int I = 0; I < Daemons; ++I)
      this->Entries.push_back(std::make_unique<Entry>(
          ServerTableOptions{Common::DataCentreId("east"), 4200ms,
                             Seed * 100 + static_cast<std::uint64_t>(I)},
          Daemons, this->Now));
    for (int I = 0; I < ServerCount; ++I)
      this->announce(I);
  }

  void run(Common::Duration Time) {
    const Common::TimePoint End = this->Now + Time;
    while (this->Now < End) {
      this->Now += Step;
      this->changeServers();
      for (auto &Each : this->Entries) {
        Each->Retries.updateDaemons(this->Entries.size(), this->Now, this->Now);
        for (int I = 0; I < 2; ++I)
          if (this->Randomness.chance(0.4))
            this->startRequest(*Each);
        this->advanceCalls(*Each);
      }
      this->countRetries();
    }
  }

  /// Requests that were placed on a server although it had asked the daemon for
  /// rest.
  int PlacedDuringRest = 0;
  /// The most requests of one daemon that reached one server between half a
  /// second after it had asked for rest and the end of that.
  int MaxArrivals = 0;
  /// Requests that were refused although a server was free to take them.
  int RefusedNeedlessly = 0;
  int Rests = 0;
  int Served = 0;
  bool RetryBudgetKept = true;

private:
  struct Rest {
    std::uint64_t Lifetime = 0;
    Common::TimePoint From;
    Common::TimePoint Until;
    int Arrivals = 0;
  };
  struct Call {
    PlacementRequest Request;
    ModelPrompt Prompt;
    PlacementChoice At;
    std::uint64_t Lifetime = 0;
    Common::TimePoint WriteAt;
    Common::TimePoint AnswerAt;
    Common::TimePoint EndAt;
    bool Written = false;
    bool HeadRead = false;
    bool Rejected = false;
    Common::Duration RetryAfter{};
    bool ArrivedBefore = false;
    std::uint32_t Rejections = 0;
  };
  struct Entry {
    Entry(ServerTableOptions Options, int Daemons, Common::TimePoint Now)
        : Servers(std::move(Options)), Retries(RetryBudget) {
      // It has held its part of the extra retries for some time.
      for (auto At = Now - 20s; At <= Now; At += 1s)
        this->Retries.updateDaemons(static_cast<std::size_t>(Daemons), At, At);
    }
    ServerTable Servers;
    RetryShare Retries;
    std::list<Call> Calls;
    /// What each server has asked of this daemon.
    std::array<std::vector<Rest>, ServerCount> Rests;
    /// When the first request was placed on each server after it became free.
    std::array<Common::TimePoint, ServerCount> FirstPlacedAt{};
  };
  struct Server {
    std::uint64_t Lifetime = 1;
    std::uint64_t Sequence = 0;
    Common::TimePoint RejectUntil;
    Common::Duration Asks{};
    Common::TimePoint DownUntil;
    Common::TimePoint SilentUntil;
    Common::TimePoint AnnouncedAgainAt;
    /// When the current lifetime was announced first.
    Common::TimePoint KnownSince;
  };

  void announce(int Number) {
    Server &Each = this->Servers[Number];
    Membership::ServerRecord Record;
    Record.Id = Common::BackendServerId("e" + std::to_string(Number));
    Record.Service = Models;
    Record.Address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + Number)};
    Record.DataCentre = Common::DataCentreId(Number % 2 == 0 ? "east" : "west");
    Record.Slots = 8;
    Record.StartedAt = Each.Lifetime;
    Record.Sequence = ++Each.Sequence;
    for (auto &Daemon : this->Entries)
      Daemon->Servers.apply(Record, this->Now);
    Each.AnnouncedAgainAt = this->Now + 500ms;
    if (Each.Sequence == 1)
      Each.KnownSince = this->Now;
  }

  Common::Duration randomTime(Common::Duration Max) {
    return this->Randomness.between(Common::Duration::zero(), Max);
  }

  void changeServers() {
    static constexpr std::array<Common::Duration, 6> Times = {0s, 300ms, 1s,
                                                              2s, 5s,    30s};
    for (int I = 0; I < ServerCount; ++I) {
      Server &Each = this->Servers[I];
      const bool All = this->Randomness.chance(0.0003);
      if (this->Randomness.chance(0.002) || All)
        for (int J = All ? 0 : I; J < (All ? ServerCount : I + 1); ++J) {
          this->Servers[J].RejectUntil = this->Now + this->randomTime(6s);
          this->Servers[J].Asks = Times[this->Randomness.below(Times.size())];
        }
      if (this->Randomness.chance(0.0008)) {
        // A crash; the next lifetime has asked for nothing.
        Each.DownUntil = this->Now + this->randomTime(3s);
        ++Each.Lifetime;
        Each.Sequence = 0;
        Each.RejectUntil = {};
        Each.AnnouncedAgainAt = Each.DownUntil;
      }
      if (this->Randomness.chance(0.0005))
        Each.SilentUntil = this->Now + this->randomTime(4s);
      // Announcements are lost for a while.
      if (this->Randomness.chance(0.0005))
        Each.AnnouncedAgainAt = this->Now + this->randomTime(8s);
      if (this->Now >= Each.AnnouncedAgainAt)
        this->announce(I);
    }
  }

  static int numberOf(const Common::BackendServerId &Id) {
    return std::stoi(Id.str().substr(1));
  }

  void startRequest(Entry &Daemon) {
    Daemon.Retries.recordRequest(Models, this->Now);
    this->Requests.push_back(this->Now);
    Call Started;
    Started.Prompt.PromptTokens = 600;
    Started.Prompt.Parts = {
        {"doc-" + std::to_string(this->Randomness.below(9)), 400},
        {"own", 200}};
    Started.Request.Service = Models;
    Daemon.Calls.push_back(std::move(Started));
    if (!this->place(Daemon, Daemon.Calls.back()))
      Daemon.Calls.pop_back();
  }

  bool place(Entry &Daemon, Call &Placed) {
    Placed.Request.Prompt = &Placed.Prompt;
    const auto Chosen = Daemon.Servers.choose(Placed.Request, this->Now);
    if (!Chosen) {
      if (Placed.Request.Excluded.empty())
        this->checkRefusal(Daemon);
      return false;
    }
    Placed.At = *Chosen;
    Placed.Written = Placed.HeadRead = false;
    const int Number = numberOf(Chosen->Id);
    Placed.Lifetime = Chosen->ServerStartedAt;
    for (const Rest &Each : Daemon.Rests[Number])
      if (Placed.Lifetime == Each.Lifetime && this->Now < Each.Until)
        ++this->PlacedDuringRest;
    if (Daemon.FirstPlacedAt[Number] < this->freeSince(Daemon, Number))
      Daemon.FirstPlacedAt[Number] = this->Now;
    Placed.WriteAt =
        this->Now + (this->Randomness.chance(0.3) ? this->randomTime(250ms)
                                                  : Common::Duration::zero());
    Daemon.Servers.recordStart(Placed.At, &Placed.Prompt, this->Now);
    return true;
  }

  /// Since when a server would take requests of the daemon.
  Common::TimePoint freeSince(const Entry &Daemon, int Number) const {
    const Server &Each = this->Servers[Number];
    Common::TimePoint Result = std::max(
        {Each.RejectUntil, Each.DownUntil, Each.SilentUntil, Each.KnownSince});
    for (const Rest &Asked : Daemon.Rests[Number])
      if (Asked.Lifetime == Each.Lifetime)
        Result = std::max(Result, Asked.Until);
    return Result;
  }

  /// A refusal is needless if a server has been free for longer than a probe
  /// takes that was sent to it since.
  void checkRefusal(const Entry &Daemon) {
    constexpr Common::Duration LongestProbe =
        ServerCondition::ProbeTimeout + 500ms;
    for (int I = 0; I < ServerCount; ++I) {
      const Common::TimePoint FreeSince =
          std::max(this->freeSince(Daemon, I), Daemon.FirstPlacedAt[I]);
      if (this->Servers[I].Sequence > 0 && this->Now > FreeSince + LongestProbe)
        ++this->RefusedNeedlessly;
    }
    if (!Daemon.Servers.restEnd(Models, this->Now))
      ++this->RefusedNeedlessly;
  }

  void advanceCalls(Entry &Daemon) {
    for (auto Each = Daemon.Calls.begin(); Each != Daemon.Calls.end();)
      Each = this->advance(Daemon, *Each) ? std::next(Each)
                                          : Daemon.Calls.erase(Each);
  }

  /// Returns whether the call goes on.
  bool advance(Entry &Daemon, Call &Current) {
    if (!Current.Written)
      return this->Now < Current.WriteAt || this->write(Daemon, Current);
    const int Number = numberOf(Current.At.Id);
    const Server &To = this->Servers[Number];
    if (Current.Lifetime != To.Lifetime) {
      Daemon.Servers.recordEnd(Current.At, ServerOutcome::Unreachable,
                               this->Now);
      return this->repeat(Daemon, Current, 1);
    }
    if (this->Now < Current.AnswerAt)
      return true;
    if (!Current.HeadRead)
      this->readHead(Daemon, Current, Number);
    if (this->Now < Current.EndAt)
      return true;
    if (Current.Rejected) {
      Daemon.Servers.recordEnd(Current.At, ServerOutcome::Rejected, this->Now);
      return ++Current.Rejections < MaxRejections &&
             this->repeat(Daemon, Current, 1);
    }
    ++this->Served;
    Daemon.Servers.recordEnd(Current.At, ServerOutcome::Answered, this->Now);
    return false;
  }

  bool write(Entry &Daemon, Call &Current) {
    const int Number = numberOf(Current.At.Id);
    Server &To = this->Servers[Number];
    if (this->Now < To.DownUntil || Current.Lifetime != To.Lifetime) {
      Daemon.Servers.recordEnd(Current.At, ServerOutcome::Unreachable,
                               this->Now);
      return this->repeat(Daemon, Current, 0);
    }
    if (!Daemon.Servers.mayWrite(Current.At, this->Now)) {
      Daemon.Servers.recordEnd(Current.At, ServerOutcome::Abandoned, this->Now);
      return this->repeat(Daemon, Current, 0);
    }
    Current.Written = true;
    if (std::exchange(Current.ArrivedBefore, true))
      this->Repeats.push_back(this->Now);
    for (Rest &Each : Daemon.Rests[Number])
      if (Each.Lifetime == To.Lifetime &&
          this->Now > Each.From + ArrivalAllowance && this->Now < Each.Until)
        this->MaxArrivals = std::max(this->MaxArrivals, ++Each.Arrivals);
    Current.Rejected = this->Now < To.RejectUntil;
    Current.RetryAfter = To.Asks;
    Current.AnswerAt = std::max(this->Now, To.SilentUntil) +
                       this->randomTime(Current.Rejected ? 30ms : 400ms);
    // The body of a rejection may be slow, or break off.
    Current.EndAt = Current.AnswerAt + this->randomTime(300ms);
    return true;
  }

  void readHead(Entry &Daemon, Call &Current, int Number) {
    Current.HeadRead = true;
    Daemon.Servers.recordActivity(Current.At, this->Now);
    if (!Current.Rejected) {
      Daemon.Servers.recordFirstOutput(Current.At);
      Daemon.Servers.recordAnswerBegun(Current.At);
      return;
    }
    if (Current.RetryAfter <= Common::Duration::zero())
      return;
    ++this->Rests;
    Daemon.Servers.recordRetryAfter(Current.At, Current.RetryAfter, this->Now);
    Daemon.Rests[Number].push_back(
        {Current.Lifetime, this->Now, this->Now + Current.RetryAfter});
  }

  bool repeat(Entry &Daemon, Call &Current, int Budget) {
    Current.Request.Excluded.insert(Current.At.Id);
    if (Current.Request.Excluded.size() >= 4 ||
        (Budget != 0 && !Daemon.Retries.tryConsume(Models, this->Now)))
      return false;
    return this->place(Daemon, Current);
  }

  void countRetries() {
    while (!this->Repeats.empty() &&
           this->Now - this->Repeats.front() > RetryBudget.Window)
      this->Repeats.pop_front();
    while (!this->Requests.empty() &&
           this->Now - this->Requests.front() > RetryBudget.Window)
      this->Requests.pop_front();
    if (static_cast<double>(this->Repeats.size()) >
        RetryBudget.Ratio * static_cast<double>(this->Requests.size()) +
            RetryBudget.Extra)
      this->RetryBudgetKept = false;
  }

  Common::Random Randomness;
  Common::TimePoint Now{100s};
  std::vector<std::unique_ptr<Entry>> Entries;
  std::array<Server, ServerCount> Servers;
  std::deque<Common::TimePoint> Requests;
  std::deque<Common::TimePoint> Repeats;
};

void checkRests(std::uint64_t Seeds, int Daemons) {
  int Rests = 0;
  int Served = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RestingServers Series(Seed, Daemons);
    Series.run(15s);
    BOOST_TEST(Series.PlacedDuringRest == 0, "seed " << Seed);
    BOOST_TEST(Series.MaxArrivals <= MaxArrivalsDuringRest, "seed " << Seed);
    BOOST_TEST(Series.RefusedNeedlessly == 0, "seed " << Seed);
    BOOST_TEST(Series.RetryBudgetKept, "seed " << Seed);
    Rests += Series.Rests;
    Served += Series.Served;
  }
  BOOST_TEST(Rests > static_cast<int>(10 * Seeds));
  BOOST_TEST(Served > static_cast<int>(100 * Seeds));
}

} // namespace

BOOST_AUTO_TEST_SUITE(RestingServers_)

// Servers that ask for rest while others crash, are silent, full or not
// announced. Guards against BUDGET: a server that had asked a daemon for rest
// got requests of that daemon, or repeats exceeded the retry budget.
BOOST_AUTO_TEST_CASE(OneDaemonKeepsTheRests) { checkRests(1000, 1); }

BOOST_AUTO_TEST_CASE(EightDaemonsKeepTheRests) { checkRests(60, 8); }

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
