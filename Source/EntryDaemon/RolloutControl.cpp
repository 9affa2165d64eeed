#include "EntryDaemon/RolloutControl.h"

#include "Telemetry/LogEvents.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;
using Standing = Rollout::VersionPolicy::Standing;

/// A server without a heartbeat for longer does not count as one that could
/// take the requests instead of the target version.
constexpr Common::Duration FreshFor = std::chrono::milliseconds(4200);

Routing::ServerGroup groupOf(Standing Of) {
  switch (Of) {
  case Standing::Open:
    return Routing::ServerGroup::Default;
  case Standing::Share:
    return Routing::ServerGroup::Canary;
  case Standing::Excluded:
    break;
  }
  return Routing::ServerGroup::Excluded;
}

} // namespace

RolloutControl::RolloutControl(Routing::ServerTable &Servers,
                               Telemetry::Metrics &Metrics,
                               std::function<void()> PollSoon)
    : Servers(Servers), Metrics(Metrics), PollSoon(std::move(PollSoon)) {}

Common::SoftwareVersion
RolloutControl::versionOf(const Common::BackendServerId &Id,
                          std::uint64_t StartedAt) const {
  return this->Servers.registry()
      .versionOf(Id, StartedAt)
      .value_or(Common::SoftwareVersion());
}

void RolloutControl::applyDirectives(
    const State::EntryDirectives &Directives,
    std::optional<Common::TimePoint> PollSentAt, Common::TimePoint Now) {
  for (const Rollout::Directive &Each : Directives.Rollouts) {
    this->Policy.apply(Each, PollSentAt);
    const Rollout::Directive *Newest = this->Policy.directive(Each.Service);
    this->Observations.setRollout(Each.Service, Newest->Number, Newest->Target);
  }
  if (PollSentAt)
    this->Policy.confirmPoll(*PollSentAt);
  for (const Common::ServiceName &Each : this->Policy.services())
    this->applyStandings(Each, Now);
}

void RolloutControl::refresh(Common::TimePoint Now) {
  std::map<Common::ServiceName, std::vector<Rollout::VersionPolicy::Server>>
      Serving;
  for (const Common::ServiceName &Each : this->Policy.services())
    Serving[Each];
  for (const auto &[Id, Entry] : this->Servers.registry().entries()) {
    if (Entry.Record.Phase != Membership::ServerPhase::Serving)
      continue;
    Serving[Entry.Record.Service].push_back(
        {Id, this->versionOf(Id, Entry.Record.StartedAt),
         Entry.Record.StartedAt, Now - Entry.HeardAt <= FreshFor});
  }
  bool Appeared = false;
  for (auto &[Service, Servers] : Serving) {
    Appeared =
        this->Policy.setServers(Service, std::move(Servers), Now) || Appeared;
    this->applyStandings(Service, Now);
  }
  if (Appeared)
    this->PollSoon();
}

void RolloutControl::applyStandings(const Common::ServiceName &Service,
                                    Common::TimePoint Now) {
  std::map<VersionKey, Standing> ByVersion;
  for (const auto &[Id, Each] : this->Policy.standings(Service, Now)) {
    this->Servers.setGroup(Id, groupOf(Each));
    const auto *Known = this->Servers.registry().find(Id);
    if (!Known)
      continue;
    // The most that any server of the version gets.
    const auto [Entry, Inserted] = ByVersion.try_emplace(
        {Service, this->versionOf(Id, Known->Record.StartedAt)}, Each);
    Entry->second = std::min(Entry->second, Each);
  }
  for (const auto &[Version, Each] : ByVersion)
    this->logStanding(Version, Each, Now);
  std::erase_if(this->Standings, [&](const auto &Each) {
    return Each.first.first == Service && ByVersion.count(Each.first) == 0;
  });
  this->NextExpiry = this->Policy.nextExpiry(Now);
}

void RolloutControl::logStanding(const VersionKey &Of, Standing Current,
                                 Common::TimePoint Now) {
  const auto [Entry, Inserted] = this->Standings.try_emplace(Of, Current);
  if (!Inserted && Entry->second == Current)
    return;
  Entry->second = Current;
  this->Metrics.incrementLabelledCounter("version_standings_total", "standing",
                                         nameOf(Current));
  const Rollout::Directive *Newest = this->Policy.directive(Of.first);
  Telemetry::log(
      Events::VersionStanding, Of.first.str(), Of.second.str(), nameOf(Current),
      Newest ? Newest->Number.Value : 0, Newest ? Newest->Revision : 0,
      Newest ? Newest->Target.str() : "", Newest ? Newest->TargetShare : 0,
      this->NextExpiry && *this->NextExpiry > Now ? "1" : "0",
      this->Policy.isStopped(Of.first) ? "1" : "0");
}

void RolloutControl::expire(Common::TimePoint Now) {
  if (!this->NextExpiry || Now < *this->NextExpiry)
    return;
  this->Metrics.incrementCounter("rollout_shares_expired_total");
  for (const Common::ServiceName &Each : this->Policy.services())
    this->applyStandings(Each, Now);
}

void RolloutControl::fillReport(State::EntryReport &Report,
                                Common::TimePoint Now) {
  this->expire(Now);
  Report.Rollouts = this->Observations.takeReport(Now);
  for (const Common::ServiceName &Each : this->Policy.services()) {
    const Rollout::Directive *Newest = this->Policy.directive(Each);
    if (!Newest)
      continue;
    Rollout::Progress Progress;
    Progress.Service = Each;
    Progress.Number = Newest->Number;
    Progress.Revision = Newest->Revision;
    if (!Newest->Target.empty())
      Progress.RunningElsewhere =
          this->Observations.runningElsewhere(Each, Newest->Target);
    else if (Newest->OnlyVersion)
      Progress.RunningElsewhere =
          this->Observations.runningElsewhere(Each, *Newest->OnlyVersion);
    Progress.StoppedLocally = this->Policy.isStopped(Each);
    Report.RolloutProgress.push_back(std::move(Progress));
  }
}

Routing::ServerGroup
RolloutControl::groupFor(const Common::ServiceName &Service,
                         const std::string &RequestId, Common::TimePoint Now) {
  this->expire(Now);
  return this->Policy.isInShare(Service, RequestId, Now)
             ? Routing::ServerGroup::Canary
             : Routing::ServerGroup::Default;
}

bool RolloutControl::mayWrite(const Routing::PlacementChoice &At,
                              Common::TimePoint Now) {
  this->expire(Now);
  // Another server, perhaps of another version, may have taken the address.
  const auto *Known = this->Servers.registry().find(At.Id);
  return Known && Known->Record.StartedAt == At.ServerStartedAt &&
         this->Servers.registry().ownerOf(At.Address) == At.Id &&
         this->Servers.mayWrite(At, Now);
}

bool RolloutControl::shouldMove(const Routing::PlacementChoice &At,
                                Common::TimePoint Now) {
  this->expire(Now);
  const Rollout::Directive *Newest = this->Policy.directive(At.Service);
  return Newest && Newest->MoveStreams && !Newest->Target.empty() &&
         this->versionOf(At.Id, At.ServerStartedAt) != Newest->Target &&
         this->Servers.groupOf(At.Id) == Routing::ServerGroup::Excluded;
}

Rollout::ObservedNumber
RolloutControl::recordStart(const Routing::PlacementChoice &At,
                            const std::string &Route) {
  if (At.Group == Routing::ServerGroup::Canary)
    this->Metrics.incrementCounter("rollout_canary_requests_total");
  return this->Observations.recordStart(
      At.Service, Route, At.Id, this->versionOf(At.Id, At.ServerStartedAt));
}

void RolloutControl::recordEnd(Rollout::ObservedNumber Number,
                               Routing::ServerOutcome Outcome,
                               Common::TimePoint Now) {
  using End = Rollout::Observer::End;
  const End How = Outcome == Routing::ServerOutcome::Answered ? End::Answered
                  : Outcome == Routing::ServerOutcome::Abandoned
                      ? End::Abandoned
                      : End::Lost;
  this->Observations.recordEnd(Number, How, Now);
}

void RolloutControl::recordFailure(Rollout::ObservedNumber Number,
                                   const Common::ServiceName &Service,
                                   Common::TimePoint Now) {
  this->Observations.recordEnd(Number, Rollout::Observer::End::Failed, Now);
  const Rollout::Directive *Newest = this->Policy.directive(Service);
  // If the leader has excluded the other versions, it has seen more than this
  // daemon, and there may be no other server.
  if (!Newest || Newest->Target.empty() || Newest->OthersExcluded ||
      this->Policy.isStopped(Service) ||
      !this->Observations.isOverwhelming(Service))
    return;
  this->Policy.stop(Service, Newest->Number);
  this->Metrics.incrementCounter("rollouts_stopped_locally_total");
  Telemetry::log(Events::RolloutStoppedLocally, Service.str(),
                 Newest->Target.str(), Newest->Number.Value, Newest->Revision);
  this->applyStandings(Service, Now);
  this->PollSoon();
}

} // namespace EntryDaemon
