#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>

// Servers that leave, and the protocol level that recording them requires.

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// How often ends that are not confirmed are sent again or given up.
constexpr Common::Duration CheckPeriod = std::chrono::milliseconds(50);

} // namespace

ServerEndRecorder::Handlers Controller::serverEndHandlers() {
  ServerEndRecorder::Handlers Result;
  Result.Propose = [this](State::RecordServerEndsCommand Command,
                          const std::function<void()> &OnApplied) {
    this->Driver->propose(
        Network::encode(State::ControlCommand(std::move(Command))),
        [OnApplied](ReplicaDriver::ProposalOutcome Outcome) {
          // Ignored if they were recorded meanwhile.
          if (Outcome != ReplicaDriver::ProposalOutcome::Unknown)
            OnApplied();
        });
  };
  Result.SendToLeader = [this](const State::ServerEndRequest &Request) {
    if (Network::FrameClient *Leader = this->leaderLink())
      Leader->send(Network::encode(State::ControlFrame(Request)));
  };
  Result.SendToMembers = [this](const ServerEndRecorder::Ends &Ends,
                                const std::function<void()> &OnHeld) {
    this->sendServerEndsToMembers(Ends, OnHeld);
  };
  return Result;
}

void Controller::acknowledgeServerEnd(
    const std::shared_ptr<Network::Http1Exchange> &Exchange,
    const Membership::ServerEnd &End) {
  if (this->State.hasServerEnd(End)) {
    replyAccepted(*Exchange);
    return;
  }
  const Common::TimePoint ReceivedAt = this->Loop.now();
  this->ServerEnds.record(
      End, ReceivedAt,
      [this, Exchange, End, ReceivedAt](ServerEndRecorder::Outcome Outcome) {
        const bool Recorded = Outcome == ServerEndRecorder::Outcome::Recorded;
        const Common::Duration Waited = this->Loop.now() - ReceivedAt;
        this->Metrics.observeSummary("server_end_seconds", Waited);
        Telemetry::log(Events::ServerEndDecided, End.Id.str(), End.StartedAt,
                       Membership::nameOf(End.Phase),
                       Recorded ? "recorded" : "unknown",
                       Common::toMilliseconds(Waited));
        if (Recorded) {
          replyAccepted(*Exchange);
          return;
        }
        this->Metrics.incrementCounter("server_ends_unconfirmed_total");
        replyUnavailable(*Exchange, "not confirmed by the other state daemons "
                                    "in time; call again, or another daemon");
      });
  if (!this->ServerEndTimer.isActive())
    this->ServerEndTimer =
        this->Loop.callEvery(CheckPeriod, [this] { this->checkServerEnds(); });
  if (this->ServerEndsScheduled)
    return;
  this->ServerEndsScheduled = true;
  // Deferred, so that calls that arrived together share a message.
  this->Loop.defer([this] {
    this->ServerEndsScheduled = false;
    this->ServerEnds.send(this->Loop.now(), this->Driver->holdsLeadership());
  });
}

void Controller::checkServerEnds() {
  this->ServerEnds.expire(this->Loop.now());
  this->ServerEnds.send(this->Loop.now(), this->Driver->holdsLeadership());
  if (this->ServerEnds.pending() == 0)
    this->ServerEndTimer.cancel();
}

void Controller::handleServerEndRequest(
    Network::ConnectionId From, const State::ServerEndRequest &Request) {
  if (!this->Driver->holdsLeadership())
    return;
  this->ServerEnds.handleRequest(Request, [this, From, Ends = Request.Ends] {
    this->sendTo(From, State::ServerEndConfirmation{Ends});
  });
}

void Controller::sendServerEndsToMembers(const ServerEndRecorder::Ends &Ends,
                                         const std::function<void()> &OnHeld) {
  const auto *Replica = this->Driver->replica();
  if (!Replica)
    return;
  State::RegistryDelta Delta;
  for (const Membership::ServerEnd &Each : Ends) {
    const auto *Known = this->Registry.find(Each.Id);
    Membership::ServerRecord Record;
    if (Known && Known->Record.StartedAt == Each.StartedAt)
      Record = Known->Record;
    Record.Id = Each.Id;
    Record.StartedAt = Each.StartedAt;
    Record.Phase = std::max(Record.Phase, Each.Phase);
    Delta.Changed.push_back(std::move(Record));
  }
  const std::string Payload = Network::encode(State::ControlFrame(Delta));
  const auto &Members = Replica->membership().members();
  const std::size_t Majority = Members.size() / 2 + 1;
  const bool IsMember = Replica->membership().find(Replica->self()) != nullptr;
  const auto Holders = std::make_shared<std::size_t>(IsMember ? 1 : 0);
  for (const Consensus::Member &Each : Members) {
    const auto Link = this->Links.find(Each.Address);
    if (Link == this->Links.end() || !Link->second->send(Payload))
      continue;
    Link->second->whenHandled([Holders, Majority, OnHeld] {
      if (++*Holders == Majority)
        OnHeld();
    });
  }
}

void Controller::applyServerEnds(const ServerEndRecorder::Ends &Ends) {
  for (const Membership::ServerEnd &Each : Ends)
    if (this->Registry.applyEnd(Each, this->Loop.now()))
      // The peers learn it from the log as well.
      this->publishServerChange(this->Registry.find(Each.Id)->Record, false);
  this->ServerEnds.confirm(Ends);
}

void Controller::handlePeerHello(Network::ConnectionId From,
                                 const State::PeerHello &Hello) {
  this->PeerLevels[Hello.Self] = {From, Hello.SupportedLevel};
}

void Controller::sendPeerHello(Network::FrameClient &Link) {
  if (const auto *Replica = this->Driver->replica())
    Link.send(Network::encode(State::ControlFrame(
        State::PeerHello{Replica->self(), State::SupportedProtocolLevel})));
}

void Controller::raiseProtocolLevel() {
  if (this->State.protocolLevel() >= State::SupportedProtocolLevel ||
      !this->Driver->holdsLeadership())
    return;
  const Consensus::Replica &Replica = *this->Driver->replica();
  const auto Health = this->memberHealth();
  const Common::Duration LossTimeout = this->voterPlanOptions().VoterTimeout;
  State::ProtocolLevel Level = State::SupportedProtocolLevel;
  for (const Consensus::Member &Each : Replica.membership().members()) {
    if (Each.Id == Replica.self())
      continue;
    // A lost member that comes back with an earlier release has to be updated
    // before it can follow the log.
    const auto Observed = Health.find(Each.Id);
    const bool IsLost = Observed != Health.end() &&
                        Observed->second.SinceLastContact > LossTimeout;
    if (IsLost && this->DeclarationAwaitsLevel)
      continue;
    const auto Known = this->PeerLevels.find(Each.Id);
    if (Known == this->PeerLevels.end())
      return;
    Level = std::min(Level, Known->second.SupportedLevel);
  }
  if (Level <= this->State.protocolLevel())
    return;
  this->Driver->propose(
      Network::encode(
          State::ControlCommand(State::RaiseProtocolLevelCommand{Level})),
      [Level](ReplicaDriver::ProposalOutcome Outcome) {
        if (Outcome == ReplicaDriver::ProposalOutcome::Applied)
          Telemetry::log(Events::ProtocolLevelRaised, Level.Value);
      });
}

} // namespace StateDaemon
