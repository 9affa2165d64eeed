#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

// The server registry, and what of it the daemons send to each other.

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Changes within this time share a message.
constexpr Common::Duration ChangeFlushDelay = std::chrono::milliseconds(4);
/// Serving servers that were silent for longer are left out of the snapshot for
/// a daemon that connects.
constexpr Common::Duration SnapshotServerAge = std::chrono::seconds(5);

} // namespace

Membership::ServerRegistry::Outcome
Controller::updateServer(const Membership::ServerRecord &Record) {
  const auto Outcome = this->Registry.update(Record, this->Loop.now());
  switch (Outcome) {
  case Membership::ServerRegistry::Outcome::Changed:
    this->publishServerChange(this->Registry.find(Record.Id)->Record, true);
    break;
  case Membership::ServerRegistry::Outcome::Refreshed:
    this->PendingRefreshes.push_back(
        {Record.Id, Record.StartedAt, Record.Sequence, Record.Phase});
    break;
  case Membership::ServerRegistry::Outcome::Stale:
    this->Metrics.incrementCounter("heartbeats_stale_total");
    break;
  case Membership::ServerRegistry::Outcome::SetAside:
    this->Metrics.incrementCounter("heartbeats_undeclared_total");
    Telemetry::log(Events::ServerSetAside, Record.Id.str(),
                   Record.Service.str(), Record.Address.str(),
                   Record.StartedAt);
    break;
  }
  return Outcome;
}

void Controller::publishServerChange(const Membership::ServerRecord &Changed,
                                     bool ToPeers) {
  Telemetry::log(Events::ServerChanged, Changed.Id.str(), Changed.Service.str(),
                 Changed.DataCentre.str(), Changed.Address.str(),
                 Membership::nameOf(Changed.Phase), Changed.StartedAt,
                 Changed.Sequence, Changed.Reclaimable ? "1" : "0");
  if (ToPeers)
    this->PeerChanges.push_back(Changed);
  this->EntryChanges.push_back(Changed);
  if (this->ChangeFlushScheduled)
    return;
  this->ChangeFlushScheduled = true;
  this->ChangeFlushTimer = this->Loop.callAfter(ChangeFlushDelay, [this] {
    this->ChangeFlushScheduled = false;
    this->flushServerChanges();
  });
}

void Controller::flushServerChanges() {
  State::RegistryDelta ToPeers;
  ToPeers.Changed.swap(this->PeerChanges);
  if (const auto Versions = this->versionsFor(ToPeers))
    this->broadcastToPeers(*Versions);
  if (!ToPeers.Changed.empty())
    this->broadcastToPeers(ToPeers);
  State::RegistryDelta ToEntries;
  ToEntries.Changed.swap(this->EntryChanges);
  if (const auto Versions = this->versionsFor(ToEntries))
    this->broadcastToEntries(*Versions);
  this->broadcastToEntries(ToEntries);
}

void Controller::flushRefreshes() {
  if (this->PendingRefreshes.empty())
    return;
  State::RegistryDelta Delta;
  Delta.Refreshed.swap(this->PendingRefreshes);
  for (const State::ServerRefresh &Each : Delta.Refreshed)
    this->EntryRefreshes[Each.Id] = Each;
  this->broadcastToPeers(Delta);
}

void Controller::flushEntryRefreshes() {
  if (this->EntryRefreshes.empty())
    return;
  State::RegistryDelta Delta;
  Delta.Refreshed.reserve(this->EntryRefreshes.size());
  for (const auto &Each : this->EntryRefreshes)
    Delta.Refreshed.push_back(Each.second);
  this->EntryRefreshes.clear();
  this->broadcastToEntries(Delta);
}

void Controller::mergeRegistryDelta(Network::ConnectionId From,
                                    const State::RegistryDelta &Delta) {
  const Common::TimePoint Now = this->Loop.now();
  for (const Membership::ServerRecord &Each : Delta.Changed) {
    const auto Outcome = this->Registry.update(Each, Now);
    if (Outcome == Membership::ServerRegistry::Outcome::Changed)
      this->publishServerChange(this->Registry.find(Each.Id)->Record, false);
  }
  using RefreshOutcome = Membership::ServerRegistry::RefreshOutcome;
  State::ServerRecordRequest Missing;
  for (const State::ServerRefresh &Each : Delta.Refreshed) {
    const RefreshOutcome Outcome = this->Registry.refresh(
        Each.Id, Each.StartedAt, Each.Sequence, Each.Phase, Now);
    if (Outcome == RefreshOutcome::PhaseChanged)
      this->publishServerChange(this->Registry.find(Each.Id)->Record, false);
    if (Outcome == RefreshOutcome::RecordMissing) {
      this->Metrics.incrementCounter("server_records_missing_total");
      Telemetry::log(Events::ServerRecordMissing, Each.Id.str(), Each.StartedAt,
                     Each.Sequence);
      Missing.Servers.push_back(Each.Id);
    }
    if (Outcome != RefreshOutcome::SetAside)
      this->EntryRefreshes[Each.Id] = Each;
  }
  if (!Missing.Servers.empty())
    this->sendTo(From, std::move(Missing));
}

std::vector<State::ControlFrame>
Controller::registryFrames(const State::RegistryDelta &Delta) const {
  std::vector<State::ControlFrame> Result;
  if (auto Versions = this->versionsFor(Delta))
    Result.emplace_back(std::move(*Versions));
  Result.emplace_back(Delta);
  return Result;
}

State::RegistryDelta
Controller::recordsOf(const State::ServerRecordRequest &Request) const {
  State::RegistryDelta Result;
  for (const Common::BackendServerId &Each : Request.Servers)
    if (const auto *Known = this->Registry.find(Each))
      Result.Changed.push_back(Known->Record);
  return Result;
}

State::RegistryDelta Controller::registrySnapshot() const {
  State::RegistryDelta Result;
  const Common::TimePoint Now = this->Loop.now();
  for (const auto &Each : this->Registry.entries())
    if (Now - Each.second.HeardAt < SnapshotServerAge ||
        Each.second.Record.Phase != Membership::ServerPhase::Serving)
      Result.Changed.push_back(Each.second.Record);
  return Result;
}

} // namespace StateDaemon
