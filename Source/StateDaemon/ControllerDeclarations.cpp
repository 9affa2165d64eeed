#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

// How declarations reach the entry daemons.

namespace StateDaemon {

void Controller::publishDeclaration() {
  const Common::ConfigurationVersion Version = this->State.declarationVersion();
  std::vector<Network::ConnectionId> Unasked = this->entryConnections();
  std::erase_if(Unasked, [this](Network::ConnectionId Each) {
    return this->Declarations.contains(Each);
  });
  if (!Unasked.empty())
    this->LinkServer->broadcast(
        Unasked, Network::encode(State::ControlFrame(
                     State::DeclarationPush{Version, this->State.document()})));
  this->sendRequestedDeclaration(this->Declarations.takeDue(Version));
}

void Controller::handleDeclarationRequest(
    Network::ConnectionId From, const State::DeclarationRequest &Request) {
  std::optional<Common::ConfigurationVersion> Newest;
  if (this->State.hasDeclaration())
    Newest = this->State.declarationVersion();
  if (this->Declarations.handleRequest(From, Request.HeldVersion, Newest))
    this->sendRequestedDeclaration({From});
}

void Controller::sendRequestedDeclaration(
    const std::vector<Network::ConnectionId> &To) {
  if (To.empty())
    return;
  const auto Message = this->Compressor.compress(
      this->State.declarationVersion(), this->State.document());
  if (!Message.ok()) {
    Telemetry::log(Telemetry::Events::DeclarationUnreadable,
                   this->State.declarationVersion().Value,
                   Message.status().message());
    return;
  }
  this->Metrics.incrementCounter("declarations_sent_total", To.size());
  this->Metrics.incrementCounter("declaration_bytes_sent_total",
                                 To.size() *
                                     Message->CompressedDocument.size());
  this->LinkServer->broadcast(To,
                              Network::encode(State::ControlFrame(*Message)));
}

} // namespace StateDaemon
