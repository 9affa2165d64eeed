#include "Rollout/Evidence.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>

namespace Rollout {

namespace {

constexpr Common::Duration SlotLength = std::chrono::milliseconds(250);
/// Long enough for a few requests at each server, short enough that a version
/// that turns bad is not outvoted by its good start.
constexpr Common::Duration ShortWindow = std::chrono::milliseconds(1500);
constexpr Common::Duration LongWindow = std::chrono::seconds(4);
/// Requests without an output are known to be late for this long.
constexpr Common::Duration SlotRetention = std::chrono::seconds(15);
/// A request is overdue only when its entry daemon must have reported since.
constexpr Common::Duration ReportPeriod = std::chrono::milliseconds(450);

/// Logarithm of the likelihood ratio that condemns a version: a good one
/// reaches it with a probability of about 1 in 1,000 for each test.
constexpr double VersionThreshold = 7;
/// The same for one server to count as worse.
constexpr double ServerThreshold = 1;
constexpr double MaxServerScore = 4;
/// Servers that are not worse for each one that is. Individual servers are
/// faulty too, but rarely nearly all of them.
constexpr double MaxFineServers = 0.25;
/// Fraction of the servers with enough requests that must be worse; some of the
/// others have too few to tell.
constexpr double MinWorseServers = 0.62;
constexpr std::size_t ManyServers = 6;
constexpr double ManyWorse = 0.75;
/// With fewer servers, all of them being faulty individually is not unlikely.
constexpr std::size_t ConclusiveServers = 3;
constexpr std::uint64_t MinRequestsAtServer = 4;

/// Fraction of failures that a version may have beyond the others'.
constexpr double ToleratedFailures = 0.02;
constexpr double BadFailures = 0.22;
/// The same while other versions serve too few requests for a comparison: a
/// fault of the environment cannot be told from one of the version.
constexpr double ToleratedFailuresAlone = 0.3;
/// Requests at other versions that are a comparison, as a fraction of those at
/// the target.
constexpr double MinComparison = 0.15;
/// A response is late at this multiple of the lower quartile. Less than the 8
/// times of a bad version, and more than noise on top of servers that differ.
constexpr double LateFactor = 4.6;
constexpr double ToleratedLate = 0.04;
constexpr double BadLate = 0.2;
/// Requests of a good version that take twice as long, as its caches are cold.
constexpr double ColdFraction = 0.1;
/// How much slower servers of a good version may be: cold caches, and the
/// slowest servers against average ones.
constexpr double ToleratedSlowdown = 3.4;
constexpr double BadSlowdown = 4.4;
constexpr std::uint64_t MinLatencies = 12;
/// Responses that tell the speed of one server.
constexpr double MinRequestsForSpeed = 6;
/// How much slower than the lower quartile of its version a server may be.
constexpr double UnknownSpeed = 1.2;
/// The same for a server whose own speed is known.
constexpr double SlowestToFast = 1.8;
/// Output gaps of one stream depend on each other, so each counts as a part.
constexpr double GapWeight = 0.1;
/// Requests without a fault that confirm a route.
constexpr std::uint64_t ConfirmingRequests = 8;
/// Routes with less than this fraction of the requests need no confirmation.
constexpr double MinRouteFraction = 0.02;

/// Requests at one server, those of them that count against it, and the
/// likelihood ratio that follows.
struct ServerScore {
  std::uint64_t Requests = 0;
  double Score = 0;
};

double likelihoodRatio(double Against, double Total, double Expected,
                       double Bad) {
  return Against * std::log(Bad / Expected) +
         (Total - Against) * std::log((1 - Bad) / (1 - Expected));
}

double bucketStart(std::size_t Bucket) {
  return std::exp2(static_cast<double>(Bucket) / 2);
}

/// In milliseconds, interpolated within the bucket.
double quantile(const DurationHistogram &Times, double Fraction) {
  const double Wanted = Fraction * static_cast<double>(Times.total());
  double Below = 0;
  for (std::size_t I = 0; I < Times.Counts.size(); ++I) {
    const double Here = Times.Counts[I];
    if (Here > 0 && Below + Here >= Wanted)
      return bucketStart(I) * std::exp2((Wanted - Below) / Here / 2);
    Below += Here;
  }
  return 0;
}

double countAbove(const DurationHistogram &Times, double Milliseconds) {
  const double Position = 2 * std::log2(std::max(1.0, Milliseconds));
  double Result = 0;
  for (std::size_t I = 0; I < Times.Counts.size(); ++I) {
    const double Above =
        std::clamp(static_cast<double>(I + 1) - Position, 0.0, 1.0);
    Result += Above * Times.Counts[I];
  }
  return Result;
}

/// Combines the scores of the servers of a version.
Finding combine(const std::vector<ServerScore> &Scores,
                const Evidence::Scope &Of) {
  std::size_t Worse = 0;
  std::size_t Fine = 0;
  std::size_t Counted = 0;
  std::size_t Tending = 0;
  double Sum = 0;
  for (const ServerScore &Each : Scores) {
    if (Each.Requests < MinRequestsAtServer)
      continue;
    ++Counted;
    Tending += Each.Score > 0 ? 1 : 0;
    Worse += Each.Score >= ServerThreshold ? 1 : 0;
    Fine += Each.Score <= -ServerThreshold ? 1 : 0;
    // So that no single server condemns the version.
    Sum += std::min(Each.Score, MaxServerScore);
  }
  if (Worse == 0)
    return Finding::Open;
  const bool IsEachWorse = static_cast<double>(Fine) <=
                               MaxFineServers * static_cast<double>(Worse) &&
                           static_cast<double>(Worse) >=
                               MinWorseServers * static_cast<double>(Counted);
  // With many servers, a tendency of each is enough.
  const bool AreManyWorse =
      Counted >= ManyServers &&
      static_cast<double>(Tending) >= ManyWorse * static_cast<double>(Counted);
  const bool IsNearlyAll = IsEachWorse || AreManyWorse;
  const bool IsConclusive =
      Worse + Fine >= std::min(ConclusiveServers, Of.TargetServers);
  const double Threshold =
      Of.IsFinal || Of.TargetServers == 1 ? MaxServerScore : VersionThreshold;
  if (IsNearlyAll && IsConclusive && Sum >= Threshold)
    return Finding::Bad;
  return Fine <= Worse ? Finding::Suspicious : Finding::Open;
}

using ServerTallies = std::map<Common::BackendServerId, Tally>;

Tally sumOf(const ServerTallies &Servers, bool OfTarget) {
  Tally Result;
  for (const auto &[Server, Requests] : Servers)
    if (Server.empty() != OfTarget)
      Result.add(Requests);
  return Result;
}

/// Failures come before the answers to requests that were sent at the same
/// time, so they are related to what was sent.
double sentOrDecided(const Tally &Requests) {
  return static_cast<double>(std::max(Requests.Sent, Requests.decided()));
}

/// ExpectedFailures is the fraction that failed at other versions while the
/// target got its requests.
Assessment testFailures(const std::string &Route, const ServerTallies &Servers,
                        double ExpectedFailures, const Evidence::Scope &Of) {
  const Tally Others = sumOf(Servers, false);
  const Tally Target = sumOf(Servers, true);
  const double Expected = ToleratedFailures + std::min(0.6, ExpectedFailures);
  const double Bad = Expected + BadFailures * (1 - Expected);
  std::vector<ServerScore> Scores;
  for (const auto &[Server, Requests] : Servers)
    if (!Server.empty())
      Scores.push_back(
          {std::max(Requests.Sent, Requests.decided()),
           likelihoodRatio(static_cast<double>(Requests.Failed),
                           sentOrDecided(Requests), Expected, Bad)});
  Assessment Result;
  Result.Cause = "failures";
  Result.Result = combine(Scores, Of);
  Result.Figures = absl::StrFormat(
      "route %s: target %d of %.0f failed, others %d of %.0f",
      Route.empty() ? "all" : Route, Target.Failed, sentOrDecided(Target),
      Others.Failed, sentOrDecided(Others));
  return Result;
}

/// Requests on all routes of each server.
ServerTallies joinRoutes(const std::map<std::string, ServerTallies> &Routes) {
  ServerTallies Result;
  for (const auto &[Route, Servers] : Routes)
    for (const auto &[Server, Requests] : Servers) {
      Tally &Sum = Result[Server];
      Sum.add(Requests);
    }
  return Result;
}

} // namespace

const char *nameOf(Finding Value) {
  switch (Value) {
  case Finding::Open:
    return "open";
  case Finding::Good:
    return "good";
  case Finding::Suspicious:
    return "suspicious";
  case Finding::Bad:
    return "bad";
  }
  return "unknown";
}

std::uint64_t Tally::decided() const {
  return std::max(this->FirstOutput.total(), this->Answered) + this->Failed +
         this->Lost;
}

void Tally::add(const Tally &Other) {
  this->Sent += Other.Sent;
  this->Answered += Other.Answered;
  this->Failed += Other.Failed;
  this->Lost += Other.Lost;
  if (!Other.FirstOutput.Counts.empty())
    this->FirstOutput.add(Other.FirstOutput);
  if (!Other.OutputGap.Counts.empty())
    this->OutputGap.add(Other.OutputGap);
}

void Evidence::add(const std::string &Route,
                   const Common::BackendServerId &Server, const Tally &Added,
                   bool Recent, Common::TimePoint Now) {
  this->Total[Route][Server].add(Added);
  if (!Recent)
    return;
  if (this->Slots.empty() || Now - this->Slots.back().StartsAt >= SlotLength)
    this->Slots.push_back({Now, {}});
  this->Slots.back().Requests[Route][Server].add(Added);
  while (Now - this->Slots.front().StartsAt > SlotRetention)
    this->Slots.pop_front();
}

Evidence::Tallies Evidence::sumSince(Common::TimePoint Start) const {
  Tallies Result;
  for (const Slot &Each : this->Slots)
    if (Each.StartsAt >= Start)
      for (const auto &[Route, Servers] : Each.Requests)
        for (const auto &[Server, Requests] : Servers)
          Result[Route][Server].add(Requests);
  return Result;
}

double Evidence::expectedFailures(const std::string &Route,
                                  Common::TimePoint Start) const {
  // A fault of the environment during a time in which the target got more
  // requests than usual must not count against it.
  constexpr std::size_t SlotsInPeriod = 2;
  constexpr double PriorRequests = 20;
  Tally AllOthers;
  double Weighted = 0;
  double Weights = 0;
  for (std::size_t I = 0; I < this->Slots.size(); I += SlotsInPeriod) {
    Tally Others;
    Tally Target;
    for (std::size_t J = I; J < std::min(I + SlotsInPeriod, this->Slots.size());
         ++J) {
      if (this->Slots[J].StartsAt < Start)
        continue;
      for (const auto &[Name, Servers] : this->Slots[J].Requests)
        if (Route.empty() || Name == Route) {
          Others.add(sumOf(Servers, false));
          Target.add(sumOf(Servers, true));
        }
    }
    AllOthers.Sent += Others.Sent;
    AllOthers.Failed += Others.Failed;
    const auto Weight = static_cast<double>(Target.Sent);
    const double Rate =
        Others.Sent == 0 ? 0
                         : std::min(1.0, static_cast<double>(Others.Failed) /
                                             static_cast<double>(Others.Sent));
    const bool IsCompared =
        static_cast<double>(Others.Sent) >= MinComparison * Weight;
    Weighted +=
        Weight * (IsCompared ? Rate : std::max(Rate, ToleratedFailuresAlone));
    Weights += Weight;
  }
  const double Plain = (static_cast<double>(AllOthers.Failed) + 0.2) /
                       (static_cast<double>(AllOthers.Sent) + PriorRequests);
  const double Rate = Weights > 0 ? std::max(Plain, Weighted / Weights) : Plain;
  // What few requests at other versions say is uncertain.
  return Rate +
         std::sqrt(Rate * (1 - std::min(1.0, Rate)) /
                   (static_cast<double>(AllOthers.Sent) + PriorRequests));
}

std::uint64_t Evidence::overdue(const std::string &Route,
                                const Common::BackendServerId &Server,
                                Common::Duration Age,
                                Common::TimePoint Now) const {
  const auto FoundRoute = this->Total.find(Route);
  if (FoundRoute == this->Total.end())
    return 0;
  const auto Found = FoundRoute->second.find(Server);
  if (Found == FoundRoute->second.end())
    return 0;
  std::uint64_t Sent = Found->second.Sent;
  for (auto Each = this->Slots.rbegin(); Each != this->Slots.rend(); ++Each) {
    if (Each->StartsAt + SlotLength + ReportPeriod + Age <= Now)
      break;
    const auto RouteOfSlot = Each->Requests.find(Route);
    if (RouteOfSlot == Each->Requests.end())
      continue;
    const auto Here = RouteOfSlot->second.find(Server);
    if (Here != RouteOfSlot->second.end())
      Sent -= Here->second.Sent;
  }
  const std::uint64_t Decided = Found->second.decided();
  return Sent > Decided ? Sent - Decided : 0;
}

double Evidence::fastSince(const std::string &Route,
                           const Common::BackendServerId &Server,
                           double Milliseconds, Common::TimePoint Start) const {
  double Result = 0;
  for (auto Each = this->Slots.rbegin();
       Each != this->Slots.rend() && Each->StartsAt >= Start; ++Each) {
    const auto RouteOfSlot = Each->Requests.find(Route);
    if (RouteOfSlot == Each->Requests.end())
      continue;
    const auto Here = RouteOfSlot->second.find(Server);
    if (Here == RouteOfSlot->second.end())
      continue;
    const DurationHistogram &Times = Here->second.FirstOutput;
    Result +=
        static_cast<double>(Times.total()) - countAbove(Times, Milliseconds);
  }
  return Result;
}

Assessment Evidence::testTimes(const std::string &Route, const Tallies &Window,
                               const Scope &Of, bool OfGaps,
                               Common::TimePoint Now,
                               ScoresByServer &OnAllRoutes) const {
  const auto Member = OfGaps ? &Tally::OutputGap : &Tally::FirstOutput;
  const double Weight = OfGaps ? GapWeight : 1;
  Assessment Result;
  Result.Cause = OfGaps ? "late_output" : "late_first_output";
  const ServerTallies &Servers = Window.at(Route);
  const DurationHistogram Target = sumOf(Servers, true).*Member;
  DurationHistogram Others = sumOf(Servers, false).*Member;
  // While no requests go to other versions, only their slowest ones end.
  if (static_cast<double>(Others.total()) <
      MinComparison * static_cast<double>(Target.total()))
    Others = sumOf(this->Total.at(Route), false).*Member;
  const auto OtherCount = static_cast<double>(Others.total());
  if (OtherCount * Weight < MinLatencies)
    return Result;
  constexpr double Quartile = 0.25;
  const double OtherQuartile = quantile(Others, Quartile);
  const double LongestGood = ToleratedSlowdown * OtherQuartile;
  // A server with too few responses is taken for as fast as its version.
  const double VersionQuartile =
      static_cast<double>(Target.total()) * Weight >= MinLatencies
          ? std::min(UnknownSpeed * quantile(Target, Quartile), LongestGood)
          : LongestGood;
  const auto LimitAt = [&](const Common::BackendServerId &Server) {
    const auto Known = this->Total.at(Route).find(Server);
    const bool HasOwn =
        Known != this->Total.at(Route).end() &&
        static_cast<double>((Known->second.*Member).total()) * Weight >=
            MinRequestsForSpeed;
    return LateFactor *
           (HasOwn ? std::min(quantile(Known->second.*Member, Quartile),
                              SlowestToFast / UnknownSpeed * VersionQuartile)
                   : VersionQuartile);
  };
  double LongestLimit = 0;
  // The others' servers are known only together, the slow and the fast ones.
  const double LimitOfOthers = SlowestToFast * LateFactor * OtherQuartile;
  const double OtherAbove = countAbove(Others, LimitOfOthers);
  // A part of the requests meets a cold cache, which doubles their time.
  const double OtherAboveHalf = countAbove(Others, LimitOfOthers / 2);
  const double Expected =
      ToleratedLate +
      std::min(0.6,
               (OtherAbove + ColdFraction * (OtherAboveHalf - OtherAbove)) /
                   OtherCount);
  const double Bad = Expected + BadLate;
  const double OtherMedian = quantile(Others, 0.5);
  std::vector<ServerScore> Late;
  std::vector<ServerScore> Slow;
  double Above = 0;
  double Count = 0;
  for (const auto &[Server, Requests] : Servers) {
    if (Server.empty())
      continue;
    const DurationHistogram &Times = Requests.*Member;
    const double Limit = LimitAt(Server);
    LongestLimit = std::max(LongestLimit, Limit);
    const double Overdue =
        OfGaps ? 0
               : static_cast<double>(this->overdue(
                     Route, Server, Common::fromSeconds(Limit / 1000), Now));
    // Of the requests sent recently only the fast ones are known.
    const double RecentFast =
        OfGaps ? 0
               : this->fastSince(
                     Route, Server, Limit,
                     Now - ReportPeriod -
                         Common::fromSeconds((Limit - OtherMedian) / 1000));
    const double CountHere =
        (std::max(0.0, static_cast<double>(Times.total()) - RecentFast) +
         Overdue) *
        Weight;
    const double AboveHere = (countAbove(Times, Limit) + Overdue) * Weight;
    Above += AboveHere;
    Count += CountHere;
    if (CountHere < 1)
      continue;
    const auto Weighted = static_cast<std::uint64_t>(CountHere);
    const double Score = likelihoodRatio(AboveHere, CountHere, Expected, Bad);
    Late.push_back({Weighted, Score});
    auto &[RequestSum, ScoreSum] = OnAllRoutes[Server];
    RequestSum += Weighted;
    ScoreSum += Score;
    // All responses of a server being slow leaves its quartile high as well.
    const bool IsSlow = quantile(Times, 0.5) > BadSlowdown * OtherMedian;
    Slow.push_back({Weighted, (IsSlow ? 0.4 : -0.4) * CountHere});
  }
  Result.Result = std::max(combine(Late, Of), combine(Slow, Of));
  Result.Figures = absl::StrFormat(
      "route %s: target median %.0f ms, %.0f of %.0f over %.0f ms; others "
      "median %.0f ms, %.0f of %.0f over %.0f ms",
      Route, quantile(Target, 0.5), Above, Count, LongestLimit, OtherMedian,
      OtherAbove * Weight, OtherCount * Weight, LimitOfOthers);
  return Result;
}

bool Evidence::isConfirmedOnEachRoute() const {
  std::uint64_t All = 0;
  for (const auto &[Route, Servers] : this->Total)
    All += sumOf(Servers, false).ended() + sumOf(Servers, true).ended();
  bool Any = false;
  for (const auto &[Route, Servers] : this->Total) {
    const Tally Target = sumOf(Servers, true);
    const std::uint64_t Here = sumOf(Servers, false).ended() + Target.ended();
    if (static_cast<double>(Here) < MinRouteFraction * static_cast<double>(All))
      continue;
    if (Target.ended() < ConfirmingRequests)
      return false;
    Any = true;
  }
  return Any;
}

Assessment Evidence::assess(const Evidence::Scope &Of,
                            Common::TimePoint Now) const {
  Assessment Result;
  const auto Consider = [&Result](Assessment Found) {
    if (Found.Result >= Finding::Suspicious && Found.Result > Result.Result)
      Result = std::move(Found);
  };
  const auto ConsiderTimes = [&](const Tallies &Window) {
    for (const bool OfGaps : {false, true}) {
      ScoresByServer OnAllRoutes;
      Assessment Together;
      for (const auto &Each : Window) {
        Assessment Found =
            this->testTimes(Each.first, Window, Of, OfGaps, Now, OnAllRoutes);
        Together.Cause = Found.Cause;
        if (!Found.Figures.empty())
          absl::StrAppend(&Together.Figures,
                          Together.Figures.empty() ? "" : "; ", Found.Figures);
        Consider(std::move(Found));
      }
      std::vector<ServerScore> Scores;
      for (const auto &[Server, Score] : OnAllRoutes)
        Scores.push_back({Score.first, Score.second});
      Together.Result = combine(Scores, Of);
      Consider(std::move(Together));
    }
  };
  const auto ConsiderFailures = [&](const Tallies &Window,
                                    Common::TimePoint Start) {
    Consider(testFailures("", joinRoutes(Window),
                          this->expectedFailures("", Start), Of));
    for (const auto &[Route, Servers] : Window)
      Consider(testFailures(Route, Servers,
                            this->expectedFailures(Route, Start), Of));
  };
  ConsiderFailures(this->sumSince(Now - ShortWindow), Now - ShortWindow);
  const Tallies Recent = this->sumSince(Now - LongWindow);
  ConsiderFailures(Recent, Now - LongWindow);
  ConsiderTimes(Recent);
  const Tallies Retained = this->sumSince(Now - SlotRetention);
  ConsiderFailures(Retained, Now - SlotRetention);
  ConsiderTimes(Retained);
  if (Result.Result < Finding::Suspicious) {
    std::string Times;
    for (const auto &Each : Retained) {
      ScoresByServer Unused;
      const Assessment Found =
          this->testTimes(Each.first, Retained, Of, false, Now, Unused);
      if (!Found.Figures.empty())
        absl::StrAppend(&Times, "; ", Found.Figures);
    }
    Result = testFailures("", joinRoutes(this->Total), 0, Of);
    Result.Cause.clear();
    Result.Figures += Times;
    Result.Result =
        this->isConfirmedOnEachRoute() ? Finding::Good : Finding::Open;
  }
  return Result;
}

} // namespace Rollout
