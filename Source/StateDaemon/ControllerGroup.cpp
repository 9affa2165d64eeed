#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>

// The consensus group of the state daemons: bootstrap, joining, links between
// the members and the choice of voters.

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Longer than the defaults: links cross data centres, hosts have a third of a
/// core, and each message costs processor time.
constexpr Consensus::ReplicaTiming RaftTiming{
    std::chrono::milliseconds(100), std::chrono::milliseconds(450),
    std::chrono::milliseconds(800), std::chrono::milliseconds(360)};
/// How long a daemon goes without a leader before it asks to join the group.
constexpr Common::Duration JoinDelay = std::chrono::milliseconds(1000);
/// A replica counts as leaving for this long after it last said so.
constexpr Common::Duration LeaveRequestAge = std::chrono::milliseconds(1000);

} // namespace

ReplicaDriver::Options Controller::replicaOptions() const {
  ReplicaDriver::Options Result;
  Result.DataPath = this->Settings.DataPath;
  Result.Name = this->Settings.Name.str();
  Result.Timing = RaftTiming;
  if (!this->Settings.FirstStart)
    return Result;
  // The seeds bootstrap the group. Each of them derives the same identities
  // from the addresses.
  const auto FounderIdOf = [](const Network::Address &Address) {
    return Consensus::ReplicaId("founder-" + Address.Ip);
  };
  for (const Network::Address &Each : this->Settings.seedLinkAddresses()) {
    Consensus::Member Founder;
    Founder.Id = FounderIdOf(Each);
    Founder.Address = Each;
    // The data centres of the other founders are not known yet; the address
    // stands in for them.
    Founder.DataCentre = Common::DataCentreId(Each.Ip);
    Result.Founders.push_back(Founder);
    if (Each.Ip == this->Settings.Http.Ip)
      Result.FounderIdentity = Founder.Id;
  }
  if (Result.FounderIdentity.empty())
    Result.Founders.clear();
  return Result;
}

void Controller::handleGroupChange() {
  this->syncLinks();
  // The replica may have been opened, perhaps with a new identity.
  for (const auto &Each : this->Links)
    this->sendPeerHello(*Each.second);
  const auto *Replica = this->Driver->replica();
  const bool Leads =
      Replica && Replica->state() == Consensus::Replica::State::Leader;
  if (Leads && !this->Tracker) {
    const Common::TimePoint Now = this->Loop.now();
    this->LeadingSince = Now;
    this->Tracker =
        std::make_unique<EntryDaemonTracker>(this->Settings.Tolerance, Now);
    this->Reports =
        std::make_unique<ReportHandler>(this->rolloutDependencies());
    this->Tracker->addOwnClock(this->Settings.Name, this->Loop.wallNow(), Now);
    if (!this->Settings.DutyAddress.empty()) {
      this->Duties = std::make_unique<DutyRunner>(DutyRunner::Dependencies{
          this->Loop, this->Settings, *this->Client, *this->Driver, this->State,
          this->Registry, *this->Tracker, this->Metrics});
      this->Duties->setDeclaration(this->Declaration);
    }
  }
  if (!Leads && this->Tracker) {
    this->Duties.reset();
    this->Tracker.reset();
    this->Reports.reset();
  }
  this->broadcastToEntries(this->stateEndpoints());
  // A replacement takes several changes, and between them the group tolerates
  // fewer losses.
  this->adjustMembership();
}

void Controller::syncLinks() {
  const auto *Replica = this->Driver->replica();
  std::set<Network::Address> Addresses;
  const auto Add = [this, &Addresses](const Network::Address &Address) {
    if (Address.Ip != this->Settings.Http.Ip)
      Addresses.insert(Address);
  };
  if (Replica)
    for (const Consensus::Member &Each : Replica->membership().members())
      Add(Each.Address);
  // A daemon that is not a member yet sends its join request to the seeds.
  const bool Member =
      Replica && Replica->membership().find(Replica->self()) != nullptr;
  if (!Member)
    for (const Network::Address &Each : this->Settings.seedLinkAddresses())
      Add(Each);
  std::erase_if(this->Links, [&Addresses](const auto &Each) {
    return Addresses.count(Each.first) == 0;
  });
  for (const Network::Address &Each : Addresses) {
    if (this->Links.count(Each) != 0)
      continue;
    Network::FrameClient::Handlers LinkHandlers;
    LinkHandlers.OnPayload = [this, Each](const std::string &Payload) {
      this->handleLinkFrame(Each, Payload);
    };
    LinkHandlers.OnConnected = [this, Each] {
      Telemetry::log(Events::PeerConnected, Each.str());
      const auto Link = this->Links.find(Each);
      if (Link == this->Links.end())
        return;
      this->sendPeerHello(*Link->second);
      for (const auto &Frame : this->registryFrames(this->registrySnapshot()))
        Link->second->send(Network::encode(Frame));
    };
    LinkHandlers.OnDisconnected = [Each] {
      Telemetry::log(Events::PeerLost, Each.str());
    };
    LinkHandlers.OnRefused = [this](Common::RefusalReason Reason) {
      this->Metrics.recordRefusal(Reason);
    };
    this->Links[Each] = std::make_unique<Network::FrameClient>(
        this->Loop, Each, this->Settings.Key, std::move(LinkHandlers));
  }
}

void Controller::sendMessage(const Consensus::Message &Message) {
  const auto *Replica = this->Driver->replica();
  const Consensus::Member *To =
      Replica ? Replica->membership().find(Message.To) : nullptr;
  this->Metrics.incrementCounter("peer_messages_sent_total");
  if (To) {
    const auto Link = this->Links.find(To->Address);
    if (Link != this->Links.end())
      Link->second->send(Network::encode(State::ControlFrame(Message)));
    return;
  }
  // A new replica replies to a leader whose address it does not know yet: over
  // the connection that the message came from.
  const auto Connection = this->NonMemberConnections.find(Message.To);
  if (Connection != this->NonMemberConnections.end())
    this->sendTo(Connection->second, Message);
}

void Controller::requestJoin() {
  const auto *Replica = this->Driver->replica();
  if (!Replica)
    return;
  const Common::TimePoint Now = this->Loop.now();
  if (!Replica->leader().empty())
    this->LeaderLastKnownAt = Now;
  if (Now - this->LeaderLastKnownAt < JoinDelay)
    return;
  State::JoinRequest Request;
  Request.Self.Id = Replica->self();
  Request.Self.Address =
      Network::Address{this->Settings.Http.Ip, this->Settings.LinkPort};
  Request.Self.DataCentre = this->Settings.DataCentre;
  this->syncLinks();
  this->broadcastToPeers(Request);
}

void Controller::handleJoinRequest(const State::JoinRequest &Request) {
  const Consensus::Member &Requester = Request.Self;
  this->JoinRequesters[Requester.Address] = Requester.Id;
  const auto *Replica = this->Driver->replica();
  if (!Replica)
    return;
  if (!this->Driver->holdsLeadership()) {
    // Members are linked to each other, so one hop reaches the leader.
    const Consensus::Member *Leader =
        Replica->membership().find(Replica->leader());
    if (Leader && Leader->Id != Replica->self() && !Request.Relayed) {
      const auto Link = this->Links.find(Leader->Address);
      if (Link != this->Links.end())
        Link->second->send(Network::encode(
            State::ControlFrame(State::JoinRequest{Requester, true})));
    }
    return;
  }
  if (Replica->membership().find(Requester.Id))
    return;
  const absl::Status Added = this->Driver->changeMembership(
      [&Requester](Consensus::Replica &Target, Common::TimePoint Now) {
        return Target.addLearner(Now, Requester);
      });
  Telemetry::log(Events::StateDaemonJoins, Requester.Id.str(),
                 Requester.Address.str(),
                 Added.ok() ? "added" : std::string(Added.message()));
  this->Loop.defer([this] { this->handleGroupChange(); });
}

Consensus::VoterPlanOptions Controller::voterPlanOptions() const {
  return Consensus::VoterPlanOptions::create(this->Settings.ToleratedHosts,
                                             this->Settings.CatchUpTime);
}

std::map<Consensus::ReplicaId, Consensus::MemberHealth>
Controller::memberHealth() const {
  auto Result =
      Consensus::observeHealth(*this->Driver->replica(), this->LeadingSince,
                               this->JoinRequesters, this->Loop.now());
  for (auto &[Id, Health] : Result) {
    const auto Leaving = this->LeavingReplicas.find(Id);
    Health.Leaving = Leaving != this->LeavingReplicas.end() &&
                     this->Loop.now() - Leaving->second < LeaveRequestAge;
  }
  return Result;
}

void Controller::handleLeaveRequest(Network::ConnectionId From,
                                    const State::LeaveRequest &Request) {
  if (!this->Driver->holdsLeadership())
    return;
  const Consensus::Replica &Replica = *this->Driver->replica();
  const bool RemovalCommitted =
      !Replica.membership().isVoter(Request.Self) &&
      Replica.log().membershipIndex() <= Replica.commitIndex();
  if (RemovalCommitted) {
    this->LeavingReplicas.erase(Request.Self);
    this->sendTo(From, State::LeaveConfirmation{Request.Self});
    return;
  }
  this->LeavingReplicas[Request.Self] = this->Loop.now();
  this->adjustMembership();
}

bool Controller::requestLeave() {
  const auto *Replica = this->Driver->replica();
  if (!Replica || this->LeaveConfirmed ||
      !Replica->membership().isVoter(Replica->self()))
    return false;
  const auto &Members = Replica->membership().members();
  const bool HasLearner = std::any_of(
      Members.begin(), Members.end(), [](const Consensus::Member &Each) {
        return Each.Role == Consensus::Role::Learner;
      });
  if (!HasLearner && !this->LeaveRequested)
    return false;
  this->LeaveRequested = true;
  if (Network::FrameClient *Leader = this->leaderLink())
    Leader->send(Network::encode(
        State::ControlFrame(State::LeaveRequest{Replica->self()})));
  return true;
}

void Controller::adjustMembership() {
  if (!this->Driver->holdsLeadership())
    return;
  const Consensus::Replica &Replica = *this->Driver->replica();
  const auto Change = Consensus::planVoterChange(
      Replica.membership(), Replica.self(), this->memberHealth(),
      this->voterPlanOptions());
  if (!Change)
    return;
  const bool Promotes =
      Change->Kind == Consensus::VoterChange::ChangeKind::Promote;
  const absl::Status Proposed = this->Driver->changeMembership(
      [&Change, Promotes](Consensus::Replica &Target, Common::TimePoint Now) {
        return Promotes ? Target.promote(Now, Change->Id)
                        : Target.remove(Now, Change->Id);
      });
  Telemetry::log(Events::MembersChange, Promotes ? "promote" : "remove",
                 Change->Id.str(),
                 Proposed.ok() ? "proposed" : std::string(Proposed.message()));
}

} // namespace StateDaemon
