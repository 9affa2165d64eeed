#ifndef SYCAMOREREACH_UNITTESTS_ADMISSION_OVERLOADMODEL_H
#define SYCAMOREREACH_UNITTESTS_ADMISSION_OVERLOADMODEL_H

#include "Admission/AdmissionGate.h"
#include "Admission/LevelPlanner.h"
#include "Common/Hash.h"
#include "Common/Random.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace UnitTests {

/// A kind of request, with times in milliseconds.
struct RequestKind {
  const char *Name;
  std::uint32_t Rank;
  const char *Team;
  /// Requests a second at a load of 1.
  double Rate;
  /// Engine time until the first output, and time in the slot after it.
  int Prefill;
  int Decode;
  int Target;
  int Deadline;

  /// Engine time and the part of an engine that its slot is.
  double work() const { return Prefill + Decode / 32.0; }
};

/// What a load scenario changes, with times in milliseconds from the start.
struct OverloadScenario {
  const char *Name;
  /// Factor on the rate of a kind, by its index.
  std::function<double(std::size_t Kind, int Now)> Load = [](std::size_t, int) {
    return 1.0;
  };
  /// Number of servers that are gone.
  std::function<int(int Now)> Gone = [](int) { return 0; };
  /// Callers of this kind repeat a refused request at once, up to 20 times.
  std::optional<std::size_t> ImpatientKind;
  /// Part of the callers who leave after 300 ms without output.
  double Leaving = 0;
  /// Requests of this kind share a prefix that is cached on three servers; at
  /// others it takes PrefixWork milliseconds more.
  std::optional<std::size_t> PrefixKind;
  int PrefixWork = 95;
  /// Whether the daemon's polls are lost.
  std::function<bool(std::size_t Daemon, int Now)> CutOff =
      [](std::size_t, int) { return false; };
  /// When another daemon becomes leader.
  int LeaderChange = -1;
  /// Part of the requests that one daemon receives.
  std::function<std::size_t(int Now, Common::Random &)> Daemon =
      [](int, Common::Random &Randomness) { return Randomness.below(8); };
};

struct KindResult {
  int Offered = 0;
  int OnTime = 0;
  int Served = 0;
  int Refused = 0;
  /// Requests that waited at a server until their deadline.
  int Expired = 0;
  double onTimeShare() const {
    return Offered == 0 ? 1 : static_cast<double>(OnTime) / Offered;
  }
  double servedShare() const {
    return Offered == 0 ? 1 : static_cast<double>(Served) / Offered;
  }
};

/// Entry daemons in front of servers that read one prompt at a time, the most
/// urgent rank first, and hold a slot until the response is complete. Loads are
/// known to other daemons every 250 ms; polls take place every 400 ms.
class OverloadModel {
public:
  static constexpr std::size_t DaemonCount = 8;
  static constexpr int ServerCount = 20;
  static constexpr std::size_t Slots = 32;
  static constexpr int EndOfArrivals = 16'000;

  OverloadModel(std::vector<RequestKind> Kinds, OverloadScenario Scenario,
                bool UseLevels, std::uint64_t Seed)
      : Kinds(std::move(Kinds)), Scenario(std::move(Scenario)),
        UseLevels(UseLevels), Arrivals(Seed), Randomness(Seed),
        Results(this->Kinds.size()), Servers(ServerCount),
        Published(ServerCount) {
    for (std::size_t I = 0; I < DaemonCount; ++I) {
      this->Gates.emplace_back(at(0));
      this->OwnSent.emplace_back(ServerCount);
    }
  }

  std::vector<KindResult> run() {
    this->Leader.emplace(Admission::LevelPlannerOptions(), at(0));
    for (int Now = 0; Now < EndOfArrivals + 15'000; ++Now)
      this->step(Now);
    return this->Results;
  }

  /// The longest time for which levels changed between present and absent.
  int levelChanges() const { return this->LevelChanges; }

private:
  struct Request {
    std::size_t Kind = 0;
    std::uint64_t Hash = 0;
    int FirstSentAt = 0;
    int SentAt = 0;
    int Repeats = 0;
    std::size_t Daemon = 0;
    int LeavesAt = -1;
    int Remaining = 0;
  };
  struct Server {
    bool Alive = true;
    std::deque<Request> Queue;
    std::vector<int> SlotEnds;
    int queuedWork() const {
      int Sum = 0;
      for (const Request &Each : this->Queue)
        Sum += Each.Remaining;
      return Sum;
    }
    std::size_t occupied() const {
      return this->Queue.size() + this->SlotEnds.size();
    }
  };
  struct View {
    int Work = 0;
    std::size_t Occupied = 0;
  };

  static Common::TimePoint at(int Now) {
    return Common::TimePoint(std::chrono::milliseconds(Now + 10'000));
  }

  void step(int Now) {
    for (int I = 0; I < ServerCount; ++I)
      this->setAlive(I, I >= this->Scenario.Gone(Now), Now);
    if (Now % 250 == 0)
      this->publish();
    for (std::size_t I = 0; I < DaemonCount; ++I)
      if (Now % 400 == static_cast<int>(I) * 50)
        this->poll(I, Now);
    if (Now == this->Scenario.LeaderChange)
      this->Leader.emplace(Admission::LevelPlannerOptions(), at(Now));
    if (Now < EndOfArrivals)
      for (std::size_t I = 0; I < this->Kinds.size(); ++I)
        if (this->Arrivals.chance(this->Kinds[I].Rate / 1000 *
                                  this->Scenario.Load(I, Now)))
          this->arrive(I, Now);
    while (!this->Returning.empty() && this->Returning.begin()->first <= Now) {
      Request Each = this->Returning.begin()->second;
      this->Returning.erase(this->Returning.begin());
      Each.SentAt = Now;
      Each.Daemon = this->Scenario.Daemon(Now, this->Randomness);
      this->admit(Each, Now);
    }
    for (Server &Each : this->Servers)
      this->advance(Each, Now);
  }

  void setAlive(int Index, bool Alive, int Now) {
    Server &Changed = this->Servers[static_cast<std::size_t>(Index)];
    if (Changed.Alive == Alive)
      return;
    Changed.Alive = Alive;
    const std::deque<Request> Lost = std::exchange(Changed.Queue, {});
    Changed.SlotEnds.clear();
    for (const Request &Each : Lost)
      this->refuse(Each, 300, Now);
    std::uint32_t Sum = 0;
    for (const Server &Each : this->Servers)
      Sum += Each.Alive ? Slots : 0;
    this->Leader->setSlots(Service, Sum);
  }

  void publish() {
    for (std::size_t I = 0; I < this->Servers.size(); ++I)
      this->Published[I] = {this->Servers[I].queuedWork(),
                            this->Servers[I].occupied()};
    for (auto &Each : this->OwnSent)
      std::fill(Each.begin(), Each.end(), View());
  }

  void poll(std::size_t Daemon, int Now) {
    if (!this->UseLevels || this->Scenario.CutOff(Daemon, Now))
      return;
    for (const auto &Each : this->Gates[Daemon].takeReport(at(Now)))
      this->Leader->recordLoad(Each, at(Now));
    const auto Levels = this->Leader->levels(at(Now));
    if (Levels.empty() != this->HadNoLevel) {
      ++this->LevelChanges;
      this->HadNoLevel = Levels.empty();
    }
    this->Gates[Daemon].setLevels(Levels, at(Now));
  }

  void arrive(std::size_t Kind, int Now) {
    ++this->Results[Kind].Offered;
    Request Added;
    Added.Kind = Kind;
    Added.Hash = this->Arrivals.next();
    Added.FirstSentAt = Now;
    Added.SentAt = Now;
    if (this->Arrivals.chance(this->Scenario.Leaving))
      Added.LeavesAt = Now + 300;
    Added.Daemon = this->Scenario.Daemon(Now, this->Arrivals);
    this->admit(Added, Now);
  }

  void admit(const Request &Sent, int Now) {
    const RequestKind &Kind = this->Kinds[Sent.Kind];
    const int TimeLeft = Sent.FirstSentAt + Kind.Deadline - Now;
    if (TimeLeft <= 0)
      return;
    if (this->UseLevels) {
      Admission::AdmissionQuery Query;
      Query.Service = Service;
      Query.Rank = Kind.Rank;
      Query.Team = Kind.Team;
      Query.Work = Kind.work();
      Query.RequestHash = Sent.Hash;
      Query.TimeLeft = std::chrono::milliseconds(TimeLeft);
      Query.TimeLeftShare = static_cast<double>(TimeLeft) / Kind.Deadline;
      const auto Decided = this->Gates[Sent.Daemon].decide(Query, at(Now));
      if (!Decided.Admitted) {
        this->refuse(Sent,
                     static_cast<int>(Decided.Level->RetryAfterMilliseconds +
                                      this->Randomness.below(500)),
                     Now);
        return;
      }
    }
    this->place(Sent, TimeLeft, Now);
  }

  /// Today's placement: the shortest queue known to the daemon; refused if it
  /// is longer than callers wait, or if three servers reject the request.
  void place(Request Sent, int TimeLeft, int Now) {
    const RequestKind &Kind = this->Kinds[Sent.Kind];
    std::vector<std::pair<int, std::size_t>> Order;
    for (std::size_t I = 0; I < this->Servers.size(); ++I) {
      if (!this->Servers[I].Alive)
        continue;
      const View &Own = this->OwnSent[Sent.Daemon][I];
      const int Work = this->Published[I].Work + Own.Work;
      const auto Occupied = this->Published[I].Occupied + Own.Occupied;
      const int Excess = 10 * (Occupied + 1) > 8 * Slots ? 15'000 : 0;
      const int Extra = this->prefixWork(Sent, I);
      Order.push_back(
          {Work + Excess + Extra + static_cast<int>(this->Randomness.below(20)),
           I});
    }
    std::sort(Order.begin(), Order.end());
    auto &Meter = this->Gates[Sent.Daemon].meter();
    const int Bound = Kind.Rank == 0
                          ? TimeLeft
                          : std::min(TimeLeft, std::max(2000, 4 * Kind.Target));
    if (!Order.empty()) {
      const std::size_t Best = Order.front().second;
      const int Queued =
          this->Published[Best].Work + this->OwnSent[Sent.Daemon][Best].Work;
      if (Queued > (Kind.Rank == 0 ? Bound : Kind.Target))
        Meter.recordWithoutRoom(Service, Kind.Rank);
      if (Queued > Bound) {
        this->refuse(Sent, Queued - Bound / 2, Now);
        return;
      }
    }
    for (std::size_t I = 0; I < Order.size() && I < 3; ++I) {
      Server &To = this->Servers[Order[I].second];
      View &Own = this->OwnSent[Sent.Daemon][Order[I].second];
      const int Needed = Kind.Prefill + this->prefixWork(Sent, Order[I].second);
      Own.Work += Needed;
      ++Own.Occupied;
      if (To.occupied() >= Slots)
        continue;
      Sent.Remaining = Needed;
      auto Position = To.Queue.end();
      if (Kind.Rank == 0)
        Position = std::find_if(To.Queue.begin(), To.Queue.end(),
                                [this](const Request &Each) {
                                  return this->Kinds[Each.Kind].Rank != 0;
                                });
      To.Queue.insert(Position, Sent);
      return;
    }
    Meter.recordWithoutRoom(Service, Kind.Rank);
    this->refuse(Sent, 250, Now);
  }

  int prefixWork(const Request &Sent, std::size_t Server) const {
    constexpr std::size_t Caching = 3;
    return this->Scenario.PrefixKind == Sent.Kind && Server >= Caching
               ? this->Scenario.PrefixWork
               : 0;
  }

  void refuse(Request Sent, int RetryAfter, int Now) {
    const RequestKind &Kind = this->Kinds[Sent.Kind];
    ++this->Results[Sent.Kind].Refused;
    ++Sent.Repeats;
    if (this->Scenario.ImpatientKind == Sent.Kind) {
      if (Sent.Repeats <= 20)
        this->Returning.insert({Now + 20, Sent});
      return;
    }
    // Callers honour a Retry-After up to a third of their time left.
    const int TimeLeft = Sent.FirstSentAt + Kind.Deadline - Now;
    if (Sent.Repeats <= 3 && RetryAfter * 3 <= TimeLeft)
      this->Returning.insert({Now + RetryAfter, Sent});
  }

  void advance(Server &Each, int Now) {
    std::erase_if(Each.SlotEnds, [Now](int End) { return End <= Now; });
    std::erase_if(Each.Queue, [this, Now](const Request &Waiting) {
      const bool Left = Waiting.LeavesAt >= 0 && Now >= Waiting.LeavesAt;
      const bool Expired =
          Now - Waiting.FirstSentAt >= this->Kinds[Waiting.Kind].Deadline;
      if (Expired)
        ++this->Results[Waiting.Kind].Expired;
      return Left || Expired;
    });
    if (Each.Queue.empty() || --Each.Queue.front().Remaining > 0)
      return;
    const Request Begun = Each.Queue.front();
    Each.Queue.pop_front();
    const RequestKind &Kind = this->Kinds[Begun.Kind];
    Each.SlotEnds.push_back(Now + Kind.Decode);
    KindResult &Result = this->Results[Begun.Kind];
    ++Result.Served;
    // The target counts from the attempt that the daemon asked the caller for.
    if (Now - Begun.SentAt <= Kind.Target)
      ++Result.OnTime;
    this->Gates[Begun.Daemon].meter().recordServed(Service, Kind.Rank,
                                                   Kind.work());
  }

  inline static const Common::ServiceName Service{"model"};
  std::vector<RequestKind> Kinds;
  OverloadScenario Scenario;
  bool UseLevels;
  /// Apart from the other one, so that all policies get the same requests.
  Common::Random Arrivals;
  Common::Random Randomness;
  std::vector<KindResult> Results;
  std::vector<Server> Servers;
  std::vector<View> Published;
  std::vector<std::vector<View>> OwnSent;
  std::deque<Admission::AdmissionGate> Gates;
  std::optional<Admission::LevelPlanner> Leader;
  std::multimap<int, Request> Returning;
  bool HadNoLevel = true;
  int LevelChanges = 0;
};

} // namespace UnitTests

#endif
