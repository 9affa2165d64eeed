#include "Admission/AdmissionGate.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// Without a response to a poll that was sent within this time, the leader's
/// silence about a service no longer means that it has room.
constexpr Common::Duration ContactTime = std::chrono::milliseconds(1200);
constexpr Common::Duration AdvancePeriod = std::chrono::milliseconds(200);
/// A daemon without contact sees only its own few requests.
constexpr Common::Duration OwnWindow = std::chrono::seconds(2);
constexpr double OwnMinRequests = 4;
/// Counts that could not be reported for longer than this are dropped: they say
/// nothing about the present.
constexpr std::uint32_t MaxReportedMilliseconds = 2000;
/// Repeats of a request within this time are decided alike. Shorter than any
/// Retry-After.
constexpr Common::Duration RepeatPeriod = std::chrono::milliseconds(400);
/// Admission of a caller whose time is almost over, relative to one that has
/// all its time left.
constexpr double LongWaitingWeight = 2;

/// The share of a rank that the level does not admit whole.
double shareOf(const AdmissionLevel &Level, std::uint32_t Rank) {
  double Result = GuaranteedShare;
  if (Rank == Level.Rank)
    Result = Level.Share;
  else if (Rank - Level.Rank <= Level.LesserShares.size())
    Result = Level.LesserShares[Rank - Level.Rank - 1];
  return std::isfinite(Result) ? std::max(Result, GuaranteedShare)
                               : GuaranteedShare;
}

void addTo(std::vector<ServiceLoad> &Sums, const ServiceLoad &Added) {
  const auto Found =
      std::find_if(Sums.begin(), Sums.end(), [&Added](const auto &Each) {
        return Each.Service == Added.Service;
      });
  if (Found == Sums.end()) {
    Sums.push_back(Added);
    return;
  }
  Found->PeriodMilliseconds += Added.PeriodMilliseconds;
  for (const RankLoad &Load : Added.Ranks) {
    const auto Rank = std::find_if(
        Found->Ranks.begin(), Found->Ranks.end(),
        [&Load](const auto &Each) { return Each.Rank == Load.Rank; });
    if (Rank == Found->Ranks.end()) {
      Found->Ranks.push_back(Load);
      continue;
    }
    Rank->OfferedMilliseconds += Load.OfferedMilliseconds;
    Rank->AdmittedMilliseconds += Load.AdmittedMilliseconds;
    Rank->Offered += Load.Offered;
    Rank->Refused += Load.Refused;
    Rank->WithoutRoom += Load.WithoutRoom;
  }
}

} // namespace

AdmissionGate::AdmissionGate(Common::TimePoint Now)
    : Meter(Now), OwnPlanner({OwnWindow, OwnMinRequests}, Now),
      AdvancedAt(Now) {}

void AdmissionGate::advance(Common::TimePoint Now) {
  if (Now - this->AdvancedAt < AdvancePeriod)
    return;
  this->AdvancedAt = Now;
  for (const ServiceLoad &Each : this->Meter.take(Now)) {
    this->OwnPlanner.recordLoad(Each, Now);
    addTo(this->Unreported, Each);
  }
  std::erase_if(this->Unreported, [](const auto &Each) {
    return Each.PeriodMilliseconds > MaxReportedMilliseconds;
  });
}

std::vector<ServiceLoad> AdmissionGate::takeReport(Common::TimePoint Now) {
  this->advance(Now);
  return std::exchange(this->Unreported, {});
}

void AdmissionGate::setLevels(const std::vector<AdmissionLevel> &Levels,
                              Common::TimePoint PollSentAt) {
  // Responses may overtake each other at a change of leader.
  if (this->LeaderHeardAt && PollSentAt < *this->LeaderHeardAt)
    return;
  this->LeaderHeardAt = PollSentAt;
  this->Levels.clear();
  for (const AdmissionLevel &Each : Levels)
    this->Levels[Each.Service] = {
        Each, PollSentAt + std::chrono::milliseconds(Each.ValidMilliseconds)};
}

bool AdmissionGate::hasContact(Common::TimePoint Now) const {
  return this->LeaderHeardAt && Now - *this->LeaderHeardAt < ContactTime;
}

std::optional<AdmissionLevel>
AdmissionGate::level(const Common::ServiceName &Service,
                     Common::TimePoint Now) {
  this->advance(Now);
  const auto Found = this->Levels.find(Service);
  if (Found != this->Levels.end() && Now < Found->second.Until)
    return Found->second.Level;
  if (this->hasContact(Now))
    return std::nullopt;
  return this->OwnPlanner.level(Service, Now);
}

AdmissionDecision AdmissionGate::decide(const AdmissionQuery &Query,
                                        Common::TimePoint Now) {
  RankShares &Kinds = this->Shares[{Query.Service, Query.Rank}];
  Kinds.record(Query.Team, Query.Work, Now);
  this->Meter.recordOffered(Query.Service, Query.Rank, Query.Work);
  AdmissionDecision Result;
  Result.Level = this->level(Query.Service, Now);
  if (!Result.Level || Query.Rank < Result.Level->Rank)
    return Result;
  Result.IsOwnLevel = !this->hasContact(Now);
  const double Share = shareOf(*Result.Level, Query.Rank);
  Result.Fraction = Kinds.fraction(Query.Team, Query.Work, Share, Now);
  const double Waited = 1 - std::clamp(Query.TimeLeftShare, 0.0, 1.0);
  const double Weight = 1 + (LongWaitingWeight - 1) * Waited;
  // Every daemon decides alike on a request, also if it is repeated at once. A
  // request that returns later is decided anew.
  const std::int64_t Period = Query.TimeLeft / RepeatPeriod;
  const std::uint64_t Hash =
      Common::hashBytes(std::to_string(Period), Query.RequestHash);
  Result.Admitted = Common::fractionOf(Hash) < Result.Fraction * Weight;
  if (!Result.Admitted)
    this->Meter.recordRefused(Query.Service, Query.Rank);
  return Result;
}

} // namespace Admission
