#include "StateDaemon/RefusalPlanner.h"

#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// In milliseconds; reports are not repeated for that long.
constexpr std::uint64_t MaxReportedAge = 60'000;

std::string hexCauses(const Common::CauseSet &Causes) {
  return absl::StrJoin(Causes, ",",
                       [](std::string *Out, Common::CauseHash Each) {
                         absl::StrAppend(Out, absl::Hex(Each));
                       });
}

const State::Refusal *findRefusal(const State::ControlState &State,
                                  const Common::CauseSet &Causes) {
  for (const State::Refusal &Each : State.refusals())
    if (Each.Causes == Causes)
      return &Each;
  return nullptr;
}

bool isCovered(const State::ControlState &State,
               const Common::CauseSet &Causes) {
  return std::any_of(State.refusals().begin(), State.refusals().end(),
                     [&](const State::Refusal &Each) {
                       return Common::includesCauses(Causes, Each.Causes);
                     });
}

/// The time of something that was reported with its age.
Common::TimePoint timeOf(std::uint64_t AgeMilliseconds, Common::TimePoint Now) {
  return Now - std::chrono::milliseconds(
                   std::min<std::uint64_t>(AgeMilliseconds, MaxReportedAge));
}

} // namespace

void RefusalPlanner::recordCrash(const Common::DaemonId &Reporter,
                                 const State::CrashReport &Report,
                                 Common::TimePoint Now) {
  // Contents that have crashed one server only are the least suspect.
  if (this->ContentCrashes.size() > MaxTrackedContents)
    std::erase_if(this->ContentCrashes,
                  [](const auto &Each) { return Each.second.size() < 2; });
  auto &Servers = this->ContentCrashes[Report.Content];
  const bool IsNew =
      Servers
          .emplace(
              Routing::ServerIncarnation{Report.Server, {Report.StartedAt}},
              timeOf(Report.AgeMilliseconds, Now))
          .second;
  if (!IsNew)
    return;
  this->suppose({Report.Server, {Report.StartedAt}},
                timeOf(Report.AgeMilliseconds, Now));
  Telemetry::log(Events::CrashReported, Reporter.str(),
                 absl::Hex(Report.Content), Report.Server.str(),
                 Report.StartedAt, Servers.size());
  if (Servers.size() != MinCrashesToRefuse)
    return;
  Telemetry::log(Events::ContentRefused, absl::Hex(Report.Content),
                 Servers.size());
  Common::TimePoint FirstCrashAt = Now;
  for (const auto &Each : Servers)
    FirstCrashAt = std::min(FirstCrashAt, Each.second);
  this->refuse({Report.Content}, FirstCrashAt);
  this->DecidedAt[{Report.Content}] = Now;
}

void RefusalPlanner::recordLostRun(const Common::DaemonId &Reporter,
                                   const State::LostRun &Report,
                                   Common::TimePoint Now) {
  const Common::TimePoint CrashedAt = timeOf(Report.AgeMilliseconds, Now);
  if (!this->PartCrashes.recordLostRun({Report.Server, {Report.StartedAt}},
                                       Report.Parts, CrashedAt))
    return;
  this->SuspectsChanged = true;
  this->suppose({Report.Server, {Report.StartedAt}}, CrashedAt);
  Telemetry::log(Events::LostRunReported, Reporter.str(), Report.Server.str(),
                 Report.StartedAt, hexCauses(Report.Parts),
                 Report.AgeMilliseconds);
}

void RefusalPlanner::recordSurvival(const State::Survival &Report,
                                    const State::ControlState &State,
                                    Common::TimePoint Now) {
  const Common::TimePoint BegunAt = timeOf(Report.AgeMilliseconds, Now);
  // All daemons report a common cause again and again.
  if (!this->PartCrashes.recordSurvival(Report.Cause, BegunAt))
    return;
  this->SuspectsChanged = true;
  const auto Content = this->ContentCrashes.find(Report.Cause);
  if (Content != this->ContentCrashes.end()) {
    std::erase_if(Content->second, [BegunAt](const auto &Failure) {
      return Failure.second < BegunAt;
    });
    if (Content->second.empty())
      this->ContentCrashes.erase(Content);
  }
  for (const Common::CauseSet &Each : this->refusals(State)) {
    if (!Common::includesCauses(Each, {Report.Cause}) ||
        BegunAt <= this->since(Each) || this->ToEnd.count(Each) != 0)
      continue;
    Common::CauseSet Narrowed = Each;
    std::erase(Narrowed, Report.Cause);
    Telemetry::log(Events::RefusalEnded, hexCauses(Each), hexCauses(Narrowed),
                   Report.AgeMilliseconds);
    if (!Narrowed.empty())
      this->refuse(Narrowed, this->since(Each));
    this->end(Each, State);
  }
}

void RefusalPlanner::suppose(const Routing::ServerIncarnation &Server,
                             Common::TimePoint At) {
  for (const auto &Each : this->SupposedCrashes)
    if (Each.second.Server == Server && Each.second.At == At)
      return;
  this->SupposedCrashes[++this->LastSupposedCrash] = {Server, At};
  if (this->SupposedCrashes.size() > MaxSupposedCrashes)
    this->SupposedCrashes.erase(this->SupposedCrashes.begin());
}

std::vector<State::SupposedCrash>
RefusalPlanner::supposedCrashes(Common::TimePoint Now) {
  std::erase_if(this->SupposedCrashes, [Now](const auto &Each) {
    return Now - Each.second.At > MaxDisproofAge;
  });
  std::vector<State::SupposedCrash> Result;
  Result.reserve(this->SupposedCrashes.size());
  for (const auto &[Number, Each] : this->SupposedCrashes)
    Result.push_back(
        {Each.Server.BackendServer, Each.Server.Incarnation.Value, Number,
         static_cast<std::uint64_t>(std::max<std::int64_t>(
             Common::toMilliseconds(
                 std::chrono::duration_cast<Common::Duration>(Now - Each.At)),
             0))});
  return Result;
}

void RefusalPlanner::recordDisproof(std::uint64_t Number) {
  const auto Found = this->SupposedCrashes.find(Number);
  if (Found == this->SupposedCrashes.end())
    return;
  const Supposed &Crash = Found->second;
  Telemetry::log(Events::CrashDisproved, Crash.Server.BackendServer.str(),
                 Crash.Server.Incarnation.Value);
  Common::TimePoint &Proved = this->ProvedRunningAt[Crash.Server];
  Proved = std::max(Proved, Crash.At + Routing::CrashAttribution::DisproofTime);
  this->SupposedCrashes.erase(Found);
}

void RefusalPlanner::end(const Common::CauseSet &Causes,
                         const State::ControlState &State) {
  this->ToRefuse.erase(Causes);
  if (findRefusal(State, Causes))
    this->ToEnd.insert(Causes);
}

void RefusalPlanner::removeDisproved(const State::ControlState &State,
                                     const Membership::ServerRegistry &Servers,
                                     Common::TimePoint Now) {
  const auto HeardAt = [&](const Routing::ServerIncarnation &Server)
      -> std::optional<Common::TimePoint> {
    std::optional<Common::TimePoint> Result;
    const auto Proved = this->ProvedRunningAt.find(Server);
    if (Proved != this->ProvedRunningAt.end())
      Result = Proved->second;
    const auto *Known = Servers.find(Server.BackendServer);
    if (Known && Known->Record.StartedAt == Server.Incarnation.Value &&
        Known->Record.Phase != Membership::ServerPhase::Gone)
      Result = std::max(Result.value_or(Common::TimePoint::min()),
                        Known->HeardAt - MaxAnnouncementDelay);
    return Result;
  };
  bool AnyDisproved = this->PartCrashes.discardDisproved(HeardAt);
  for (auto &Each : this->ContentCrashes)
    if (std::erase_if(Each.second, [&](const auto &Failure) {
          return Routing::CrashAttribution::isDisproved(
              Failure.first, Failure.second, HeardAt);
        }) != 0)
      AnyDisproved = true;
  if (!AnyDisproved)
    return;
  this->SuspectsChanged = true;
  for (const Common::CauseSet &Each : this->refusals(State)) {
    const auto Decided = this->DecidedAt.find(Each);
    if (Decided == this->DecidedAt.end() ||
        Now - Decided->second > ReconsiderTime || this->isSupported(Each))
      continue;
    Telemetry::log(Events::RefusalEnded, hexCauses(Each), "", "");
    this->end(Each, State);
  }
}

bool RefusalPlanner::isSupported(const Common::CauseSet &Causes) const {
  const auto Content = this->ContentCrashes.find(Causes.front());
  return Content != this->ContentCrashes.end()
             ? Content->second.size() >= MinCrashesToRefuse
             : this->PartCrashes.supports(Causes);
}

void RefusalPlanner::recordUse(const Common::DaemonId &Entry,
                               const Common::CauseSet &Causes,
                               const State::ControlState &State,
                               Common::TimePoint Now) {
  const State::Refusal *Used = findRefusal(State, Causes);
  if (!Used || Used->Probes >= ProbeIntervals.size())
    return;
  const auto Decided = this->DecidedAt.find(Causes);
  Common::TimePoint From =
      Decided != this->DecidedAt.end() ? Decided->second : this->LeadingSince;
  const auto Last = this->Probes.find(Causes);
  if (Last != this->Probes.end())
    From = std::max(From, Last->second.GrantedAt);
  if (Now - From < ProbeIntervals[Used->Probes])
    return;
  this->Probes[Causes] = {Entry, Used->Probes, Now, false};
  Telemetry::log(Events::RefusalProbed, hexCauses(Causes), Entry.str(),
                 Used->Probes + 1);
}

std::vector<State::ControlCommand>
RefusalPlanner::plan(const State::ControlState &State,
                     const Membership::ServerRegistry &Servers,
                     Common::TimePoint Now) {
  this->removeDisproved(State, Servers, Now);
  if (this->SuspectsChanged)
    this->PartSuspects = this->PartCrashes.suspects();
  this->SuspectsChanged = false;
  for (const Routing::CrashAttribution::Cause &Each :
       this->PartCrashes.findCauses(this->refusals(State), Now)) {
    Telemetry::log(Events::PromptRefused, hexCauses(Each.Parts), Each.Crashes,
                   Common::toMilliseconds(Now - Each.FirstCrashAt));
    this->refuse(Each.Parts, Each.FirstCrashAt);
    this->DecidedAt[Each.Parts] = Now;
  }
  std::erase_if(this->ToRefuse, [&](const Common::CauseSet &Each) {
    return isCovered(State, Each);
  });
  std::erase_if(this->ToEnd, [&](const Common::CauseSet &Each) {
    return findRefusal(State, Each) == nullptr;
  });
  std::vector<State::ControlCommand> Result;
  const auto Propose = [&](const Common::CauseSet &Causes,
                           State::ControlCommand Command) {
    const auto [Last, IsNew] = this->ProposedAt.try_emplace(Causes, Now);
    if (!IsNew && Now - Last->second < ProposalTimeout)
      return;
    Last->second = Now;
    Result.push_back(std::move(Command));
  };
  for (const Common::CauseSet &Each : this->ToRefuse)
    Propose(Each, State::RefuseCommand{Each});
  for (const Common::CauseSet &Each : this->ToEnd)
    Propose(Each, State::EndRefusalCommand{Each});
  for (const auto &[Causes, Granted] : this->Probes) {
    const State::Refusal *Current = findRefusal(State, Causes);
    if (Current && Current->Probes == Granted.Number)
      Propose(Causes, State::ProbeRefusalCommand{Causes, Granted.Number});
  }
  std::erase_if(this->ProposedAt, [Now](const auto &Each) {
    return Now - Each.second >= ProposalTimeout;
  });
  this->removeEnded(State);
  return Result;
}

void RefusalPlanner::removeEnded(const State::ControlState &State) {
  const auto HasEnded = [&](const auto &Each) {
    return this->ToRefuse.count(Each.first) == 0 &&
           findRefusal(State, Each.first) == nullptr;
  };
  std::erase_if(this->Since, HasEnded);
  std::erase_if(this->DecidedAt, HasEnded);
  std::erase_if(this->Probes, HasEnded);
}

std::vector<Common::CauseSet>
RefusalPlanner::refusals(const State::ControlState &State) const {
  std::vector<Common::CauseSet> Result;
  for (const State::Refusal &Each : State.refusals())
    if (this->ToEnd.count(Each.Causes) == 0)
      Result.push_back(Each.Causes);
  for (const Common::CauseSet &Each : this->ToRefuse)
    if (!isCovered(State, Each))
      Result.push_back(Each);
  return Result;
}

std::vector<Common::CauseHash>
RefusalPlanner::suspects(const State::ControlState &State) const {
  std::set<Common::CauseHash> Refused;
  for (const Common::CauseSet &Each : this->refusals(State))
    Refused.insert(Each.begin(), Each.end());
  std::vector<Common::CauseHash> Result(Refused.begin(), Refused.end());
  for (const auto &[Content, Servers] : this->ContentCrashes)
    if (Servers.size() + 1 >= MinCrashesToRefuse && Refused.count(Content) == 0)
      Result.push_back(Content);
  for (const Common::CauseHash Each : this->PartSuspects)
    if (Refused.count(Each) == 0)
      Result.push_back(Each);
  if (Result.size() > MaxSuspects)
    Result.resize(MaxSuspects);
  return Result;
}

std::vector<Common::CauseSet>
RefusalPlanner::takeProbes(const Common::DaemonId &Entry,
                           const State::ControlState &State) {
  std::vector<Common::CauseSet> Result;
  for (auto &[Causes, Granted] : this->Probes) {
    const State::Refusal *Current = findRefusal(State, Causes);
    if (Granted.Sent || Granted.Entry != Entry || !Current ||
        Current->Probes <= Granted.Number)
      continue;
    Granted.Sent = true;
    Result.push_back(Causes);
  }
  return Result;
}

void RefusalPlanner::removeExpired(Common::TimePoint Now) {
  for (auto Each = this->ContentCrashes.begin();
       Each != this->ContentCrashes.end();) {
    std::erase_if(Each->second, [Now](const auto &Failure) {
      return Now - Failure.second > CrashWindow;
    });
    Each = Each->second.empty() ? this->ContentCrashes.erase(Each)
                                : std::next(Each);
  }
  this->PartCrashes.removeExpired(Now);
  std::erase_if(this->ProvedRunningAt, [Now](const auto &Each) {
    return Now - Each.second > 2 * CrashWindow;
  });
  this->SuspectsChanged = true;
}

void RefusalPlanner::refuse(const Common::CauseSet &Causes,
                            Common::TimePoint Since) {
  this->ToRefuse.insert(Causes);
  this->Since[Causes] = Since;
  this->DecidedAt.try_emplace(Causes, Since);
}

Common::TimePoint RefusalPlanner::since(const Common::CauseSet &Causes) const {
  const auto Found = this->Since.find(Causes);
  return Found == this->Since.end() ? this->LeadingSince : Found->second;
}

} // namespace StateDaemon
