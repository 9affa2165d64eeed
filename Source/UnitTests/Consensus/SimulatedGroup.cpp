#include "UnitTests/Consensus/SimulatedGroup.h"

#include "Network/Codec.h"

#include <algorithm>

namespace UnitTests {

namespace {

using Consensus::Actions;
using Consensus::LogEntry;
using Consensus::Replica;

constexpr Common::Duration TickInterval = std::chrono::milliseconds(5);
constexpr Common::Duration MinDelay = std::chrono::milliseconds(1);
constexpr Common::Duration MaxDelay = std::chrono::milliseconds(20);
/// As in the state daemons.
constexpr Common::Duration GroupCheckPeriod = std::chrono::milliseconds(300);
constexpr Common::Duration JoinDelay = std::chrono::milliseconds(1000);
constexpr double LossProbability = 0.02;
constexpr double DuplicateProbability = 0.02;

/// Decodes a snapshot of the test's state machine, a list of all payloads.
std::vector<std::string> decodeState(const std::string &Data) {
  if (Data.empty())
    return {};
  return *Network::decode<std::vector<std::string>>(Data);
}

} // namespace

SimulatedGroup::SimulatedGroup(std::size_t Voters, std::uint64_t Seed)
    : Randomness(Seed) {
  std::vector<Consensus::Member> Members;
  this->Nodes.resize(Voters);
  for (std::size_t I = 0; I < Voters; ++I) {
    this->Nodes[I].Id = Consensus::ReplicaId("r" + std::to_string(I));
    this->Nodes[I].Host = I;
    Members.push_back(this->member(I));
  }
  const auto Initial = Consensus::Membership::create(Members);
  for (std::size_t I = 0; I < Voters; ++I) {
    this->Nodes[I].Disk.BaseSnapshot.Membership = *Initial;
    this->start(I);
  }
}

Consensus::Member SimulatedGroup::member(std::size_t Index) const {
  Consensus::Member Result;
  Result.Id = this->Nodes[Index].Id;
  Result.Address = {"10.0.0." + std::to_string(this->Nodes[Index].Host), 1};
  Result.DataCentre = Common::DataCentreId("dc" + std::to_string(Index));
  return Result;
}

void SimulatedGroup::recordViolation(const std::string &Description) {
  if (this->Violation.empty())
    this->Violation = Description;
}

void SimulatedGroup::start(std::size_t Index) {
  Node &Each = this->Nodes[Index];
  Consensus::ReplicaOptions Options;
  Options.Self = Each.Id;
  Options.Seed = this->Randomness.next();
  Each.AppliedPayloads = decodeState(Each.Disk.BaseSnapshot.Data);
  Each.Running = *Replica::create(Options, Each.Disk, this->Now);
  Each.LeaderLastKnownAt = this->Now;
}

void SimulatedGroup::crash(std::size_t Index) {
  this->Nodes[Index].Running.reset();
  this->Nodes[Index].PendingCrash.reset();
}

void SimulatedGroup::crashAt(std::size_t Index, CrashPoint Point) {
  this->Nodes[Index].PendingCrash = Point;
}

void SimulatedGroup::restart(std::size_t Index) {
  if (!this->running(Index) && !this->Nodes[Index].Removed)
    this->start(Index);
}

void SimulatedGroup::remove(std::size_t Index) {
  this->crash(Index);
  this->Nodes[Index].Removed = true;
}

std::size_t SimulatedGroup::addHost() {
  this->Nodes.emplace_back();
  this->Nodes.back().Host = this->Nodes.size() - 1;
  return this->startEmpty();
}

std::size_t SimulatedGroup::replaceDisk(std::size_t Index) {
  this->remove(Index);
  this->Nodes.emplace_back();
  this->Nodes.back().Host = this->Nodes[Index].Host;
  return this->startEmpty();
}

std::size_t SimulatedGroup::startEmpty() {
  this->Nodes.back().Id =
      Consensus::ReplicaId("r" + std::to_string(this->Nodes.size() - 1));
  this->start(this->Nodes.size() - 1);
  return this->Nodes.size() - 1;
}

void SimulatedGroup::pause(std::size_t Index, Common::Duration For) {
  this->Nodes[Index].PausedUntil = this->Now + For;
}

void SimulatedGroup::isolate(std::size_t Index) {
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    this->blockLink(I, Index);
    this->blockLink(Index, I);
  }
}

void SimulatedGroup::clearFaults() {
  this->BlockedLinks.clear();
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    this->Nodes[I].PausedUntil = Common::TimePoint();
    this->Nodes[I].PendingCrash.reset();
    this->restart(I);
  }
}

void SimulatedGroup::save(Node &Each, const Actions &Pending) {
  if (Pending.SaveHardState)
    Each.Disk.Hard = *Pending.SaveHardState;
  if (Pending.InstallSnapshot) {
    Each.Disk.BaseSnapshot = *Pending.InstallSnapshot;
    Each.Disk.Entries.clear();
  }
  for (const LogEntry &Entry : Pending.SaveEntries) {
    Each.Disk.Entries.resize(Entry.Index.Value -
                             Each.Disk.BaseSnapshot.Index.Value - 1);
    Each.Disk.Entries.push_back(Entry);
  }
}

void SimulatedGroup::performActions(std::size_t Index) {
  Node &Each = this->Nodes[Index];
  while (Each.Running) {
    Actions Pending = Each.Running->takeActions(this->Now);
    if (Pending.empty())
      return;
    const std::optional<CrashPoint> Crash =
        Pending.needsSync() ? std::exchange(Each.PendingCrash, std::nullopt)
                            : std::nullopt;
    this->send(Index, Pending.SendImmediately);
    if (Crash == CrashPoint::BeforeSync) {
      this->crash(Index);
      return;
    }
    if (Pending.needsSync()) {
      this->save(Each, Pending);
      if (Crash == CrashPoint::AfterSync) {
        this->crash(Index);
        return;
      }
      Each.Running->markPersisted(this->Now);
    }
    this->send(Index, Pending.SendAfterSync);
    if (Crash == CrashPoint::AfterSend) {
      this->crash(Index);
      return;
    }
    if (Pending.InstallSnapshot)
      Each.AppliedPayloads = decodeState(Pending.InstallSnapshot->Data);
    for (const LogEntry &Entry : Pending.Apply)
      this->apply(Index, Entry);
  }
}

void SimulatedGroup::send(std::size_t From,
                          const std::vector<Consensus::Message> &Messages) {
  for (const Consensus::Message &Each : Messages) {
    std::size_t To = 0;
    while (To < this->Nodes.size() && this->Nodes[To].Id != Each.To)
      ++To;
    if (To == this->Nodes.size() || this->BlockedLinks.count({From, To}) != 0 ||
        this->Randomness.chance(LossProbability))
      continue;
    const int Copies = this->Randomness.chance(DuplicateProbability) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      this->InFlight.push_back(
          {this->Now + this->Randomness.between(MinDelay, MaxDelay), From, To,
           Each});
  }
}

void SimulatedGroup::apply(std::size_t Index, const LogEntry &Entry) {
  const std::string Payload =
      Entry.Kind == Consensus::EntryKind::Command ? Entry.Payload : "";
  const auto Known = this->Committed.find(Entry.Index.Value);
  const std::string Content = std::to_string(Entry.Term.Value) + "/" + Payload;
  if (Known == this->Committed.end())
    this->Committed[Entry.Index.Value] = Content;
  else if (Known->second != Content)
    this->recordViolation("two replicas applied different entries at index " +
                          std::to_string(Entry.Index.Value));
  Node &Each = this->Nodes[Index];
  Each.MembersChanged |= Entry.Kind == Consensus::EntryKind::MembershipChange;
  if (!Payload.empty())
    Each.AppliedPayloads.push_back(Payload);
  const auto OwnProposal =
      this->PendingProposals.find({Index, Entry.Index.Value});
  if (OwnProposal == this->PendingProposals.end())
    return;
  if (OwnProposal->second == Payload)
    this->Acknowledged.insert(Payload);
  this->PendingProposals.erase(OwnProposal);
}

void SimulatedGroup::deliver() {
  std::vector<InFlightMessage> Due;
  std::vector<InFlightMessage> NotDue;
  for (InFlightMessage &Each : this->InFlight)
    (Each.DeliverAt <= this->Now ? Due : NotDue).push_back(std::move(Each));
  this->InFlight = std::move(NotDue);
  for (InFlightMessage &Each : Due) {
    Node &To = this->Nodes[Each.To];
    if (!To.Running)
      continue;
    if (To.PausedUntil > this->Now) {
      // The message stays in the socket until the process resumes.
      Each.DeliverAt = To.PausedUntil;
      this->InFlight.push_back(std::move(Each));
      continue;
    }
    To.Running->step(this->Now, Each.Message);
    this->performActions(Each.To);
  }
}

void SimulatedGroup::checkLeaderSafety() {
  std::size_t Serving = 0;
  for (const Node &Each : this->Nodes) {
    if (!Each.Running)
      continue;
    if (Each.Running->canServe(this->Now))
      ++Serving;
    if (Each.Running->state() != Replica::State::Leader)
      continue;
    const auto Known =
        this->LeaderOfTerm.emplace(Each.Running->term().Value, Each.Id);
    if (Known.first->second != Each.Id)
      this->recordViolation("two leaders in term " +
                            std::to_string(Each.Running->term().Value));
  }
  if (Serving > 1)
    this->recordViolation("two replicas hold a leader lease at the same time");
}

void SimulatedGroup::run(Common::Duration Span) {
  const Common::TimePoint End = this->Now + Span;
  while (this->Now < End) {
    this->Now += TickInterval;
    this->deliver();
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      Node &Each = this->Nodes[I];
      if (!Each.Running || Each.PausedUntil > this->Now)
        continue;
      Each.Running->tick(this->Now);
      this->performActions(I);
    }
    this->keepMembers();
    this->checkLeaderSafety();
  }
}

void SimulatedGroup::keepMembers() {
  if (!this->VoterOptions)
    return;
  const bool Due = this->Now >= this->NextGroupCheck;
  if (Due)
    this->NextGroupCheck = this->Now + GroupCheckPeriod;
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    Node &Each = this->Nodes[I];
    if (!Each.Running || Each.PausedUntil > this->Now)
      continue;
    if (Each.Running->state() != Replica::State::Leader)
      Each.LeadingSince = this->Now;
    if (!Each.Running->leader().empty())
      Each.LeaderLastKnownAt = this->Now;
    if (Due)
      this->requestJoin(I);
    if (std::exchange(Each.MembersChanged, false) || Due)
      this->changeVoters(I);
  }
}

void SimulatedGroup::requestJoin(std::size_t Index) {
  const Node &Requester = this->Nodes[Index];
  if (this->Now - Requester.LeaderLastKnownAt < JoinDelay)
    return;
  const auto Leading = this->leader();
  if (!Leading || this->BlockedLinks.count({Index, *Leading}) != 0)
    return;
  const Consensus::Member Joining = this->member(Index);
  this->JoinRequesters[Joining.Address] = Joining.Id;
  Replica &Leader = this->replica(*Leading);
  if (!Leader.membership().find(Joining.Id))
    (void)Leader.addLearner(this->Now, Joining);
}

void SimulatedGroup::changeVoters(std::size_t Index) {
  Replica &Leader = this->replica(Index);
  if (!Leader.canServe(this->Now))
    return;
  const auto Change = Consensus::planVoterChange(
      Leader.membership(), Leader.self(),
      Consensus::observeHealth(Leader, this->Nodes[Index].LeadingSince,
                               this->JoinRequesters, this->Now),
      *this->VoterOptions);
  if (!Change)
    return;
  if (Change->Kind == Consensus::VoterChange::ChangeKind::Promote)
    (void)Leader.promote(this->Now, Change->Id);
  else
    (void)Leader.remove(this->Now, Change->Id);
}

std::optional<std::size_t> SimulatedGroup::leader() const {
  for (std::size_t I = 0; I < this->Nodes.size(); ++I)
    if (this->Nodes[I].Running && this->Nodes[I].Running->canServe(this->Now))
      return I;
  return std::nullopt;
}

std::size_t SimulatedGroup::leaderCount() const {
  return std::count_if(
      this->Nodes.begin(), this->Nodes.end(), [](const Node &Each) {
        return Each.Running && Each.Running->state() == Replica::State::Leader;
      });
}

bool SimulatedGroup::propose(const std::string &Payload) {
  const auto Index = this->leader();
  if (!Index || this->Nodes[*Index].PausedUntil > this->Now)
    return false;
  const auto At = this->Nodes[*Index].Running->propose(this->Now, Payload);
  if (!At.ok())
    return false;
  this->PendingProposals[{*Index, At->Value}] = Payload;
  this->performActions(*Index);
  return true;
}

void SimulatedGroup::compact(std::size_t Index) {
  Node &Each = this->Nodes[Index];
  if (!Each.Running)
    return;
  Each.Running->compact(Each.Running->appliedIndex(),
                        Network::encode(Each.AppliedPayloads));
  const Consensus::ReplicatedLog &Log = Each.Running->log();
  Each.Disk.BaseSnapshot = Log.snapshot();
  Each.Disk.Entries.clear();
  for (auto At = next(Log.snapshotIndex()); At <= Log.lastIndex();
       At = next(At))
    Each.Disk.Entries.push_back(Log.at(At));
}

void SimulatedGroup::injectRandomFault() {
  const std::size_t Node = this->Randomness.below(this->Nodes.size());
  const std::size_t Other = this->Randomness.below(this->Nodes.size());
  switch (this->Randomness.below(14)) {
  case 0:
    this->crash(Node);
    break;
  case 1:
    this->crashAt(Node, static_cast<CrashPoint>(this->Randomness.below(3)));
    break;
  case 2:
  case 3:
  case 9:
    for (std::size_t I = 0; I < this->Nodes.size(); ++I)
      this->restart(I);
    break;
  case 4:
    this->pause(Node,
                this->Randomness.between(std::chrono::milliseconds(100),
                                         std::chrono::milliseconds(1500)));
    break;
  case 5:
    this->blockLink(Node, Other);
    break;
  case 6:
    this->isolate(Node);
    break;
  case 7:
  case 10:
  case 11:
    this->BlockedLinks.clear();
    break;
  case 8:
    if (this->running(Node) && this->Randomness.chance(0.5))
      this->compact(Node);
    else if (this->running(Node))
      this->Nodes[Node].Running->transferLeadership(this->Now);
    break;
  case 12:
    if (const auto Leading = this->leader())
      this->isolate(*Leading);
    break;
  case 13:
    if (const auto Leading = this->leader())
      this->crashAt(*Leading,
                    static_cast<CrashPoint>(this->Randomness.below(3)));
    break;
  default:
    break;
  }
}

bool SimulatedGroup::converged() const {
  const std::vector<std::string> *First = nullptr;
  for (const Node &Each : this->Nodes) {
    if (!Each.Running || !Each.Running->membership().find(Each.Id))
      continue;
    if (!First)
      First = &Each.AppliedPayloads;
    if (Each.AppliedPayloads != *First)
      return false;
  }
  if (!First)
    return false;
  const std::set<std::string> AppliedSet(First->begin(), First->end());
  return std::includes(AppliedSet.begin(), AppliedSet.end(),
                       this->Acknowledged.begin(), this->Acknowledged.end());
}

} // namespace UnitTests
