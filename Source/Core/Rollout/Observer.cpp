#include "Rollout/Observer.h"

#include <algorithm>
#include <cmath>

namespace Rollout {

namespace {

/// With fewer samples, LongWaitWithoutSamples applies.
constexpr std::uint64_t MinSamples = 10;
constexpr Common::Duration LongWaitWithoutSamples = std::chrono::seconds(1);
/// Bad versions answer several times later than others.
constexpr int LongWaitMultiple = 4;
constexpr double UsualQuantile = 0.9;
/// The share of failures of a bad version, at least.
constexpr double BadFailureShare = 0.3;
/// Assumed share of failures of a good version, at least, so that a few
/// failures are never taken for evidence.
constexpr double MinUsualFailureShare = 0.05;
/// Logarithm of the likelihood ratio of a bad version to a good one at which
/// this daemon stops on its own: one false stop in about nine million.
constexpr double OverwhelmingEvidence = 16;
/// Failures of one server are no failure of its version.
constexpr int MinFailingServers = 2;
constexpr std::uint64_t MinFailuresPerServer = 2;

/// Upper bound of the bucket in which the quantile lies.
Common::Duration quantile(const DurationHistogram &Of, double Quantile) {
  const double Rank = static_cast<double>(Of.total()) * Quantile;
  double Sum = 0;
  for (std::size_t I = 0; I < Of.Counts.size(); ++I) {
    Sum += Of.Counts[I];
    if (Sum >= Rank)
      return Common::fromSeconds(std::exp2(static_cast<double>(I + 1) / 2) /
                                 1000);
  }
  return {};
}

Common::Duration elapsed(Common::TimePoint From, Common::TimePoint To) {
  return std::chrono::duration_cast<Common::Duration>(To - From);
}

} // namespace

void Observer::setRollout(const Common::ServiceName &Service,
                          RolloutNumber Number,
                          const Common::SoftwareVersion &Target) {
  if (Target.empty()) {
    this->Rollouts.erase(Service);
    return;
  }
  RolloutState &State = this->Rollouts[Service];
  if (State.Number == Number && State.Target == Target)
    return;
  State = {Number, Target, {}};
}

ObservedNumber Observer::recordStart(const Common::ServiceName &Service,
                                     const std::string &Route,
                                     const Common::BackendServerId &Server,
                                     const Common::SoftwareVersion &Version) {
  Request Started;
  Started.Service = Service;
  Started.Version = Version;
  Started.Key.first = Route;
  const auto Found = this->Rollouts.find(Service);
  if (Found != this->Rollouts.end()) {
    Started.Rollout = Found->second.Number;
    if (Version == Found->second.Target)
      Started.Key.second = Server;
  }
  ++this->LastNumber.Value;
  this->Running[this->LastNumber] = std::move(Started);
  return this->LastNumber;
}

Observer::Stats *Observer::statsOf(const Request &Of) {
  const auto Found = this->Rollouts.find(Of.Service);
  if (Found == this->Rollouts.end() || Found->second.Number != Of.Rollout)
    return nullptr;
  auto [Entry, Inserted] = Found->second.Entries.try_emplace(Of.Key);
  Stats &Result = Entry->second;
  if (Inserted) {
    Result.Sums.Service = Of.Service;
    Result.Sums.Number = Of.Rollout;
    Result.Sums.Route = Of.Key.first;
    Result.Sums.Server = Of.Key.second;
  }
  Result.Changed = true;
  return &Result;
}

void Observer::recordSent(ObservedNumber Number, Common::TimePoint Now) {
  const auto Found = this->Running.find(Number);
  if (Found == this->Running.end() || Found->second.SentAt)
    return;
  Found->second.SentAt = Now;
  if (Stats *Of = this->statsOf(Found->second))
    ++Of->Sums.Sent;
}

void Observer::recordOutput(ObservedNumber Number, Common::TimePoint Now) {
  const auto Found = this->Running.find(Number);
  if (Found == this->Running.end() || !Found->second.SentAt)
    return;
  Request &Current = Found->second;
  Stats *Of = this->statsOf(Current);
  if (Of && !Current.WaitCounted) {
    if (!Current.LastOutputAt)
      Of->Sums.FirstOutput.add(elapsed(*Current.SentAt, Now));
    else if (!Current.Paused)
      Of->Sums.OutputGap.add(elapsed(*Current.LastOutputAt, Now));
  }
  Current.LastOutputAt = Now;
  Current.Paused = false;
  Current.WaitCounted = false;
}

void Observer::recordPause(ObservedNumber Number) {
  const auto Found = this->Running.find(Number);
  if (Found != this->Running.end())
    Found->second.Paused = true;
}

void Observer::recordEnd(ObservedNumber Number, End How,
                         Common::TimePoint Now) {
  const auto Found = this->Running.find(Number);
  if (Found == this->Running.end())
    return;
  Request Ended = std::move(Found->second);
  this->Running.erase(Found);
  if (!Ended.SentAt)
    return;
  Stats *Of = this->statsOf(Ended);
  if (!Of)
    return;
  switch (How) {
  case End::Answered:
    ++Of->Sums.Answered;
    if (!Ended.LastOutputAt && !Ended.WaitCounted)
      Of->Sums.FirstOutput.add(elapsed(*Ended.SentAt, Now));
    return;
  case End::Failed:
    ++Of->Sums.Failed;
    return;
  case End::Abandoned:
    // Otherwise the longest waits, which callers abandon, would not count.
    this->countLongWait(Ended, Now);
    return;
  case End::Lost:
    return;
  }
}

Common::Duration Observer::longWait(const RolloutState &Of,
                                    const std::string &Route,
                                    DurationHistogram Observation::*Times) {
  const auto Others = Of.Entries.find({Route, Common::BackendServerId()});
  if (Others == Of.Entries.end() ||
      (Others->second.Sums.*Times).total() < MinSamples)
    return LongWaitWithoutSamples;
  return quantile(Others->second.Sums.*Times, UsualQuantile) * LongWaitMultiple;
}

void Observer::countLongWait(Request &Waiting, Common::TimePoint Now) {
  if (!Waiting.SentAt || Waiting.Paused || Waiting.WaitCounted)
    return;
  const auto Rollout = this->Rollouts.find(Waiting.Service);
  if (Rollout == this->Rollouts.end() ||
      Rollout->second.Number != Waiting.Rollout)
    return;
  const auto Times = Waiting.LastOutputAt ? &Observation::OutputGap
                                          : &Observation::FirstOutput;
  const Common::Duration Wait =
      elapsed(Waiting.LastOutputAt.value_or(*Waiting.SentAt), Now);
  if (Wait < longWait(Rollout->second, Waiting.Key.first, Times))
    return;
  Waiting.WaitCounted = true;
  if (Stats *Of = this->statsOf(Waiting))
    (Of->Sums.*Times).add(Wait);
}

std::vector<Observation> Observer::takeReport(Common::TimePoint Now) {
  for (auto &[Number, Each] : this->Running)
    this->countLongWait(Each, Now);
  std::vector<Stats *> Order;
  for (auto &[Service, State] : this->Rollouts)
    for (auto &[Key, Each] : State.Entries)
      Order.push_back(&Each);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Stats *Left, const Stats *Right) {
                     if (Left->Changed != Right->Changed)
                       return Left->Changed;
                     return Left->LastReport < Right->LastReport;
                   });
  if (Order.size() > MaxReported)
    Order.resize(MaxReported);
  ++this->Reports;
  std::vector<Observation> Result;
  Result.reserve(Order.size());
  for (Stats *Each : Order) {
    Each->LastReport = this->Reports;
    Each->Changed = false;
    Observation &Reported = Result.emplace_back(Each->Sums);
    for (const auto &[Number, Request] : this->Running) {
      if (Request.Rollout != Reported.Number ||
          Request.Service != Reported.Service ||
          Request.Key != StatsKey(Reported.Route, Reported.Server))
        continue;
      if (Request.SentAt)
        ++Reported.Running;
      // Changes with time, so it is reported again.
      Each->Changed = true;
    }
  }
  return Result;
}

std::uint32_t
Observer::runningElsewhere(const Common::ServiceName &Service,
                           const Common::SoftwareVersion &Version) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->Running.begin(), this->Running.end(), [&](const auto &Each) {
        return Each.second.Service == Service && Each.second.Version != Version;
      }));
}

bool Observer::isOverwhelming(const Common::ServiceName &Service) const {
  const auto Found = this->Rollouts.find(Service);
  if (Found == this->Rollouts.end())
    return false;
  double Failed = 0;
  double Answered = 0;
  double OthersFailed = 0;
  double OthersAnswered = 0;
  std::map<Common::BackendServerId, std::uint64_t> FailuresByServer;
  for (const auto &[Key, Each] : Found->second.Entries) {
    const bool AtTarget = !Key.second.empty();
    (AtTarget ? Failed : OthersFailed) += static_cast<double>(Each.Sums.Failed);
    (AtTarget ? Answered : OthersAnswered) +=
        static_cast<double>(Each.Sums.Answered);
    if (AtTarget)
      FailuresByServer[Key.second] += Each.Sums.Failed;
  }
  const auto FailingServers = std::count_if(
      FailuresByServer.begin(), FailuresByServer.end(),
      [](const auto &Each) { return Each.second >= MinFailuresPerServer; });
  if (FailingServers < MinFailingServers ||
      2 * static_cast<std::size_t>(FailingServers) < FailuresByServer.size())
    return false;
  const double Usual =
      std::max(MinUsualFailureShare,
               (OthersFailed + 1) / (OthersFailed + OthersAnswered + 2));
  if (Usual >= BadFailureShare)
    return false;
  const double Evidence =
      Failed * std::log(BadFailureShare / Usual) +
      Answered * std::log((1 - BadFailureShare) / (1 - Usual));
  return Evidence >= OverwhelmingEvidence;
}

} // namespace Rollout
