#include "StateDaemon/DeclarationFeed.h"

namespace StateDaemon {

bool DeclarationFeed::Subscriber::takeIfDue(
    Common::ConfigurationVersion Newest) {
  // The version under which an invalid declaration was sent can be assigned
  // again once that one counts as a lower version.
  if (this->LastSent && Newest < *this->LastSent)
    this->LastSent.reset();
  const bool IsNewer = !this->Held || Newest > *this->Held;
  // A daemon that could not use a version does not hold it and does not need
  // it again.
  if (!this->Waiting || !IsNewer || Newest == this->LastSent)
    return false;
  this->Waiting = false;
  this->LastSent = Newest;
  return true;
}

bool DeclarationFeed::handleRequest(
    Network::ConnectionId From,
    std::optional<Common::ConfigurationVersion> Held,
    std::optional<Common::ConfigurationVersion> Newest) {
  Subscriber &Requester = this->Subscribers[From];
  Requester.Waiting = true;
  Requester.Held = Held;
  return Newest && Requester.takeIfDue(*Newest);
}

std::vector<Network::ConnectionId>
DeclarationFeed::takeDue(Common::ConfigurationVersion Newest) {
  std::vector<Network::ConnectionId> Result;
  for (auto &[Connection, Each] : this->Subscribers)
    if (Each.takeIfDue(Newest))
      Result.push_back(Connection);
  return Result;
}

} // namespace StateDaemon
