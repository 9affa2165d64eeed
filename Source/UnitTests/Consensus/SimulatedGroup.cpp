#include "UnitTests/Consensus/SimulatedGroup.h"

#include "Network/Codec.h"

#include <algorithm>

namespace UnitTests {

namespace {

using Consensus::Actions;
using Consensus::LogEntry;
using Consensus::Replica;

constexpr Common::Duration Step = std::chrono::milliseconds(5);
constexpr Common::Duration DelayLeast = std::chrono::milliseconds(1);
constexpr Common::Duration DelayMost = std::chrono::milliseconds(20);
constexpr double LossChance = 0.02;
constexpr double RepeatChance = 0.02;

/// The state machine of the test: all payloads, each with its length.
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
    Members.push_back(this->member(I));
  }
  const auto Group = Consensus::Membership::create(Members);
  for (std::size_t I = 0; I < Voters; ++I) {
    this->Nodes[I].Disk.BaseSnapshot.Membership = *Group;
    this->start(I);
  }
}

Consensus::Member SimulatedGroup::member(std::size_t Index) const {
  Consensus::Member Result;
  Result.Id = this->Nodes[Index].Id;
  Result.DataCentre = Common::DataCentreId("dc" + std::to_string(Index));
  return Result;
}

void SimulatedGroup::fail(const std::string &What) {
  if (this->Fault.empty())
    this->Fault = What;
}

void SimulatedGroup::start(std::size_t Index) {
  Node &Each = this->Nodes[Index];
  Consensus::ReplicaOptions Options;
  Options.Self = Each.Id;
  Options.Seed = this->Randomness.next();
  Each.Applied = decodeState(Each.Disk.BaseSnapshot.Data);
  Each.Running = *Replica::create(Options, Each.Disk, this->Now);
}

void SimulatedGroup::kill(std::size_t Index) {
  this->Nodes[Index].Running.reset();
  this->Nodes[Index].KillNext.reset();
}

void SimulatedGroup::killAt(std::size_t Index, KillPoint Where) {
  this->Nodes[Index].KillNext = Where;
}

void SimulatedGroup::restart(std::size_t Index) {
  if (!this->running(Index))
    this->start(Index);
}

std::size_t SimulatedGroup::replaceDisk(std::size_t Index) {
  this->kill(Index);
  Node Fresh;
  Fresh.Id = Consensus::ReplicaId("r" + std::to_string(this->Nodes.size()));
  this->Nodes.push_back(std::move(Fresh));
  this->start(this->Nodes.size() - 1);
  return this->Nodes.size() - 1;
}

void SimulatedGroup::freeze(std::size_t Index, Common::Duration For) {
  this->Nodes[Index].FrozenUntil = this->Now + For;
}

void SimulatedGroup::isolate(std::size_t Index) {
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    this->cut(I, Index);
    this->cut(Index, I);
  }
}

void SimulatedGroup::healAll() {
  this->Cuts.clear();
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    this->Nodes[I].FrozenUntil = Common::TimePoint();
    this->Nodes[I].KillNext.reset();
    this->restart(I);
  }
}

void SimulatedGroup::save(Node &Each, const Actions &Work) {
  if (Work.SaveHardState)
    Each.Disk.Hard = *Work.SaveHardState;
  if (Work.InstallSnapshot) {
    Each.Disk.BaseSnapshot = *Work.InstallSnapshot;
    Each.Disk.Entries.clear();
  }
  for (const LogEntry &Entry : Work.SaveEntries) {
    Each.Disk.Entries.resize(Entry.Index.Value -
                             Each.Disk.BaseSnapshot.Index.Value - 1);
    Each.Disk.Entries.push_back(Entry);
  }
}

void SimulatedGroup::flush(std::size_t Index) {
  Node &Each = this->Nodes[Index];
  while (Each.Running) {
    Actions Work = Each.Running->takeActions(this->Now);
    if (Work.empty())
      return;
    const std::optional<KillPoint> Kill =
        Work.needsSync() ? std::exchange(Each.KillNext, std::nullopt)
                         : std::nullopt;
    this->send(Index, Work.SendImmediately);
    if (Kill == KillPoint::BeforeSync) {
      this->kill(Index);
      return;
    }
    if (Work.needsSync()) {
      this->save(Each, Work);
      if (Kill == KillPoint::AfterSync) {
        this->kill(Index);
        return;
      }
      Each.Running->markPersisted(this->Now);
    }
    this->send(Index, Work.SendAfterSync);
    if (Kill == KillPoint::AfterSend) {
      this->kill(Index);
      return;
    }
    if (Work.InstallSnapshot)
      Each.Applied = decodeState(Work.InstallSnapshot->Data);
    for (const LogEntry &Entry : Work.Apply)
      this->apply(Index, Entry);
  }
}

void SimulatedGroup::send(std::size_t From,
                          const std::vector<Consensus::Message> &Messages) {
  for (const Consensus::Message &Each : Messages) {
    std::size_t To = 0;
    while (To < this->Nodes.size() && this->Nodes[To].Id != Each.To)
      ++To;
    if (To == this->Nodes.size() || this->Cuts.count({From, To}) != 0 ||
        this->Randomness.chance(LossChance))
      continue;
    const int Copies = this->Randomness.chance(RepeatChance) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      this->Flying.push_back(
          {this->Now + this->Randomness.between(DelayLeast, DelayMost), From,
           To, Each});
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
    this->fail("two replicas applied different entries at index " +
               std::to_string(Entry.Index.Value));
  Node &Each = this->Nodes[Index];
  if (!Payload.empty())
    Each.Applied.push_back(Payload);
  const auto Mine = this->Proposed.find({Index, Entry.Index.Value});
  if (Mine == this->Proposed.end())
    return;
  if (Mine->second == Payload)
    this->Acked.insert(Payload);
  this->Proposed.erase(Mine);
}

void SimulatedGroup::deliver() {
  std::vector<Flight> Due;
  std::vector<Flight> Later;
  for (Flight &Each : this->Flying)
    (Each.At <= this->Now ? Due : Later).push_back(std::move(Each));
  this->Flying = std::move(Later);
  for (Flight &Each : Due) {
    Node &To = this->Nodes[Each.To];
    if (!To.Running)
      continue;
    if (To.FrozenUntil > this->Now) {
      // It waits in the socket until the process goes on.
      Each.At = To.FrozenUntil;
      this->Flying.push_back(std::move(Each));
      continue;
    }
    To.Running->step(this->Now, Each.Carried);
    this->flush(Each.To);
  }
}

void SimulatedGroup::checkLeases() {
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
      this->fail("two leaders in term " +
                 std::to_string(Each.Running->term().Value));
  }
  if (Serving > 1)
    this->fail("two replicas hold the leader's lease at once");
}

void SimulatedGroup::run(Common::Duration Span) {
  const Common::TimePoint End = this->Now + Span;
  while (this->Now < End) {
    this->Now += Step;
    this->deliver();
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      Node &Each = this->Nodes[I];
      if (!Each.Running || Each.FrozenUntil > this->Now)
        continue;
      Each.Running->tick(this->Now);
      this->flush(I);
    }
    this->checkLeases();
  }
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
  if (!Index || this->Nodes[*Index].FrozenUntil > this->Now)
    return false;
  const auto At = this->Nodes[*Index].Running->propose(this->Now, Payload);
  if (!At.ok())
    return false;
  this->Proposed[{*Index, At->Value}] = Payload;
  this->flush(*Index);
  return true;
}

void SimulatedGroup::compact(std::size_t Index) {
  Node &Each = this->Nodes[Index];
  if (!Each.Running)
    return;
  Each.Running->compact(Each.Running->appliedIndex(),
                        Network::encode(Each.Applied));
  const Consensus::ReplicatedLog &Log = Each.Running->log();
  Each.Disk.BaseSnapshot = Log.snapshot();
  Each.Disk.Entries.clear();
  for (auto At = next(Log.snapshotIndex()); At <= Log.lastIndex();
       At = next(At))
    Each.Disk.Entries.push_back(Log.at(At));
}

void SimulatedGroup::disturb() {
  const std::size_t Node = this->Randomness.below(this->Nodes.size());
  const std::size_t Other = this->Randomness.below(this->Nodes.size());
  switch (this->Randomness.below(14)) {
  case 0:
    this->kill(Node);
    break;
  case 1:
    this->killAt(Node, static_cast<KillPoint>(this->Randomness.below(3)));
    break;
  case 2:
  case 3:
  case 9:
    for (std::size_t I = 0; I < this->Nodes.size(); ++I)
      this->restart(I);
    break;
  case 4:
    this->freeze(Node,
                 this->Randomness.between(std::chrono::milliseconds(100),
                                          std::chrono::milliseconds(1500)));
    break;
  case 5:
    this->cut(Node, Other);
    break;
  case 6:
    this->isolate(Node);
    break;
  case 7:
  case 10:
  case 11:
    this->Cuts.clear();
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
      this->killAt(*Leading, static_cast<KillPoint>(this->Randomness.below(3)));
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
      First = &Each.Applied;
    if (Each.Applied != *First)
      return false;
  }
  if (!First)
    return false;
  const std::set<std::string> Held(First->begin(), First->end());
  return std::includes(Held.begin(), Held.end(), this->Acked.begin(),
                       this->Acked.end());
}

} // namespace UnitTests
