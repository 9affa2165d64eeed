#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"
#include "platform/ConfigurationDocument.h"
#include "platform/ControlCalls.h"
#include "platform/Heartbeat.h"

#include <absl/strings/str_cat.h>

// The operator's and the backend servers' HTTP.

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

const Network::HttpHeaders JsonType = {{"Content-Type", "application/json"}};

std::string errorBody(std::string_view Detail) {
  std::string Escaped;
  for (const char C : Detail) {
    if (C == '"' || C == '\\')
      Escaped.push_back('\\');
    if (static_cast<unsigned char>(C) >= ' ')
      Escaped.push_back(C);
  }
  return "{\"error\":\"" + Escaped + "\"}";
}

} // namespace

void Controller::handleHttp(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  const Platform::ControlCall Call =
      Platform::decodeControlCall(Exchange->head().Method, Exchange->path());
  if (const auto *Beat = std::get_if<Platform::HeartbeatCall>(&Call))
    this->heartbeat(*Exchange, Beat->Server);
  else if (const auto *Leaves = std::get_if<Platform::DepartureCall>(&Call))
    this->departure(*Exchange, Leaves->Server);
  else if (std::holds_alternative<Platform::DeclareCall>(Call))
    this->declare(Exchange);
  else if (std::holds_alternative<Platform::ReadCall>(Call))
    this->read(*Exchange);
  else
    Exchange->reply(404, JsonType, errorBody("no such call"));
}

void Controller::heartbeat(Network::Http1Exchange &Exchange,
                           const Common::BackendServerId &Id) {
  const auto Said = Platform::decodeHeartbeat(Id, Exchange.body());
  if (!Said.ok()) {
    this->Metrics.incrementCounter("heartbeats_bad_total");
    Telemetry::log(Events::HeartbeatRefused, Id.str(), Said.status().message());
    Exchange.reply(400, JsonType,
                   errorBody(std::string(Said.status().message())));
    return;
  }
  this->Metrics.incrementCounter("heartbeats_total");
  this->announced(*Said);
  Exchange.reply(200, JsonType, "{}");
}

void Controller::departure(Network::Http1Exchange &Exchange,
                           const Common::BackendServerId &Id) {
  const std::uint64_t Start = Platform::departureStart(Exchange.body());
  if (this->Registry.leave(Id, Start, this->Loop.now()))
    this->spread(this->Registry.find(Id)->Record, true);
  Exchange.reply(200, JsonType, "{}");
}

void Controller::declare(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  auto Map = Platform::decodeConfiguration(Exchange->body());
  if (!Map.ok()) {
    this->Metrics.incrementCounter("declarations_invalid_total");
    Telemetry::log(Events::DeclarationRefused, Map.status().message());
    Exchange->reply(400, JsonType,
                    errorBody(std::string(Map.status().message())));
    return;
  }
  if (!this->Host->leads()) {
    this->redirectToLeader(*Exchange, Exchange->head().Target);
    return;
  }
  const Common::ConfigurationVersion Version = Map->version();
  if (Version <= this->State.version()) {
    Telemetry::log(Events::DeclarationNotNewer, Version.Value,
                   this->State.version().Value);
    Exchange->reply(200, JsonType, "{}");
    return;
  }
  State::DeclareCommand Command{Version, Exchange->body()};
  const bool Appended = this->Host->propose(
      Network::encode(State::ControlCommand(std::move(Command))),
      [this, Exchange, Version](ReplicaHost::ProposalEnd End) {
        const bool Applied = End == ReplicaHost::ProposalEnd::Applied;
        Telemetry::log(Events::DeclarationDecided, Version.Value,
                       Applied ? "acknowledged" : "unknown");
        if (Applied)
          Exchange->reply(200, JsonType, "{}");
        else
          // In force or not: the operator sends it again and learns which.
          Exchange->reply(500, JsonType,
                          errorBody("the leader changed; send it again"));
      });
  if (!Appended)
    this->redirectToLeader(*Exchange, Exchange->head().Target);
}

void Controller::read(Network::Http1Exchange &Exchange) {
  if (!this->Host->leads()) {
    this->redirectToLeader(Exchange, Exchange.head().Target);
    return;
  }
  if (this->State.document().empty())
    Exchange.reply(503, JsonType, errorBody("nothing was declared yet"));
  else
    Exchange.reply(200, JsonType, this->State.document());
}

void Controller::redirectToLeader(Network::Http1Exchange &Exchange,
                                  const std::string &Path) {
  const auto *Replica = this->Host->replica();
  const Consensus::Member *Leader =
      Replica ? Replica->membership().find(Replica->leader()) : nullptr;
  if (!Leader || Leader->Id == Replica->self()) {
    Exchange.reply(503, {{"Retry-After", "0.3"}},
                   errorBody("no leader is known; retry shortly"));
    return;
  }
  const Network::Address To{Leader->Address.Ip, this->Settings.Http.Port};
  Exchange.reply(307, {{"Location", "http://" + To.str() + Path}}, "");
}

} // namespace StateDaemon
