#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>

// The group: founding it, joining it, its links and its voters.

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Raft's times here: links cross data centres and hosts have a third of a
/// core, and each message costs processor time.
constexpr Consensus::ReplicaTiming Timing{
    std::chrono::milliseconds(100), std::chrono::milliseconds(450),
    std::chrono::milliseconds(800), std::chrono::milliseconds(360)};
/// A daemon without a leader for longer asks to be taken in.
constexpr Common::Duration JoinAfter = std::chrono::milliseconds(1000);

} // namespace

ReplicaHost::Options Controller::replicaOptions() const {
  ReplicaHost::Options Result;
  Result.DataPath = this->Settings.DataPath;
  Result.Name = this->Settings.Name.str();
  Result.Timing = Timing;
  if (!this->Settings.FirstStart)
    return Result;
  // The seeds found the group. All of them compute the same identities.
  const auto IdentityOf = [](const Network::Address &At) {
    return Consensus::ReplicaId("founder-" + At.Ip);
  };
  for (const Network::Address &Each : this->Settings.seedLinks()) {
    Consensus::Member Founder;
    Founder.Id = IdentityOf(Each);
    Founder.Address = Each;
    // A founder's data centre is not known to the others at this point.
    Founder.DataCentre = Common::DataCentreId(Each.Ip);
    Result.Founders.push_back(Founder);
    if (Each.Ip == this->Settings.Http.Ip)
      Result.FounderIdentity = Founder.Id;
  }
  if (Result.FounderIdentity.empty())
    Result.Founders.clear();
  return Result;
}

void Controller::groupChanged() {
  this->syncLinks();
  const auto *Replica = this->Host->replica();
  const bool Leads =
      Replica && Replica->state() == Consensus::Replica::State::Leader;
  if (Leads && !this->Ledger) {
    const Common::TimePoint Now = this->Loop.now();
    this->LeadingSince = Now;
    this->Ledger = std::make_unique<EntryLedger>(this->Settings.Borne, Now);
    this->Ledger->ownClock(this->Settings.Name, this->Loop.wallNow(), Now);
    if (!this->State.document().empty())
      this->decodeDeclaration();
    if (!this->Settings.DutyAddress.empty()) {
      this->Duties = std::make_unique<DutyRunner>(DutyRunner::Parts{
          this->Loop, this->Settings, *this->Client, *this->Host, this->State,
          this->Registry, *this->Ledger, this->Metrics});
      this->Duties->declared(this->Declared);
    }
  }
  if (!Leads && this->Ledger) {
    this->Duties.reset();
    this->Ledger.reset();
  }
  this->toEntries(this->places());
}

void Controller::syncLinks() {
  const auto *Replica = this->Host->replica();
  std::set<Network::Address> Wanted;
  const auto Add = [this, &Wanted](const Network::Address &At) {
    if (At.Ip != this->Settings.Http.Ip)
      Wanted.insert(At);
  };
  if (Replica)
    for (const Consensus::Member &Each : Replica->membership().members())
      Add(Each.Address);
  // The seeds are asked as long as this daemon is no member.
  const bool Member =
      Replica && Replica->membership().find(Replica->self()) != nullptr;
  if (!Member)
    for (const Network::Address &Each : this->Settings.seedLinks())
      Add(Each);
  std::erase_if(this->Links, [&Wanted](const auto &Each) {
    return Wanted.count(Each.first) == 0;
  });
  for (const Network::Address &Each : Wanted) {
    if (this->Links.count(Each) != 0)
      continue;
    Network::FrameLink::Handlers Handle;
    Handle.OnPayload = [this](const std::string &Payload) {
      this->receivedOnLink(Payload);
    };
    Handle.OnUp = [this, Each] {
      Telemetry::log(Events::PeerConnected, Each.str());
      const auto Found = this->Links.find(Each);
      if (Found != this->Links.end())
        Found->second->send(
            Network::encode(State::ControlFrame(this->wholeRegistry())));
    };
    Handle.OnDown = [Each] { Telemetry::log(Events::PeerLost, Each.str()); };
    Handle.OnRefused = [this](Common::RefusalReason Reason) {
      this->Metrics.recordRefusal(Reason);
    };
    this->Links[Each] = std::make_unique<Network::FrameLink>(
        this->Loop, Each, this->Settings.Key, std::move(Handle));
  }
}

void Controller::send(const Consensus::Message &Sent) {
  const auto *Replica = this->Host->replica();
  const Consensus::Member *To =
      Replica ? Replica->membership().find(Sent.To) : nullptr;
  this->Metrics.incrementCounter("peer_messages_sent_total");
  if (To) {
    const auto Link = this->Links.find(To->Address);
    if (Link != this->Links.end())
      Link->second->send(Network::encode(State::ControlFrame(Sent)));
    return;
  }
  // A new replica answers a leader that it knows no address of yet.
  const auto Known = this->ConnectionOf.find(Sent.To);
  if (Known != this->ConnectionOf.end())
    this->sendTo(Known->second, Sent);
}

void Controller::askToJoin() {
  const auto *Replica = this->Host->replica();
  if (!Replica)
    return;
  const Common::TimePoint Now = this->Loop.now();
  if (!Replica->leader().empty())
    this->LeaderKnownAt = Now;
  if (Now - this->LeaderKnownAt < JoinAfter)
    return;
  State::JoinRequest Asked;
  Asked.Self.Id = Replica->self();
  Asked.Self.Address =
      Network::Address{this->Settings.Http.Ip, this->Settings.LinkPort};
  Asked.Self.DataCentre = this->Settings.DataCentre;
  this->syncLinks();
  this->toPeers(Asked);
}

void Controller::admit(const State::JoinRequest &Request) {
  const Consensus::Member &Asked = Request.Self;
  this->Joined[Asked.Address] = Asked.Id;
  const auto *Replica = this->Host->replica();
  if (!Replica)
    return;
  if (!this->Host->leads()) {
    // The leader has a link of its own to every member.
    const Consensus::Member *Leader =
        Replica->membership().find(Replica->leader());
    if (Leader && Leader->Id != Replica->self() && !Request.Relayed) {
      const auto Link = this->Links.find(Leader->Address);
      if (Link != this->Links.end())
        Link->second->send(Network::encode(
            State::ControlFrame(State::JoinRequest{Asked, true})));
    }
    return;
  }
  if (Replica->membership().find(Asked.Id))
    return;
  const absl::Status Added = this->Host->change(
      [&Asked](Consensus::Replica &Of, Common::TimePoint Now) {
        return Of.addLearner(Now, Asked);
      });
  Telemetry::log(Events::StateDaemonJoins, Asked.Id.str(), Asked.Address.str(),
                 Added.ok() ? "added" : std::string(Added.message()));
  this->Loop.defer([this] { this->groupChanged(); });
}

std::map<Consensus::ReplicaId, Consensus::MemberCondition>
Controller::memberConditions() const {
  std::map<Consensus::ReplicaId, Consensus::MemberCondition> Result;
  const Consensus::Replica &Replica = *this->Host->replica();
  const Common::TimePoint Now = this->Loop.now();
  for (const Consensus::Member &Each : Replica.membership().members()) {
    const auto View = Replica.peer(Each.Id);
    if (!View)
      continue;
    Consensus::MemberCondition Known;
    Known.Silence = Now - std::max(View->Contact, this->LeadingSince);
    Known.CaughtUp = View->Match >= Replica.commitIndex();
    const auto Holder = this->Joined.find(Each.Address);
    Known.Replaced = Holder != this->Joined.end() && Holder->second != Each.Id;
    Result[Each.Id] = Known;
  }
  return Result;
}

void Controller::planMembers() {
  if (!this->Host->leads())
    return;
  const Consensus::Replica &Replica = *this->Host->replica();
  Consensus::VoterPlanOptions Options;
  Options.Voters = 2 * this->Settings.ToleratedHosts + 1;
  const auto Next = Consensus::planVoters(Replica.membership(), Replica.self(),
                                          this->memberConditions(), Options);
  if (!Next)
    return;
  const bool Promotes = Next->What == Consensus::VoterChange::Kind::Promote;
  const absl::Status Done = this->Host->change(
      [&Next, Promotes](Consensus::Replica &Of, Common::TimePoint Now) {
        return Promotes ? Of.promote(Now, Next->Id) : Of.remove(Now, Next->Id);
      });
  Telemetry::log(Events::MembersChange, Promotes ? "promote" : "remove",
                 Next->Id.str(),
                 Done.ok() ? "proposed" : std::string(Done.message()));
}

} // namespace StateDaemon
