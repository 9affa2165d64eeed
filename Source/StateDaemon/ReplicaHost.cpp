#include "StateDaemon/ReplicaHost.h"

#include "Common/Hash.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// How long to wait before a failing disk is tried again.
constexpr Common::Duration ReopenDelay = std::chrono::milliseconds(500);
/// Timers are set no closer than this, to bound the wake-ups.
constexpr Common::Duration LeastTimer = std::chrono::milliseconds(2);

} // namespace

ReplicaHost::ReplicaHost(Network::EventLoop &Loop, Options Wanted,
                         Handlers Handle, Telemetry::Metrics &Metrics)
    : Loop(Loop), Wanted(std::move(Wanted)), Handle(std::move(Handle)),
      Metrics(Metrics) {}

void ReplicaHost::open() {
  if (absl::Status Opened = this->tryOpen(); !Opened.ok())
    this->fail(Opened);
}

absl::Status ReplicaHost::tryOpen() {
  const auto &Path = this->Wanted.DataPath;
  absl::Status Formatted = absl::OkStatus();
  if (this->Wanted.FounderIdentity.empty())
    Formatted = Storage::DataFolder::format(Path, this->Wanted.Name).status();
  else
    Formatted =
        Storage::DataFolder::formatAs(Path, this->Wanted.FounderIdentity);
  if (!Formatted.ok() && !absl::IsAlreadyExists(Formatted))
    return Formatted;
  Storage::OpenedFolder Found;
  auto Opened = Storage::DataFolder::open(Path, Found);
  if (!Opened.ok())
    return Opened.status();
  this->Folder.emplace(std::move(*Opened));
  if (Found.TornBytes != 0)
    Telemetry::log(Events::TornLogEndCut, Found.TornBytes);
  if (absl::Status Founded = this->foundIfBlank(Found); !Founded.ok())
    return Founded;
  if (absl::Status Restored = this->Handle.Restore(Found.State.Base.Data);
      !Restored.ok())
    return Restored;
  Consensus::ReplicaOptions Options;
  Options.Group = Consensus::GroupId{1};
  Options.Self = Found.Identity;
  Options.Timing = this->Wanted.Timing;
  Options.Seed = Common::hashBytes(Found.Identity.str());
  auto Made = Consensus::Replica::create(Options, std::move(Found.State),
                                         this->Loop.now());
  if (!Made.ok())
    return Made.status();
  this->Replica.emplace(std::move(*Made));
  Telemetry::log(Events::ReplicaOpened, this->Replica->self().str(),
                 this->Replica->term().Value,
                 this->Replica->log().lastIndex().Value,
                 this->Replica->membership().members().size());
  this->Handle.OnChange();
  this->scheduleFlush();
  return absl::OkStatus();
}

absl::Status ReplicaHost::foundIfBlank(Storage::OpenedFolder &Found) {
  const bool Blank = Found.State.Base.Membership.members().empty() &&
                     Found.State.Base.Index.Value == 0 &&
                     Found.State.Entries.empty();
  if (!Blank || this->Wanted.Founders.empty() ||
      Found.Identity != this->Wanted.FounderIdentity)
    return absl::OkStatus();
  auto Group = Consensus::Membership::create(this->Wanted.Founders);
  if (!Group.ok())
    return Group.status();
  Found.State.Base.Membership = std::move(*Group);
  const Consensus::ReplicatedLog Log(Found.State.Base, {});
  return this->Folder->compact(Found.State.Hard, Log);
}

void ReplicaHost::fail(const absl::Status &Failure) {
  // After a failed write the state of the disk is unknown: nothing more is
  // acknowledged before it was read again.
  Telemetry::log(Events::DiskFailure, Failure.message());
  this->Metrics.incrementCounter("disk_failures_total");
  this->Replica.reset();
  this->Folder.reset();
  this->Timer.cancel();
  this->Leading = false;
  this->dropProposals();
  this->Handle.OnChange();
  this->Reopen = this->Loop.callAfter(ReopenDelay, [this] { this->open(); });
}

void ReplicaHost::step(const Consensus::Message &Received) {
  if (!this->Replica)
    return;
  this->Replica->step(this->Loop.now(), Received);
  this->scheduleFlush();
}

bool ReplicaHost::propose(std::string Payload, ProposalDone Done) {
  if (!this->Replica)
    return false;
  const auto Index =
      this->Replica->propose(this->Loop.now(), std::move(Payload));
  if (!Index.ok())
    return false;
  this->Metrics.incrementCounter("proposals_total");
  this->Proposals[*Index] = Proposal{this->Replica->term(), std::move(Done)};
  this->scheduleFlush();
  return true;
}

absl::Status
ReplicaHost::change(const std::function<absl::StatusOr<Consensus::LogIndex>(
                        Consensus::Replica &, Common::TimePoint)> &Change) {
  if (!this->Replica)
    return absl::UnavailableError("the disk fails; see the log");
  const auto Index = Change(*this->Replica, this->Loop.now());
  this->scheduleFlush();
  return Index.status();
}

void ReplicaHost::transferLeadership() {
  if (!this->Replica)
    return;
  this->Replica->transferLeadership(this->Loop.now());
  this->flush();
}

bool ReplicaHost::leads() const {
  return this->Replica && this->Replica->canServe(this->Loop.now());
}

void ReplicaHost::scheduleFlush() {
  if (this->FlushScheduled)
    return;
  this->FlushScheduled = true;
  // Deferred, so that what arrived together shares one sync.
  this->Loop.defer([this] {
    this->FlushScheduled = false;
    this->flush();
  });
}

void ReplicaHost::flush() {
  if (this->Flushing)
    return;
  this->Flushing = true;
  while (this->Replica) {
    Consensus::Actions Work = this->Replica->take(this->Loop.now());
    this->noticeLeadership();
    if (Work.empty())
      break;
    if (!this->carryOut(Work))
      break;
  }
  this->Flushing = false;
  if (!this->Replica)
    return;
  this->compactIfLarge();
  this->armTimer();
}

void ReplicaHost::armTimer() {
  if (!this->Replica)
    return;
  const Common::Duration Wait =
      std::max(LeastTimer, std::chrono::duration_cast<Common::Duration>(
                               this->Replica->dueAt() - this->Loop.now()));
  this->Timer = this->Loop.callAfter(Wait, [this] {
    this->Replica->tick(this->Loop.now());
    this->flush();
  });
}

bool ReplicaHost::carryOut(Consensus::Actions &Work) {
  for (const Consensus::Message &Each : Work.SendAtOnce)
    this->Handle.Send(Each);
  if (Work.needsSync()) {
    const Common::TimePoint Before = this->Loop.now();
    if (absl::Status Saved = this->Folder->save(Work); !Saved.ok()) {
      this->fail(Saved);
      return false;
    }
    const Common::TimePoint After = this->Loop.now();
    this->Metrics.observeSummary("disk_sync_seconds", After - Before);
    this->Replica->persisted(After);
  }
  for (const Consensus::Message &Each : Work.SendAfterSync)
    this->Handle.Send(Each);
  if (Work.InstallSnapshot) {
    if (absl::Status Restored =
            this->Handle.Restore(Work.InstallSnapshot->Data);
        !Restored.ok()) {
      this->fail(Restored);
      return false;
    }
  }
  for (const Consensus::LogEntry &Entry : Work.Apply)
    if (!this->apply(Entry))
      return false;
  return true;
}

bool ReplicaHost::apply(const Consensus::LogEntry &Entry) {
  if (Entry.Kind == Consensus::EntryKind::Command) {
    // Skipping an entry would let this replica differ from the others.
    if (absl::Status Applied = this->Handle.Apply(Entry); !Applied.ok()) {
      this->fail(Applied);
      return false;
    }
  } else if (Entry.Kind == Consensus::EntryKind::MembershipChange) {
    this->Handle.OnChange();
  }
  const auto Waiting = this->Proposals.find(Entry.Index);
  if (Waiting == this->Proposals.end())
    return true;
  const Proposal Ended = std::move(Waiting->second);
  this->Proposals.erase(Waiting);
  if (Ended.Done)
    Ended.Done(Ended.Term == Entry.Term ? ProposalEnd::Applied
                                        : ProposalEnd::Unknown);
  return this->Replica.has_value();
}

void ReplicaHost::noticeLeadership() {
  const bool Leads =
      this->Replica->state() == Consensus::Replica::State::Leader;
  if (this->Leading && (!Leads || this->Replica->term() != this->LedTerm)) {
    this->Leading = false;
    Telemetry::log(Events::LeadershipLost, this->LedTerm.Value);
    this->dropProposals();
    this->Handle.OnChange();
  }
  if (Leads && !this->Leading) {
    this->Leading = true;
    this->LedTerm = this->Replica->term();
    Telemetry::log(Events::LeadershipGained, this->LedTerm.Value);
    this->Handle.OnChange();
  }
}

void ReplicaHost::dropProposals() {
  const auto Lost = std::move(this->Proposals);
  this->Proposals.clear();
  for (const auto &Each : Lost)
    if (Each.second.Done)
      Each.second.Done(ProposalEnd::Unknown);
}

void ReplicaHost::compactIfLarge() {
  const bool Progressed =
      this->Replica->appliedIndex() > this->Replica->log().baseIndex();
  if (!Progressed || this->Folder->logBytes() <= this->Wanted.CompactAtBytes)
    return;
  this->Replica->compact(this->Replica->appliedIndex(),
                         this->Handle.TakeSnapshot());
  if (absl::Status Saved = this->Folder->compact(this->Replica->hardState(),
                                                 this->Replica->log());
      !Saved.ok())
    this->fail(Saved);
}

} // namespace StateDaemon
