#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Network/Compression.h"
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
  if (absl::Status Compressed = this->compressDeclaration(); !Compressed.ok()) {
    Telemetry::log(Telemetry::Events::DeclarationUnreadable,
                   this->State.declarationVersion().Value,
                   Compressed.message());
    return;
  }
  this->Metrics.incrementCounter("declarations_sent_total", To.size());
  this->Metrics.incrementCounter(
      "declaration_bytes_sent_total",
      To.size() * this->CompressedDeclaration.CompressedDocument.size());
  this->LinkServer->broadcast(
      To, Network::encode(State::ControlFrame(this->CompressedDeclaration)));
}

absl::Status Controller::compressDeclaration() {
  const Common::ConfigurationVersion Version = this->State.declarationVersion();
  if (this->CompressedDeclaration.Version == Version &&
      !this->CompressedDeclaration.CompressedDocument.empty())
    return absl::OkStatus();
  auto Compressed = Network::compress(this->State.document());
  if (!Compressed.ok())
    return Compressed.status();
  this->CompressedDeclaration = {Version, std::move(*Compressed)};
  return absl::OkStatus();
}

} // namespace StateDaemon
