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
/// reaches it with a probability of about 1 in 3,000 for each test.
constexpr double VersionThreshold = 8;
/// The same for one server to count as worse.
constexpr double ServerThreshold = 1.5;
/// Fraction of the servers that must be worse. Individual servers are faulty
/// too, but rarely nearly all of them.
constexpr double WorseServerFraction = 0.8;
/// With fewer servers, all of them being faulty individually is not unlikely.
constexpr std::size_t ConclusiveServers = 4;
constexpr std::uint64_t MinRequestsAtServer = 4;

/// Fraction of failures that a version may have beyond the others'.
constexpr double ToleratedFailures = 0.02;
constexpr double BadFailures = 0.22;
/// The same while other versions serve too few requests for a comparison: a
/// fault of the environment cannot be told from one of the version.
constexpr double ToleratedFailuresAlone = 0.1;
/// Requests at other versions that are a comparison, as a fraction of those at
/// the target.
constexpr double MinComparison = 0.15;
/// A response is late at this multiple of the lower quartile. Less than the 8
/// times of a bad version, and more than noise on top of servers that differ.
constexpr double LateFactor = 4.2;
constexpr double ToleratedLate = 0.04;
constexpr double BadLate = 0.2;
/// How much slower servers of a good version may be: cold caches, and the
/// slowest servers against average ones.
constexpr double ToleratedSlowdown = 3.4;
constexpr double BadSlowdown = 4.4;
constexpr std::uint64_t MinLatencies = 12;
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
Finding combine(std::vector<ServerScore> Scores, std::size_t TargetServers) {
  std::erase_if(Scores, [](const ServerScore &Each) {
    return Each.Requests < MinRequestsAtServer;
  });
  if (Scores.empty())
    return Finding::Open;
  const auto Worse = static_cast<std::size_t>(
      std::count_if(Scores.begin(), Scores.end(), [](const ServerScore &Each) {
        return Each.Score >= ServerThreshold;
      }));
  if (Worse == 0)
    return Finding::Good;
  // Without the most conspicuous server, unless it is the only one.
  const auto Worst = std::max_element(
      Scores.begin(), Scores.end(),
      [](const auto &A, const auto &B) { return A.Score < B.Score; });
  if (TargetServers > 1 && Scores.size() > 1)
    Worst->Score = 0;
  else if (TargetServers > 1)
    return Finding::Suspicious;
  double Sum = 0;
  for (const ServerScore &Each : Scores)
    Sum += Each.Score;
  const bool NearlyAll =
      static_cast<double>(Worse) >=
      WorseServerFraction * static_cast<double>(Scores.size());
  const bool Conclusive =
      Scores.size() >= std::min(ConclusiveServers, TargetServers);
  if (NearlyAll && Conclusive && Sum >= VersionThreshold)
    return Finding::Bad;
  return 2 * Worse >= Scores.size() ? Finding::Suspicious : Finding::Good;
}

using ServerTallies = std::map<Common::BackendServerId, Tally>;

Tally sumOf(const ServerTallies &Servers, bool OfTarget) {
  Tally Result;
  for (const auto &[Server, Requests] : Servers)
    if (Server.empty() != OfTarget)
      Result.add(Requests);
  return Result;
}

Assessment testFailures(const std::string &Route, const ServerTallies &Servers,
                        std::size_t TargetServers) {
  const Tally Others = sumOf(Servers, false);
  const Tally Target = sumOf(Servers, true);
  constexpr double PriorRequests = 20;
  const bool IsCompared = static_cast<double>(Others.ended()) >=
                          MinComparison * static_cast<double>(Target.ended());
  const double Expected =
      (IsCompared ? ToleratedFailures : ToleratedFailuresAlone) +
      std::min(0.6, (static_cast<double>(Others.Failed) + 0.2) /
                        (static_cast<double>(Others.ended()) + PriorRequests));
  const double Bad = Expected + BadFailures * (1 - Expected);
  std::vector<ServerScore> Scores;
  for (const auto &[Server, Requests] : Servers)
    if (!Server.empty())
      Scores.push_back({Requests.ended(),
                        likelihoodRatio(static_cast<double>(Requests.Failed),
                                        static_cast<double>(Requests.ended()),
                                        Expected, Bad)});
  Assessment Result;
  Result.Cause = "failures";
  Result.Result = combine(std::move(Scores), TargetServers);
  Result.Figures =
      absl::StrCat("route ", Route.empty() ? "all" : Route, ": target ",
                   Target.Failed, " of ", Target.ended(), " failed, others ",
                   Others.Failed, " of ", Others.ended());
  return Result;
}

/// Failures on all routes of each server.
ServerTallies joinRoutes(const std::map<std::string, ServerTallies> &Routes) {
  ServerTallies Result;
  for (const auto &[Route, Servers] : Routes)
    for (const auto &[Server, Requests] : Servers) {
      Tally &Sum = Result[Server];
      Sum.Answered += Requests.Answered;
      Sum.Failed += Requests.Failed;
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

Assessment Evidence::testTimes(const std::string &Route, const Tallies &Window,
                               std::size_t TargetServers, bool OfGaps,
                               Common::TimePoint Now) const {
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
  // Too few responses are no measure of the version's own speed.
  const bool HasOwnSpeed =
      static_cast<double>(Target.total()) * Weight >= MinLatencies;
  const double Limit =
      LateFactor * (HasOwnSpeed
                        ? std::min(quantile(Target, Quartile), LongestGood)
                        : LongestGood);
  const double LimitOfOthers = LateFactor * OtherQuartile;
  const double OtherAbove = countAbove(Others, LimitOfOthers);
  const double Expected =
      ToleratedLate + std::min(0.6, 1.3 * OtherAbove / OtherCount);
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
    const double Overdue =
        OfGaps ? 0
               : static_cast<double>(this->overdue(
                     Route, Server, Common::fromSeconds(Limit / 1000), Now));
    const double CountHere =
        (static_cast<double>(Times.total()) + Overdue) * Weight;
    const double AboveHere = (countAbove(Times, Limit) + Overdue) * Weight;
    Above += AboveHere;
    Count += CountHere;
    if (CountHere < 1)
      continue;
    const auto Weighted = static_cast<std::uint64_t>(CountHere);
    Late.push_back(
        {Weighted, likelihoodRatio(AboveHere, CountHere, Expected, Bad)});
    // All responses of a server being slow leaves its quartile high as well.
    const bool IsSlow = quantile(Times, 0.5) > BadSlowdown * OtherMedian;
    Slow.push_back({Weighted, (IsSlow ? 0.4 : -0.4) * CountHere});
  }
  if (Count < MinLatencies)
    return Result;
  Result.Result = std::max(combine(std::move(Late), TargetServers),
                           combine(std::move(Slow), TargetServers));
  Result.Figures = absl::StrFormat(
      "route %s: target median %.0f ms, %.0f of %.0f over %.0f ms; others "
      "median %.0f ms, %.0f of %.0f over %.0f ms",
      Route, quantile(Target, 0.5), Above, Count, Limit, OtherMedian,
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

Assessment Evidence::assess(std::size_t TargetServers,
                            Common::TimePoint Now) const {
  Assessment Result;
  const auto Consider = [&Result](Assessment Found) {
    if (Found.Result >= Finding::Suspicious && Found.Result > Result.Result)
      Result = std::move(Found);
  };
  const auto ConsiderTimes = [&](const Tallies &Window) {
    for (const auto &Each : Window) {
      Consider(this->testTimes(Each.first, Window, TargetServers, false, Now));
      Consider(this->testTimes(Each.first, Window, TargetServers, true, Now));
    }
  };
  const auto ConsiderFailures = [&](const Tallies &Window) {
    Consider(testFailures("", joinRoutes(Window), TargetServers));
    for (const auto &[Route, Servers] : Window)
      Consider(testFailures(Route, Servers, TargetServers));
  };
  ConsiderFailures(this->sumSince(Now - ShortWindow));
  const Tallies Recent = this->sumSince(Now - LongWindow);
  ConsiderFailures(Recent);
  ConsiderTimes(Recent);
  ConsiderFailures(this->Total);
  ConsiderTimes(this->Total);
  if (Result.Result == Finding::Open) {
    Result = testFailures("", joinRoutes(this->Total), TargetServers);
    Result.Cause.clear();
    Result.Result =
        this->isConfirmedOnEachRoute() ? Finding::Good : Finding::Open;
  }
  return Result;
}

} // namespace Rollout
