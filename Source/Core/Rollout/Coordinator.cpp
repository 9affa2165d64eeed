#include "Rollout/Coordinator.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>

namespace Rollout {

namespace {

/// Longest validity of directives; two polls may be lost.
constexpr Common::Duration MaxValidity = std::chrono::milliseconds(1500);
/// Fraction of the exposure limit that the trial uses. The rest is for requests
/// that are not reported yet, and for the shift.
constexpr double TrialFraction = 0.6;
constexpr double TrialSlackFraction = 0.5;
constexpr double MaxTrialShare = 0.6;
/// Share of a trial outside its time of full load, relative to the mean share
/// that the limit allows.
constexpr double LightLoad = 0.5;
/// Load of the trial servers at the end of the trial, relative to the others.
constexpr double FullLoad = 1.1;
/// Shortest time of full load that begins on a suspicion, in seconds.
constexpr double LoadTime = 0.5;
/// Requests of this long are not reported yet: a poll period and its way.
constexpr double ReportDelay = 0.6;
/// The shift takes the longer the more time there is.
constexpr Common::Duration MinShiftTime = std::chrono::milliseconds(1300);
constexpr Common::Duration MaxShiftTime = std::chrono::milliseconds(2200);
constexpr double ShiftFraction = 0.11;
/// The share during the first part of the shift, and that part.
constexpr double HeldShare = 0.35;
constexpr double HeldFraction = 0.8;
/// For the last reports and the log.
constexpr Common::Duration FinalMargin = std::chrono::milliseconds(1600);
/// Faults may begin some seconds after a server has started.
constexpr Common::Duration MinTrialTime = std::chrono::milliseconds(5000);
/// Shortest trial of a new leader, or after a restart of all hosts.
constexpr Common::Duration MinOwnTrialTime = std::chrono::milliseconds(2000);
/// Streams that would take longer are moved.
constexpr Common::Duration MoveTime = std::chrono::milliseconds(2000);
/// Most streams that cannot be moved are shorter.
constexpr Common::Duration LeastDrainTime = std::chrono::milliseconds(2900);
constexpr Common::Duration MaxDrainTime = std::chrono::seconds(6);
/// The full load must be observed for a moment.
constexpr Common::Duration FullLoadTime = std::chrono::milliseconds(3000);
/// The same when little time is left.
constexpr Common::Duration MinDrainTime = std::chrono::milliseconds(1200);
/// Number of mean durations that nearly all streams are shorter than.
constexpr double LongestToMean = 4;
/// All entry daemons in contact poll within this time.
constexpr Common::Duration LearningTime = std::chrono::milliseconds(900);
/// An entry daemon that reports nothing for longer is not in contact.
constexpr Common::Duration SilenceTime = std::chrono::seconds(4);
constexpr Common::Duration SilenceTimeAtEnd = std::chrono::milliseconds(1500);
/// How long more servers are observed before the version is condemned.
constexpr Common::Duration SuspicionTime = std::chrono::milliseconds(1500);
constexpr std::uint32_t SuspicionServers = 5;
constexpr std::uint32_t MinTrialServers = 2;
constexpr Common::Duration RateWindow = std::chrono::seconds(2);
/// Smallest relative change of a share that is worth a new directive.
constexpr double MinShareChange = 0.15;
constexpr Common::Duration ShareChangePeriod = std::chrono::milliseconds(400);

} // namespace

Coordinator::Coordinator(ExposureLimits Limits, Common::ServiceName Service,
                         const ServiceRollout &Rollout,
                         Common::TimePoint BegunAt, std::uint64_t FirstRevision,
                         Common::TimePoint Now)
    : Limits(Limits), BegunAt(BegunAt),
      EndsAt(BegunAt + std::chrono::milliseconds(Rollout.DurationMilliseconds)),
      CreatedAt(Now), Recorded(Rollout.Current), ShareSetAt(Now) {
  this->Directed.Service = std::move(Service);
  this->Directed.Number = Rollout.Number;
  this->Directed.Target = Rollout.Target;
  this->Directed.Revision = FirstRevision + 1;
  this->Directed.ValidMilliseconds =
      static_cast<std::uint64_t>(Common::toMilliseconds(
          std::min<Common::Duration>(MaxValidity, Limits.RollbackTime / 3)));
}

void Coordinator::handleReport(const Common::DaemonId &Id,
                               Common::Incarnation Incarnation,
                               std::uint64_t Sequence,
                               const std::vector<Observation> &Observations,
                               const std::vector<Progress> &Progresses,
                               Common::TimePoint Now) {
  const auto [Found, Inserted] = this->Entries.try_emplace(Id);
  Entry &From = Found->second;
  if (Incarnation < From.Incarnation ||
      (Incarnation == From.Incarnation && Sequence <= From.Sequence))
    return;
  // What an earlier incarnation observed stays counted.
  if (Incarnation != From.Incarnation) {
    this->writeOff(From, Now);
    From = Entry{};
  }
  // The first report may cover a long time, unless the rollout has only begun.
  const bool Recent = !Inserted || this->Recorded == Phase::Waiting;
  From.Incarnation = Incarnation;
  From.Sequence = Sequence;
  From.ReportedAt = Now;
  for (const Observation &Each : Observations)
    if (Each.Service == this->Directed.Service &&
        Each.Number == this->Directed.Number)
      this->addObservation(From, Each, Recent, Now);
  for (const Progress &Each : Progresses)
    if (Each.Service == this->Directed.Service &&
        Each.Number == this->Directed.Number)
      From.Reported = Each;
}

void Coordinator::writeOff(const Entry &Ended, Common::TimePoint Now) {
  for (const auto &[Key, Known] : Ended.Observations) {
    Tally Observed;
    Observed.Answered = Known.Answered;
    Observed.Failed = Known.Failed;
    Observed.FirstOutput = Known.FirstOutput;
    const std::uint64_t Decided = Observed.decided();
    Tally Added;
    Added.Lost = Known.Sent > Decided ? Known.Sent - Decided : 0;
    this->Seen.add(Key.first, Key.second, Added, true, Now);
  }
}

void Coordinator::addObservation(Entry &From, const Observation &Observed,
                                 bool Recent, Common::TimePoint Now) {
  Observation &Known = From.Observations[{Observed.Route, Observed.Server}];
  const auto Increase = [](std::uint64_t New, std::uint64_t Old) {
    return New > Old ? New - Old : 0;
  };
  const auto IncreaseOf = [&](const DurationHistogram &New,
                              const DurationHistogram &Old) {
    DurationHistogram Result;
    if (New.Counts.size() != DurationHistogram::Buckets)
      return Result;
    Result.Counts.resize(DurationHistogram::Buckets);
    for (std::size_t I = 0; I < New.Counts.size(); ++I)
      Result.Counts[I] = static_cast<std::uint32_t>(
          Increase(New.Counts[I], I < Old.Counts.size() ? Old.Counts[I] : 0));
    return Result;
  };
  Tally Added;
  Added.Sent = Increase(Observed.Sent, Known.Sent);
  Added.Answered = Increase(Observed.Answered, Known.Answered);
  Added.Failed = Increase(Observed.Failed, Known.Failed);
  Added.FirstOutput = IncreaseOf(Observed.FirstOutput, Known.FirstOutput);
  Added.OutputGap = IncreaseOf(Observed.OutputGap, Known.OutputGap);
  Known = Observed;
  this->TotalSent += Added.Sent;
  if (Observed.Server.empty())
    this->OthersEnded += Added.ended();
  else
    this->TargetSent += Added.Sent;
  this->Seen.add(Observed.Route, Observed.Server, Added, Recent, Now);
}

void Coordinator::updateRate(Common::TimePoint Now) {
  const Common::Duration For = this->RateSamples.empty()
                                   ? Common::Duration{}
                                   : Now - this->RateSamples.back().At;
  this->RateSamples.push_back({Now, For, this->TotalSent, this->OthersEnded,
                               this->Directed.TargetShare});
  std::erase_if(this->RateSamples, [Now](const RateSample &Each) {
    return Now - Each.At > RateWindow;
  });
  const RateSample &First = this->RateSamples.front();
  const double Elapsed = Common::toSeconds(Now - First.At);
  if (Elapsed <= 0)
    return;
  this->Rate = static_cast<double>(this->TotalSent - First.Sent) / Elapsed;
  this->OthersEndedRate =
      static_cast<double>(this->OthersEnded - First.OthersEnded) / Elapsed;
}

Common::Duration Coordinator::expectedDrainTime() const {
  double Running = 0;
  for (const auto &Each : this->Entries)
    if (Each.second.Reported)
      Running += Each.second.Reported->RunningElsewhere;
  const double Mean = Running / std::max(1.0, this->OthersEndedRate);
  return std::clamp(Common::fromSeconds(LongestToMean * Mean),
                    Common::Duration(MinDrainTime),
                    Common::Duration(MaxDrainTime));
}

Common::Duration Coordinator::shiftTime() const {
  return std::clamp(std::chrono::duration_cast<Common::Duration>(
                        (this->EndsAt - this->BegunAt) * ShiftFraction),
                    Common::Duration(MinShiftTime),
                    Common::Duration(MaxShiftTime));
}

Common::TimePoint Coordinator::trialEndsAt(Common::Duration DrainTime) const {
  return this->EndsAt - FinalMargin - this->shiftTime() - DrainTime;
}

Common::TimePoint Coordinator::latestTrialEnd() const {
  return std::max(
      this->CreatedAt + MinOwnTrialTime,
      this->trialEndsAt(std::min(this->expectedDrainTime(), LeastDrainTime)));
}

bool Coordinator::knowsEnoughEntries(const View &Current,
                                     Common::TimePoint Now) const {
  std::size_t Known = 0;
  for (const auto &Each : this->Entries)
    Known += Now - Each.second.ReportedAt < SilenceTime ? 1 : 0;
  return Now - this->CreatedAt >= LearningTime && Known > 0 &&
         2 * Known >= Current.Entries;
}

bool Coordinator::isDrained(Common::TimePoint Now) const {
  const Common::Duration Silence =
      this->EndsAt - Now < FinalMargin ? SilenceTimeAtEnd : SilenceTime;
  bool Any = false;
  for (const auto &[Id, From] : this->Entries) {
    if (Now - From.ReportedAt > Silence)
      continue;
    if (!From.Reported || From.Reported->Revision < this->DrainRevision ||
        From.Reported->RunningElsewhere != 0)
      return false;
    Any = true;
  }
  return Any;
}

double Coordinator::trialShare(Common::TimePoint Now) {
  const double Fraction = TrialFraction * this->Limits.Share;
  double Unreported = 0;
  for (const RateSample &Each : this->RateSamples)
    if (Now - Each.At <= Common::fromSeconds(ReportDelay))
      Unreported += Each.TargetShare * this->Rate * Common::toSeconds(Each.For);
  const double Allowed = Fraction * static_cast<double>(this->TotalSent) +
                         TrialSlackFraction * this->Limits.Slack -
                         static_cast<double>(this->TargetSent) - Unreported;
  const double Remaining = std::max(
      0.5,
      Common::toSeconds(this->trialEndsAt(this->expectedDrainTime()) - Now));
  const double Rate = std::max(1.0, this->Rate);
  const double Mean = Fraction + Allowed / Rate / Remaining;
  // As many servers as the mean share can load fully, but never fewer than
  // before: that would leave those with evidence out.
  const double Loaded =
      Mean * static_cast<double>(this->OtherServers) / FullLoad;
  this->TrialServers = std::max(
      {this->TrialServers, static_cast<std::uint32_t>(std::max(0.0, Loaded)),
       this->SuspiciousSince ? SuspicionServers : MinTrialServers});
  // Faults that occur only under load must become visible, so the servers get
  // the load that the others have, for as long as the limit allows.
  const double Full =
      std::min(MaxTrialShare,
               FullLoad * this->TrialServers /
                   std::max(1.0, static_cast<double>(this->OtherServers)));
  if (Allowed <= 0)
    return 0;
  const bool IsLoaded =
      this->Directed.TargetShare >= Full * (1 - MinShareChange);
  // A time of full load is worth it only if it lasts.
  const bool MayBeginLoad =
      this->SuspiciousSince ? Allowed >= Full * Rate * LoadTime : Mean >= Full;
  if (IsLoaded || MayBeginLoad)
    return Full;
  return std::min(Full, LightLoad * Mean);
}

std::string Coordinator::figures() const {
  return absl::StrFormat("%s; %d of %d requests to the target, %d servers",
                         this->Assessed.Figures, this->TargetSent,
                         this->TotalSent, this->TargetServers);
}

Coordinator::Decision Coordinator::update(const View &Current,
                                          Common::TimePoint Now) {
  Decision Result;
  this->Recorded = Current.Recorded;
  this->TargetServers = static_cast<std::size_t>(std::count_if(
      Current.Servers.begin(), Current.Servers.end(), [this](const auto &Each) {
        return Each.Version == this->Directed.Target;
      }));
  this->OtherServers = Current.Servers.size() - this->TargetServers;
  if (this->TargetServers > 0 && !this->FirstTargetServerAt)
    this->FirstTargetServerAt = Now;
  this->updateRate(Now);
  if (this->Recorded > Phase::Waiting) {
    Evidence::Scope Of{this->TargetServers};
    if (this->Directed.TrialServers != 0)
      Of.TargetServers = std::min<std::size_t>(
          this->TargetServers,
          std::max(this->Directed.TrialServers, SuspicionServers));
    if (this->Recorded == Phase::Trial) {
      Of.IsFinal = Now >= this->latestTrialEnd();
    }
    this->Assessed = this->Seen.assess(Of, Now);
    if (this->Assessed.Result < Finding::Suspicious)
      this->SuspiciousSince.reset();
    else if (!this->SuspiciousSince)
      this->SuspiciousSince = Now;
  }
  if (!this->Ended)
    this->decide(Current, Now, Result);
  if (this->Ended)
    Result.End = this->Ended;

  Directive Planned = this->plannedDirective(Current, Now);
  const double OldShare = this->Directed.TargetShare;
  const bool SameFlags =
      Planned.OthersExcluded == this->Directed.OthersExcluded &&
      Planned.MoveStreams == this->Directed.MoveStreams &&
      Planned.TrialServers == this->Directed.TrialServers;
  const bool Stops = Planned.TargetShare == 0 && OldShare != 0;
  const bool IsSmall =
      std::abs(Planned.TargetShare - OldShare) < MinShareChange * OldShare ||
      (this->Recorded == Phase::Trial && OldShare != 0 &&
       Now - this->ShareSetAt < ShareChangePeriod);
  if (SameFlags && (Planned.TargetShare == OldShare ||
                    (IsSmall && !Stops && Planned.TargetShare != 1)))
    return Result;
  ++Planned.Revision;
  if (Planned.OthersExcluded && !this->Directed.OthersExcluded)
    this->DrainRevision = Planned.Revision;
  this->Directed = std::move(Planned);
  this->ShareSetAt = Now;
  Result.ShareChanged = true;
  Result.Urgent = Stops;
  return Result;
}

void Coordinator::decide(const View &Current, Common::TimePoint Now,
                         Decision &Result) {
  const auto Condemn = [this](std::string Cause) {
    this->Ended = Verdict{false, std::move(Cause), this->figures()};
  };
  if (this->Recorded == Phase::Waiting) {
    if (this->TargetServers > 0)
      Result.Advance = Phase::Trial;
    else if (Now >= this->EndsAt)
      Condemn("no_servers");
    return;
  }
  if (this->Assessed.Result == Finding::Bad) {
    Condemn(this->Assessed.Cause);
    return;
  }
  if (this->Recorded == Phase::Trial)
    this->decideInTrial(Current, Now, Result);
  else if (this->Recorded == Phase::Shift) {
    if (this->ShiftProgress >= this->shiftTime())
      Result.Advance = Phase::Drain;
  } else if (this->DrainStartedAt && this->Directed.OthersExcluded &&
             (Now - *this->DrainStartedAt >= FullLoadTime ||
              (Now - *this->DrainStartedAt >= MinDrainTime &&
               this->EndsAt - Now < FinalMargin)) &&
             this->knowsEnoughEntries(Current, Now) && this->isDrained(Now)) {
    this->Ended = Verdict{true, "good", this->figures()};
  }
}

void Coordinator::decideInTrial(const View &Current, Common::TimePoint Now,
                                Decision &Result) {
  if (this->TargetServers == 0 || !this->knowsEnoughEntries(Current, Now)) {
    if (this->TargetServers == 0 && Now >= this->EndsAt)
      this->Ended = Verdict{false, "no_servers", this->figures()};
    return;
  }
  const Common::TimePoint Latest = this->latestTrialEnd();
  const Common::TimePoint Earliest =
      std::max(this->trialEndsAt(this->expectedDrainTime()),
               *this->FirstTargetServerAt + MinTrialTime);
  if (Now < std::min(Latest, Earliest))
    return;
  const bool IsFine = this->Assessed.Result == Finding::Good &&
                      2 * this->TargetServers >= this->OtherServers;
  if (!IsFine && Now < Latest)
    return;
  if (this->Assessed.Result == Finding::Suspicious && Now < Latest &&
      Now - *this->SuspiciousSince < SuspicionTime)
    return;
  // Requests arrive and none of them was answered by the target.
  if (this->TargetSent == 0 && this->Rate > 1) {
    if (Now >= this->EndsAt)
      this->Ended = Verdict{false, "no_evidence", this->figures()};
    return;
  }
  Result.Advance = Phase::Shift;
}

Directive Coordinator::plannedDirective(const View &Current,
                                        Common::TimePoint Now) {
  Directive Result = this->Directed;
  Result.TargetShare = 0;
  Result.TrialServers = 0;
  Result.OthersExcluded = false;
  Result.MoveStreams = false;
  if ((this->Ended && !this->Ended->Completed) || this->TargetServers == 0 ||
      !this->knowsEnoughEntries(Current, Now))
    return Result;
  switch (this->Recorded) {
  case Phase::Trial: {
    Result.TargetShare = this->trialShare(Now);
    Result.TrialServers = this->TrialServers;
    break;
  }
  case Phase::Shift: {
    if (!this->ShiftStartedAt)
      this->ShiftStartedAt = this->ShiftUpdatedAt = Now;
    // No further while there is a new suspicion and time is left.
    if (!this->SuspiciousSince ||
        Now - *this->SuspiciousSince > SuspicionTime ||
        this->EndsAt - Now < FinalMargin + LeastDrainTime)
      this->ShiftProgress += Now - this->ShiftUpdatedAt;
    this->ShiftUpdatedAt = Now;
    // Held where many servers have full load and the others still serve enough
    // requests for comparison.
    const double Progress = Common::toSeconds(this->ShiftProgress) /
                            Common::toSeconds(this->shiftTime());
    const double Rest =
        std::clamp((Progress - HeldFraction) / (1 - HeldFraction), 0.0, 1.0);
    Result.TargetShare = std::pow(HeldShare, 1 - Rest);
    // No more servers than have the load of the others, so that a fault that
    // occurs only under load shows while others serve for comparison.
    const double Loaded =
        std::ceil(Result.TargetShare * static_cast<double>(this->OtherServers) /
                  FullLoad);
    if (Result.TargetShare < 1 &&
        Loaded < static_cast<double>(this->TargetServers))
      Result.TrialServers =
          std::max(this->TrialServers, static_cast<std::uint32_t>(Loaded));
    break;
  }
  case Phase::Drain:
    if (!this->DrainStartedAt)
      this->DrainStartedAt = Now;
    Result.TargetShare = 1;
    Result.OthersExcluded = true;
    Result.MoveStreams = this->EndsAt - Now < FinalMargin + MoveTime;
    break;
  case Phase::Waiting:
  case Phase::Completed:
  case Phase::RolledBack:
    break;
  }
  return Result;
}

} // namespace Rollout
