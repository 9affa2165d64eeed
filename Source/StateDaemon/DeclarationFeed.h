#ifndef SYCAMOREREACH_STATEDAEMON_DECLARATIONFEED_H
#define SYCAMOREREACH_STATEDAEMON_DECLARATIONFEED_H

#include "Common/Ids.h"
#include "Network/FrameSocket.h"

#include <map>
#include <optional>
#include <vector>

namespace StateDaemon {

/// Decides when connected entry daemons get the declaration: on request, one at
/// a time and always the newest. A link that needs longer for one than the
/// pause between two thus carries none that is already replaced.
class DeclarationFeed {
public:
  /// Held is the version of the requester's declaration, if it has one. Returns
  /// whether to send Newest to it now; if not, it gets a later one.
  bool handleRequest(Network::ConnectionId From,
                     std::optional<Common::ConfigurationVersion> Held,
                     std::optional<Common::ConfigurationVersion> Newest);
  /// The connections to which Newest is to be sent now.
  std::vector<Network::ConnectionId>
  takeDue(Common::ConfigurationVersion Newest);
  /// Whether this connection requests declarations. Daemons of earlier releases
  /// do not; they get each one unasked.
  bool contains(Network::ConnectionId Connection) const {
    return this->Subscribers.count(Connection) != 0;
  }
  void remove(Network::ConnectionId Connection) {
    this->Subscribers.erase(Connection);
  }

private:
  struct Subscriber {
    bool Waiting = false;
    std::optional<Common::ConfigurationVersion> Held;
    std::optional<Common::ConfigurationVersion> LastSent;

    /// Returns whether Newest is to be sent, and records that it is.
    bool takeIfDue(Common::ConfigurationVersion Newest);
  };

  std::map<Network::ConnectionId, Subscriber> Subscribers;
};

} // namespace StateDaemon

#endif
