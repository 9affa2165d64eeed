#include "StateDaemon/ReplicaDriver.h"

#include "Common/Hash.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Delay before the data folder is opened again after a failure.
constexpr Common::Duration ReopenDelay = std::chrono::milliseconds(500);
/// Minimum delay of the tick timer; limits the rate of wake-ups.
constexpr Common::Duration MinTickDelay = std::chrono::milliseconds(2);

} // namespace

ReplicaDriver::ReplicaDriver(Network::EventLoop &Loop, Options DriverOptions,
                             Handlers OwnerHandlers,
                             Telemetry::Metrics &Metrics)
    : Loop(Loop), DriverOptions(std::move(DriverOptions)),
      OwnerHandlers(std::move(OwnerHandlers)), Metrics(Metrics) {}

void ReplicaDriver::open() {
  if (absl::Status Opened = this->tryOpen(); !Opened.ok())
    this->closeOnFailure(Opened);
}

absl::Status ReplicaDriver::tryOpen() {
  const auto &Path = this->DriverOptions.DataPath;
  absl::Status Formatted = absl::OkStatus();
  if (this->DriverOptions.FounderIdentity.empty())
    Formatted =
        Storage::DataFolder::format(Path, this->DriverOptions.Name).status();
  else
    Formatted = Storage::DataFolder::formatWithIdentity(
        Path, this->DriverOptions.FounderIdentity);
  if (!Formatted.ok() && !absl::IsAlreadyExists(Formatted))
    return Formatted;
  Storage::RecoveredState Contents;
  auto Opened = Storage::DataFolder::open(Path, Contents);
  if (!Opened.ok())
    return Opened.status();
  this->Folder.emplace(std::move(*Opened));
  if (Contents.TruncatedBytes != 0)
    Telemetry::log(Events::TornLogEndCut, Contents.TruncatedBytes);
  if (absl::Status Bootstrapped = this->bootstrapIfBlank(Contents);
      !Bootstrapped.ok())
    return Bootstrapped;
  if (absl::Status Restored =
          this->OwnerHandlers.Restore(Contents.State.BaseSnapshot.Data);
      !Restored.ok())
    return Restored;
  Consensus::ReplicaOptions Options;
  Options.Group = Consensus::GroupId{1};
  Options.Self = Contents.Identity;
  Options.Timing = this->DriverOptions.Timing;
  Options.Seed = Common::hashBytes(Contents.Identity.str());
  auto Created = Consensus::Replica::create(Options, std::move(Contents.State),
                                            this->Loop.now());
  if (!Created.ok())
    return Created.status();
  this->Replica.emplace(std::move(*Created));
  Telemetry::log(Events::ReplicaOpened, this->Replica->self().str(),
                 this->Replica->term().Value,
                 this->Replica->log().lastIndex().Value,
                 this->Replica->membership().members().size());
  this->OwnerHandlers.OnChange();
  this->scheduleFlush();
  return absl::OkStatus();
}

absl::Status
ReplicaDriver::bootstrapIfBlank(Storage::RecoveredState &Contents) {
  const bool Blank = Contents.State.BaseSnapshot.Membership.members().empty() &&
                     Contents.State.BaseSnapshot.Index.Value == 0 &&
                     Contents.State.Entries.empty();
  if (!Blank || this->DriverOptions.Founders.empty() ||
      Contents.Identity != this->DriverOptions.FounderIdentity)
    return absl::OkStatus();
  auto Group = Consensus::Membership::create(this->DriverOptions.Founders);
  if (!Group.ok())
    return Group.status();
  Contents.State.BaseSnapshot.Membership = std::move(*Group);
  const Consensus::ReplicatedLog Log(Contents.State.BaseSnapshot, {});
  return this->Folder->compact(Contents.State.Hard, Log);
}

void ReplicaDriver::closeOnFailure(const absl::Status &Failure) {
  // After a failed write the contents of the disk are unknown: acknowledge
  // nothing more until the folder has been read again.
  Telemetry::log(Events::DiskFailure, Failure.message());
  this->Metrics.incrementCounter("disk_failures_total");
  this->Replica.reset();
  this->Folder.reset();
  this->TickTimer.cancel();
  this->Leading = false;
  this->failProposals();
  this->OwnerHandlers.OnChange();
  this->ReopenTimer =
      this->Loop.callAfter(ReopenDelay, [this] { this->open(); });
}

void ReplicaDriver::step(const Consensus::Message &Message) {
  if (!this->Replica)
    return;
  this->Replica->step(this->Loop.now(), Message);
  this->scheduleFlush();
}

bool ReplicaDriver::propose(std::string Payload, ProposalCallback OnDone) {
  if (!this->Replica)
    return false;
  const auto Index =
      this->Replica->propose(this->Loop.now(), std::move(Payload));
  if (!Index.ok())
    return false;
  this->Metrics.incrementCounter("proposals_total");
  this->Proposals[*Index] = Proposal{this->Replica->term(), std::move(OnDone)};
  this->scheduleFlush();
  return true;
}

absl::Status ReplicaDriver::changeMembership(
    const std::function<absl::StatusOr<Consensus::LogIndex>(
        Consensus::Replica &, Common::TimePoint)> &Change) {
  if (!this->Replica)
    return absl::UnavailableError(
        "the data folder is not open after a failure; see the log");
  const auto Index = Change(*this->Replica, this->Loop.now());
  this->scheduleFlush();
  return Index.status();
}

void ReplicaDriver::transferLeadership() {
  if (!this->Replica)
    return;
  this->Replica->transferLeadership(this->Loop.now());
  this->flush();
}

bool ReplicaDriver::holdsLeadership() const {
  return this->Replica && this->Replica->canServe(this->Loop.now());
}

void ReplicaDriver::scheduleFlush() {
  if (this->FlushScheduled)
    return;
  this->FlushScheduled = true;
  // Deferred, so that messages that arrived together share one disk sync.
  this->Loop.defer([this] {
    this->FlushScheduled = false;
    this->flush();
  });
}

void ReplicaDriver::flush() {
  if (this->Flushing)
    return;
  this->Flushing = true;
  while (this->Replica) {
    Consensus::Actions Actions = this->Replica->takeActions(this->Loop.now());
    this->updateLeadership();
    if (Actions.empty())
      break;
    if (!this->executeActions(Actions))
      break;
  }
  this->Flushing = false;
  if (!this->Replica)
    return;
  this->compactIfLarge();
  this->scheduleTick();
}

void ReplicaDriver::scheduleTick() {
  if (!this->Replica)
    return;
  const Common::Duration Delay = std::max(
      MinTickDelay, std::chrono::duration_cast<Common::Duration>(
                        this->Replica->nextTickTime() - this->Loop.now()));
  this->TickTimer = this->Loop.callAfter(Delay, [this] {
    this->Replica->tick(this->Loop.now());
    this->flush();
  });
}

bool ReplicaDriver::executeActions(Consensus::Actions &Actions) {
  for (const Consensus::Message &Each : Actions.SendImmediately)
    this->OwnerHandlers.Send(Each);
  if (Actions.needsSync()) {
    const Common::TimePoint Before = this->Loop.now();
    if (absl::Status Saved = this->Folder->save(Actions); !Saved.ok()) {
      this->closeOnFailure(Saved);
      return false;
    }
    const Common::TimePoint After = this->Loop.now();
    this->Metrics.observeSummary("disk_sync_seconds", After - Before);
    this->Replica->markPersisted(After);
  }
  for (const Consensus::Message &Each : Actions.SendAfterSync)
    this->OwnerHandlers.Send(Each);
  if (Actions.InstallSnapshot) {
    if (absl::Status Restored =
            this->OwnerHandlers.Restore(Actions.InstallSnapshot->Data);
        !Restored.ok()) {
      this->closeOnFailure(Restored);
      return false;
    }
    this->OwnerHandlers.OnChange();
  }
  for (const Consensus::LogEntry &Entry : Actions.Apply)
    if (!this->apply(Entry))
      return false;
  return true;
}

bool ReplicaDriver::apply(const Consensus::LogEntry &Entry) {
  State::CommandEffect Effect = State::CommandEffect::Applied;
  if (Entry.Kind == Consensus::EntryKind::Command) {
    // Skipping an entry would make this replica's state diverge from the
    // others'.
    const auto Applied = this->OwnerHandlers.Apply(Entry);
    if (!Applied.ok()) {
      this->closeOnFailure(Applied.status());
      return false;
    }
    Effect = *Applied;
  } else if (Entry.Kind == Consensus::EntryKind::MembershipChange) {
    this->OwnerHandlers.OnChange();
  }
  const auto Waiting = this->Proposals.find(Entry.Index);
  if (Waiting == this->Proposals.end())
    return true;
  const Proposal Completed = std::move(Waiting->second);
  this->Proposals.erase(Waiting);
  if (Completed.OnDone)
    Completed.OnDone(Completed.Term != Entry.Term ? ProposalOutcome::Unknown
                     : Effect == State::CommandEffect::Applied
                         ? ProposalOutcome::Applied
                         : ProposalOutcome::Ignored);
  return this->Replica.has_value();
}

void ReplicaDriver::updateLeadership() {
  const bool Leads =
      this->Replica->state() == Consensus::Replica::State::Leader;
  if (this->Leading && (!Leads || this->Replica->term() != this->LeaderTerm)) {
    this->Leading = false;
    Telemetry::log(Events::LeadershipLost, this->LeaderTerm.Value);
    this->failProposals();
    this->OwnerHandlers.OnChange();
  }
  if (Leads && !this->Leading) {
    this->Leading = true;
    this->LeaderTerm = this->Replica->term();
    Telemetry::log(Events::LeadershipGained, this->LeaderTerm.Value);
    this->OwnerHandlers.OnChange();
  }
}

void ReplicaDriver::failProposals() {
  const auto Failed = std::move(this->Proposals);
  this->Proposals.clear();
  for (const auto &Each : Failed)
    if (Each.second.OnDone)
      Each.second.OnDone(ProposalOutcome::Unknown);
}

void ReplicaDriver::compactIfLarge() {
  const bool Progressed =
      this->Replica->appliedIndex() > this->Replica->log().snapshotIndex();
  if (!Progressed ||
      this->Folder->logBytes() <= this->DriverOptions.CompactAtBytes)
    return;
  this->Replica->compact(this->Replica->appliedIndex(),
                         this->OwnerHandlers.TakeSnapshot());
  if (absl::Status Saved = this->Folder->compact(this->Replica->hardState(),
                                                 this->Replica->log());
      !Saved.ok())
    this->closeOnFailure(Saved);
}

} // namespace StateDaemon
