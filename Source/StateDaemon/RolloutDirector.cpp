#include "StateDaemon/RolloutDirector.h"

#include "Telemetry/LogEvents.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Empty if the version is not known.
Common::SoftwareVersion versionOf(const Membership::ServerRegistry &Registry,
                                  const Membership::ServerRecord &Record) {
  return Registry.versionOf(Record.Id, Record.StartedAt)
      .value_or(Common::SoftwareVersion());
}

} // namespace

void RolloutDirector::sync(Common::TimePoint Now) {
  for (const auto &[Service, Recorded] : this->Deps.State.rollouts().services())
    this->syncService(Service, Recorded, Now);
}

void RolloutDirector::syncService(const Common::ServiceName &Service,
                                  const Rollout::ServiceRollout &Recorded,
                                  Common::TimePoint Now) {
  const auto [Found, Inserted] = this->Services.try_emplace(Service);
  ServiceState &Known = Found->second;
  if (Inserted)
    Known.Revision = this->Deps.FirstRevision;
  const bool IsNew = Known.Number != Recorded.Number;
  if (Known.Coordinator && (IsNew || !Recorded.isRunning())) {
    Known.Revision = Known.Coordinator->directive().Revision + 1;
    Known.Coordinator.reset();
    if (!IsNew) {
      if (Recorded.Current == Rollout::Phase::RolledBack)
        Known.UrgentLeft = UrgentRepeats;
      Telemetry::log(Events::RolloutEnded, Service.str(), Recorded.Number.Value,
                     Recorded.Target.str(), Rollout::nameOf(Recorded.Current),
                     Recorded.Cause, Recorded.Figures);
      this->Deps.Metrics.incrementLabelledCounter(
          "rollouts_ended_total", "result", Rollout::nameOf(Recorded.Current));
    }
  }
  if (IsNew) {
    Known.Number = Recorded.Number;
    Known.LastPhase = Rollout::Phase::Waiting;
    Known.ProposedAt.reset();
    Known.UrgentLeft = 0;
    ++Known.Revision;
  }
  if (!Recorded.isRunning() || Known.Coordinator)
    return;
  const Common::WallTime Wall = this->Deps.ReferenceTime(Now);
  const std::uint64_t Elapsed =
      Wall > Recorded.BegunAt
          ? Wall.Milliseconds - Recorded.BegunAt.Milliseconds
          : 0;
  Known.Coordinator = std::make_unique<Rollout::Coordinator>(
      this->Deps.Limits, Service, Recorded,
      Now - std::chrono::milliseconds(Elapsed), Known.Revision, Now);
}

std::vector<State::ControlCommand>
RolloutDirector::plan(std::size_t Entries, Common::TimePoint Now) {
  this->sync(Now);
  std::vector<State::ControlCommand> Result;
  for (const auto &[Service, Recorded] :
       this->Deps.State.rollouts().services()) {
    ServiceState &Known = this->Services[Service];
    if (Known.Coordinator)
      this->planService(Service, Known, Recorded, Entries, Now, Result);
  }
  return Result;
}

void RolloutDirector::planService(const Common::ServiceName &Service,
                                  ServiceState &Running,
                                  const Rollout::ServiceRollout &Recorded,
                                  std::size_t Entries, Common::TimePoint Now,
                                  std::vector<State::ControlCommand> &Result) {
  Rollout::Coordinator &Coordinator = *Running.Coordinator;
  Rollout::Coordinator::View Current = this->view(Service, Now);
  Current.Entries = Entries;
  Current.Recorded = Recorded.Current;
  const Rollout::Coordinator::Decision Decided =
      Coordinator.update(Current, Now);
  if (Decided.ShareChanged || Recorded.Current != Running.LastPhase) {
    const Rollout::Directive &Directed = Coordinator.directive();
    Running.LastPhase = Recorded.Current;
    Telemetry::log(Events::RolloutShare, Service.str(), Recorded.Number.Value,
                   Recorded.Target.str(), Rollout::nameOf(Recorded.Current),
                   absl::StrFormat("%.3f", Directed.TargetShare),
                   Directed.TrialServers, Coordinator.sentToTarget(),
                   Coordinator.sentInTotal(),
                   Rollout::nameOf(Coordinator.assessment().Result),
                   Coordinator.assessment().Figures);
  }
  if (Decided.Urgent)
    Running.UrgentLeft = UrgentRepeats;
  if (!Decided.Advance && !Decided.End)
    return;
  Rollout::Phase Wanted = Rollout::Phase::RolledBack;
  if (!Decided.End)
    Wanted = *Decided.Advance;
  else if (Decided.End->Completed)
    Wanted = Rollout::Phase::Completed;
  if (Running.ProposedAt && Running.Proposed == Wanted &&
      Now - *Running.ProposedAt < ProposalTimeout)
    return;
  Running.ProposedAt = Now;
  Running.Proposed = Wanted;
  if (Decided.End)
    Result.push_back(Rollout::EndRolloutCommand{
        Service, Recorded.Number, Decided.End->Completed, Decided.End->Cause,
        Decided.End->Figures});
  else
    Result.push_back(
        Rollout::AdvanceRolloutCommand{Service, Recorded.Number, Wanted});
}

Rollout::Coordinator::View
RolloutDirector::view(const Common::ServiceName &Service,
                      Common::TimePoint Now) const {
  Rollout::Coordinator::View Result;
  for (const auto &[Id, Each] : this->Deps.Registry.entries())
    if (Each.Record.Service == Service &&
        Each.Record.Phase == Membership::ServerPhase::Serving &&
        Now - Each.HeardAt < HeartbeatTimeout)
      Result.Servers.push_back(
          {Id, versionOf(this->Deps.Registry, Each.Record)});
  return Result;
}

void RolloutDirector::handleReport(const State::EntryReport &Report,
                                   Common::TimePoint Now) {
  this->sync(Now);
  for (auto &[Service, Known] : this->Services)
    if (Known.Coordinator)
      Known.Coordinator->handleReport(Report.Entry, Report.Incarnation,
                                      Report.Sequence, Report.Rollouts,
                                      Report.RolloutProgress, Now);
}

Rollout::Directive
RolloutDirector::directiveFor(const Common::ServiceName &Service,
                              const Rollout::ServiceRollout &Recorded) const {
  Rollout::Directive Result;
  const ServiceState &Known = this->Services.at(Service);
  if (Known.Coordinator) {
    Result = Known.Coordinator->directive();
  } else {
    Result.Service = Service;
    Result.Number = Recorded.Number;
    Result.Revision = Known.Revision;
  }
  Result.RefusedVersions = Recorded.RefusedVersions;
  Result.OnlyVersion = Recorded.OnlyVersion;
  return Result;
}

std::vector<Rollout::Directive>
RolloutDirector::directives(Common::TimePoint Now) {
  this->sync(Now);
  std::vector<Rollout::Directive> Result;
  for (const auto &[Service, Recorded] : this->Deps.State.rollouts().services())
    Result.push_back(this->directiveFor(Service, Recorded));
  return Result;
}

std::vector<Rollout::Directive> RolloutDirector::takeUrgent() {
  std::vector<Rollout::Directive> Result;
  for (auto &[Service, Known] : this->Services) {
    if (Known.UrgentLeft == 0)
      continue;
    --Known.UrgentLeft;
    if (const auto *Recorded = this->Deps.State.rollouts().find(Service))
      Result.push_back(this->directiveFor(Service, *Recorded));
  }
  return Result;
}

std::string
RolloutDirector::describe(const Common::ServiceName &Service) const {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end() || !Found->second.Coordinator)
    return {};
  const Rollout::Coordinator &Coordinator = *Found->second.Coordinator;
  return absl::StrFormat(
      "share %.3f at %d of %d servers (0: all); %d of %d requests to the "
      "target; finding %s %s; %s",
      Coordinator.directive().TargetShare, Coordinator.directive().TrialServers,
      Coordinator.targetServers(), Coordinator.sentToTarget(),
      Coordinator.sentInTotal(),
      Rollout::nameOf(Coordinator.assessment().Result),
      Coordinator.assessment().Cause, Coordinator.assessment().Figures);
}

} // namespace StateDaemon
