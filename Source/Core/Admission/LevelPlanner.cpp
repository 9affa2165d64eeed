#include "Admission/LevelPlanner.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// The limit is adjusted this often.
constexpr Common::Duration UpdatePeriod = std::chrono::milliseconds(200);
/// A new leader has heard all entry daemons twice by then: they poll every
/// 400 ms.
constexpr Common::Duration LearningTime = std::chrono::milliseconds(900);
/// The service is short of room if more than this fraction of its admitted
/// requests found none, for ConfirmationTime. With stale loads, daemons choose
/// the same servers, so that up to a fifth find none while slots are free; in
/// the tests' model, lower bounds refused requests that were served on time
/// before.
constexpr double ShortShare = 0.25;
constexpr Common::Duration ConfirmationTime = std::chrono::milliseconds(400);
/// Below this fraction, the limit rises again. The gap between the two keeps
/// levels steady.
constexpr double AmpleShare = 0.18;
/// A reduction shows in the reports after a poll, a response and the queues
/// that exist; until then it is not repeated.
constexpr Common::Duration ReductionInterval = std::chrono::milliseconds(800);
/// The rate at which servers began work understates the room a little: some
/// requests found no server although one had room.
constexpr double InitialFactor = 1.05;
constexpr double ReductionFactor = 0.95;
/// Whatever the reports say, this fraction of what servers begin is admitted.
constexpr double MinServedFraction = 0.98;
/// Whatever servers begin, this fraction of the demand is admitted, so that the
/// limit recovers soon after a time in which they began nothing.
constexpr double MinOfferedFraction = 0.1;
/// Growth of the limit in a second with room.
constexpr double GrowthPerSecond = 2;
/// All is admitted again when the limit has exceeded the demand by this factor
/// for ReleaseTime.
constexpr double ReleaseFactor = 1.1;
constexpr Common::Duration ReleaseTime = std::chrono::milliseconds(800);
/// Three polls: a level survives the loss of two.
constexpr std::uint32_t ValidMilliseconds = 1200;
constexpr double MinRetryAfterMilliseconds = 400;
constexpr double MaxRetryAfterMilliseconds = 2000;
/// A rank counts this many times as much as the next one where the work of
/// their requests is compared.
constexpr double UrgencyRatio = 2;
/// Services without demand for so many windows are forgotten.
constexpr double ForgottenWindows = 40;

} // namespace

void LevelPlanner::decay(ServiceState &State, Common::TimePoint Now) const {
  if (Now <= State.DecayedAt)
    return;
  const double Factor = std::exp(-Common::toSeconds(Now - State.DecayedAt) /
                                 Common::toSeconds(this->Options.Window));
  for (auto &Each : State.Ranks) {
    RankSums &Sums = Each.second;
    Sums.OfferedMilliseconds *= Factor;
    Sums.ServedMilliseconds *= Factor;
    Sums.Offered *= Factor;
    Sums.Refused *= Factor;
    Sums.WithoutRoom *= Factor;
  }
  State.DecayedAt = Now;
}

void LevelPlanner::recordLoad(const ServiceLoad &Load, Common::TimePoint Now) {
  ServiceState &State = this->Services[Load.Service];
  this->decay(State, Now);
  const auto Valid = [](float Value) {
    return std::isfinite(Value) && Value > 0 ? static_cast<double>(Value) : 0;
  };
  for (const RankLoad &Each : Load.Ranks) {
    RankSums &Sums = State.Ranks[Each.Rank];
    Sums.OfferedMilliseconds += Valid(Each.OfferedMilliseconds);
    Sums.ServedMilliseconds += Valid(Each.AdmittedMilliseconds);
    Sums.Offered += Each.Offered;
    Sums.Refused += Each.Refused;
    Sums.WithoutRoom += Each.WithoutRoom;
  }
}

void LevelPlanner::setSlots(const Common::ServiceName &Service,
                            std::uint32_t Slots) {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return;
  ServiceState &State = Found->second;
  if (State.Limit && State.Slots != 0 && Slots != 0)
    *State.Limit *= static_cast<double>(Slots) / State.Slots;
  State.Slots = Slots;
}

LevelPlanner::Figures LevelPlanner::figures(const ServiceState &State) const {
  const double Window = Common::toSeconds(this->Options.Window);
  Figures Result;
  double Admitted = 0;
  double WithoutRoom = 0;
  for (const auto &Each : State.Ranks) {
    const RankSums &Sums = Each.second;
    Result.OfferedRate += Sums.OfferedMilliseconds / Window;
    Result.ServedRate += Sums.ServedMilliseconds / Window;
    Admitted += std::max(0.0, Sums.Offered - Sums.Refused);
    WithoutRoom += Sums.WithoutRoom;
  }
  if (Admitted >= this->Options.MinRequests)
    Result.WithoutRoomShare = WithoutRoom / Admitted;
  Result.Limit = State.Limit.value_or(0);
  return Result;
}

LevelPlanner::Figures LevelPlanner::figures(const Common::ServiceName &Service,
                                            Common::TimePoint Now) const {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return {};
  ServiceState Copy = Found->second;
  this->decay(Copy, Now);
  return this->figures(Copy);
}

void LevelPlanner::update(ServiceState &State, Common::TimePoint Now) const {
  const Common::Duration Elapsed =
      std::chrono::duration_cast<Common::Duration>(Now - State.UpdatedAt);
  if (Elapsed < UpdatePeriod || Now - this->StartedAt < LearningTime)
    return;
  State.UpdatedAt = Now;
  const Figures Current = this->figures(State);
  if (State.Limit)
    State.Limit =
        std::max(*State.Limit, Current.OfferedRate * MinOfferedFraction);
  if (Current.WithoutRoomShare > ShortShare) {
    State.AmpleSince.reset();
    if (!State.ShortSince)
      State.ShortSince = Now;
    if (!State.Limit) {
      if (Now - *State.ShortSince < ConfirmationTime)
        return;
      State.Limit = Current.ServedRate * InitialFactor;
      State.ReducedAt = Now;
      return;
    }
    if (Now - State.ReducedAt < ReductionInterval)
      return;
    State.Limit = std::max(*State.Limit * ReductionFactor,
                           Current.ServedRate * MinServedFraction);
    State.ReducedAt = Now;
    return;
  }
  State.ShortSince.reset();
  if (!State.Limit || Current.WithoutRoomShare > AmpleShare) {
    State.AmpleSince.reset();
    return;
  }
  // Periods without reports must not raise the limit at once.
  const double Seconds =
      std::min(Common::toSeconds(Elapsed), 2 * Common::toSeconds(UpdatePeriod));
  State.Limit = *State.Limit * std::pow(GrowthPerSecond, Seconds);
  if (*State.Limit < Current.OfferedRate * ReleaseFactor) {
    State.AmpleSince.reset();
    return;
  }
  if (!State.AmpleSince)
    State.AmpleSince = Now;
  if (Now - *State.AmpleSince >= ReleaseTime) {
    State.Limit.reset();
    State.AmpleSince.reset();
  }
}

std::optional<AdmissionLevel>
LevelPlanner::levelAt(const Common::ServiceName &Service,
                      const ServiceState &State, const Figures &Current,
                      double WindowSeconds) {
  if (!State.Limit)
    return std::nullopt;
  double Remaining = *State.Limit - Current.OfferedRate * GuaranteedShare;
  for (const auto &[Rank, Sums] : State.Ranks) {
    const double Offered = Sums.OfferedMilliseconds / WindowSeconds;
    if (Offered <= 0)
      continue;
    const double Needed = Offered * (1 - GuaranteedShare);
    if (Remaining >= Needed) {
      Remaining -= Needed;
      continue;
    }
    AdmissionLevel Result;
    Result.Service = Service;
    Result.Rank = Rank;
    // Less urgent ranks whose requests gain more for the same work get the same
    // share, but never more.
    const double MeanWork =
        Sums.OfferedMilliseconds / std::max(Sums.Offered, 1e-9);
    double SharedOffered = Offered;
    std::vector<bool> SharesAlike;
    for (const auto &[Lesser, Other] : State.Ranks) {
      if (Lesser <= Rank)
        continue;
      SharesAlike.resize(Lesser - Rank, false);
      if (Other.OfferedMilliseconds <= 0 || Other.Offered <= 0)
        continue;
      const double Work = Other.OfferedMilliseconds / Other.Offered *
                          std::pow(UrgencyRatio, Lesser - Rank);
      if (Work > MeanWork)
        continue;
      SharesAlike.back() = true;
      SharedOffered += Other.OfferedMilliseconds / WindowSeconds;
    }
    Result.Share = static_cast<float>(std::min(
        1.0, GuaranteedShare + std::max(Remaining, 0.0) / SharedOffered));
    for (const bool Alike : SharesAlike)
      Result.LesserShares.push_back(
          Alike ? Result.Share : static_cast<float>(GuaranteedShare));
    const double Excess = Current.OfferedRate / std::max(*State.Limit, 1.0) - 1;
    Result.RetryAfterMilliseconds = static_cast<std::uint32_t>(std::clamp(
        1000 * Excess, MinRetryAfterMilliseconds, MaxRetryAfterMilliseconds));
    Result.ValidMilliseconds = ValidMilliseconds;
    return Result;
  }
  return std::nullopt;
}

std::optional<AdmissionLevel>
LevelPlanner::level(const Common::ServiceName &Service, Common::TimePoint Now) {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return std::nullopt;
  ServiceState &State = Found->second;
  this->decay(State, Now);
  this->update(State, Now);
  return levelAt(Service, State, this->figures(State),
                 Common::toSeconds(this->Options.Window));
}

std::vector<AdmissionLevel> LevelPlanner::levels(Common::TimePoint Now) {
  const double Forgotten = std::exp(-ForgottenWindows);
  for (auto &Each : this->Services)
    this->decay(Each.second, Now);
  std::erase_if(this->Services, [Forgotten](const auto &Each) {
    return std::all_of(Each.second.Ranks.begin(), Each.second.Ranks.end(),
                       [Forgotten](const auto &Rank) {
                         return Rank.second.Offered < Forgotten;
                       });
  });
  std::vector<AdmissionLevel> Result;
  for (const auto &Each : this->Services)
    if (auto Level = this->level(Each.first, Now))
      Result.push_back(std::move(*Level));
  return Result;
}

} // namespace Admission
