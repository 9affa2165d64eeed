#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"
#include "platform/ConfigurationDocument.h"
#include "platform/ControlRequests.h"
#include "platform/Heartbeat.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

// HTTP requests from operators and backend servers.

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

const Network::HttpHeaders JsonType = {{"Content-Type", "application/json"}};

std::string errorBody(std::string_view Detail) {
  std::string Escaped;
  for (const char Char : Detail) {
    if (Char == '"' || Char == '\\')
      Escaped.push_back('\\');
    if (static_cast<unsigned char>(Char) >= ' ')
      Escaped.push_back(Char);
  }
  return "{\"error\":\"" + Escaped + "\"}";
}

} // namespace

void Controller::replyAccepted(Network::Http1Exchange &Exchange) {
  Exchange.reply(200, JsonType, "{}");
}

void Controller::replyUnavailable(Network::Http1Exchange &Exchange,
                                  std::string_view Detail) {
  Exchange.reply(503, JsonType, errorBody(Detail));
}

void Controller::replyError(Network::Http1Exchange &Exchange, int Status,
                            std::string_view Detail) {
  Exchange.reply(Status, JsonType, errorBody(Detail));
}

void Controller::replyRetry(Network::Http1Exchange &Exchange,
                            std::string_view Detail,
                            Common::Duration RetryAfter) {
  Exchange.reply(
      503,
      {{"Retry-After", absl::StrFormat("%.3f", Common::toSeconds(RetryAfter))}},
      errorBody(Detail));
}

void Controller::handleHttp(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  const Platform::ControlRequest Call =
      Platform::decodeControlRequest(Exchange->head().Method, Exchange->path());
  if (const auto *Heartbeat = std::get_if<Platform::HeartbeatRequest>(&Call))
    this->handleHeartbeat(Exchange, Heartbeat->Server);
  else if (const auto *Deregistration =
               std::get_if<Platform::DeregisterRequest>(&Call))
    this->handleDeregistration(Exchange, Deregistration->Server);
  else if (std::holds_alternative<Platform::ReplaceConfigurationRequest>(Call))
    this->handleDeclare(Exchange);
  else if (std::holds_alternative<Platform::ReadConfigurationRequest>(Call))
    this->handleReadDeclaration(*Exchange);
  else if (std::holds_alternative<Platform::BeginRolloutRequest>(Call))
    this->handleBeginRollout(Exchange);
  else if (const auto *Read = std::get_if<Platform::ReadRolloutRequest>(&Call))
    this->handleReadRollout(*Exchange, Read->Service, false);
  else if (const auto *Explain =
               std::get_if<Platform::ExplainRolloutRequest>(&Call))
    this->handleReadRollout(*Exchange, Explain->Service, true);
  else
    Exchange->reply(404, JsonType, errorBody("unknown route or method"));
}

void Controller::handleHeartbeat(
    const std::shared_ptr<Network::Http1Exchange> &Exchange,
    const Common::BackendServerId &Id) {
  const auto Record = Platform::decodeHeartbeat(Id, Exchange->body());
  if (!Record.ok()) {
    this->Metrics.incrementCounter("heartbeats_bad_total");
    Telemetry::log(Events::HeartbeatRefused, Id.str(),
                   Record.status().message());
    Exchange->reply(400, JsonType,
                    errorBody(std::string(Record.status().message())));
    return;
  }
  this->Metrics.incrementCounter("heartbeats_total");
  // Decodes what has just been applied.
  this->pushDeclaration();
  const bool IsSetAside = this->updateServer(*Record) ==
                          Membership::ServerRegistry::Outcome::SetAside;
  if (!IsSetAside)
    this->noteVersion(*Record, Record->Version);
  if (IsSetAside || !this->Declaration) {
    this->answerUndeclared(*Exchange, Record->Phase);
    return;
  }
  if (Record->Phase == Membership::ServerPhase::Serving)
    replyAccepted(*Exchange);
  else
    this->acknowledgeServerEnd(Exchange,
                               {Id, Record->StartedAt, Record->Phase});
}

void Controller::answerUndeclared(Network::Http1Exchange &Exchange,
                                  Membership::ServerPhase Phase) {
  // An end is acknowledged at once only where no newer declaration can exist
  // by which the server is in use.
  if (Phase == Membership::ServerPhase::Serving ||
      this->Driver->holdsLeadership())
    replyAccepted(Exchange);
  else
    this->redirectToLeader(Exchange, Exchange.head().Target);
}

void Controller::handleDeregistration(
    const std::shared_ptr<Network::Http1Exchange> &Exchange,
    const Common::BackendServerId &Id) {
  const auto StartedAt = Platform::decodeDeregistration(Exchange->body());
  if (!StartedAt.ok()) {
    this->Metrics.incrementCounter("deregistrations_bad_total");
    Telemetry::log(Events::DeregistrationRefused, Id.str(),
                   StartedAt.status().message());
    replyError(*Exchange, 400, std::string(StartedAt.status().message()));
    return;
  }
  Membership::ServerEnd End{Id, *StartedAt, Membership::ServerPhase::Gone};
  if (End.StartedAt == 0) {
    const auto *Known = this->Registry.find(Id);
    if (!Known) {
      this->Metrics.incrementCounter("deregistrations_unknown_total");
      Telemetry::log(Events::DeregistrationRefused, Id.str(),
                     "unknown here, without a start time");
      replyUnavailable(*Exchange, "the server is not known here and states no "
                                  "start time; send born, or call another "
                                  "daemon");
      return;
    }
    End.StartedAt = Known->Record.StartedAt;
  }
  if (this->Registry.applyEnd(End, this->Loop.now()))
    this->publishServerChange(this->Registry.find(Id)->Record, true);
  if (this->Registry.isSetAside(Id, End.StartedAt)) {
    this->answerUndeclared(*Exchange, End.Phase);
    return;
  }
  this->acknowledgeServerEnd(Exchange, End);
}

void Controller::handleDeclare(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  auto Map = Platform::decodeConfiguration(Exchange->body());
  if (!Map.ok()) {
    this->Metrics.incrementCounter("declarations_invalid_total");
    Telemetry::log(Events::DeclarationRefused, Map.status().message());
    Exchange->reply(400, JsonType,
                    errorBody(std::string(Map.status().message())));
    return;
  }
  if (!this->Driver->holdsLeadership()) {
    this->redirectToLeader(*Exchange, Exchange->head().Target);
    return;
  }
  // Decodes what has just been applied.
  this->pushDeclaration();
  const Common::ConfigurationVersion Version = Map->version();
  if (!this->isNewerThanDeclaration(Version)) {
    Telemetry::log(Events::DeclarationNotNewer, Version.Value,
                   this->State.declarationVersion().Value);
    replyAccepted(*Exchange);
    return;
  }
  this->DeclarationAwaitsLevel = !this->takesEffect(Version);
  if (this->DeclarationAwaitsLevel) {
    replyRetry(*Exchange, "the group cannot take this version until all state "
                          "daemons are updated; retry shortly");
    return;
  }
  State::DeclareCommand Command{Version, Exchange->body()};
  const bool Appended = this->Driver->propose(
      Network::encode(State::ControlCommand(std::move(Command))),
      [this, Exchange, Version](ReplicaDriver::ProposalOutcome Outcome) {
        // In the order of the enum ProposalOutcome.
        constexpr const char *Names[] = {"acknowledged", "not_newer",
                                         "unknown"};
        Telemetry::log(Events::DeclarationDecided, Version.Value,
                       Names[static_cast<std::size_t>(Outcome)]);
        // One that was not newer once it was applied is acknowledged, as one
        // that was not newer when it arrived.
        if (Outcome != ReplicaDriver::ProposalOutcome::Unknown)
          replyAccepted(*Exchange);
        else
          // The declaration may or may not be in force. Sending it again is
          // safe: the reply to it tells.
          Exchange->reply(
              500, JsonType,
              errorBody(
                  "outcome unknown after a change of leader; send it again"));
      });
  if (!Appended)
    this->redirectToLeader(*Exchange, Exchange->head().Target);
}

void Controller::handleReadDeclaration(Network::Http1Exchange &Exchange) {
  if (!this->Driver->holdsLeadership()) {
    this->redirectToLeader(Exchange, Exchange.head().Target);
    return;
  }
  if (this->State.document().empty())
    Exchange.reply(503, JsonType,
                   errorBody("no declaration has been accepted yet"));
  else
    Exchange.reply(200, JsonType, this->State.document());
}

void Controller::redirectToLeader(Network::Http1Exchange &Exchange,
                                  const std::string &Path) {
  const auto *Replica = this->Driver->replica();
  const Consensus::Member *Leader =
      Replica ? Replica->membership().find(Replica->leader()) : nullptr;
  if (!Leader || Leader->Id == Replica->self()) {
    replyRetry(Exchange, "no leader is known; retry shortly");
    return;
  }
  const Network::Address LeaderHttp{Leader->Address.Ip,
                                    this->Settings.Http.Port};
  Exchange.reply(307, {{"Location", "http://" + LeaderHttp.str() + Path}}, "");
}

} // namespace StateDaemon
