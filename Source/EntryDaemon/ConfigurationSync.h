#ifndef SYCAMOREREACH_ENTRYDAEMON_CONFIGURATIONSYNC_H
#define SYCAMOREREACH_ENTRYDAEMON_CONFIGURATIONSYNC_H

#include "Common/Random.h"
#include "EntryDaemon/EntryContext.h"
#include "Membership/PeerTable.h"
#include "Network/FrameSocket.h"

#include <functional>
#include <map>
#include <memory>

namespace EntryDaemon {

/// Keeps this daemon's configuration up to date and serves it to its peers.
/// The data centre's relay daemon subscribes to the state daemons; the other
/// daemons fetch a newer version from the peer that advertises it. All daemons
/// also poll the state daemons, in case a notification is lost.
class ConfigurationSync {
public:
  using OnChange = std::function<void()>;

  /// Listens on the peer address and starts polling. NotifyChange runs after
  /// each change of the configuration. Returns an error if the address cannot
  /// be bound.
  static absl::StatusOr<std::unique_ptr<ConfigurationSync>>
  create(EntryContext &Context, const Membership::PeerTable &Peers,
         OnChange NotifyChange);

  /// Requests the configuration from a peer that has a newer version.
  void fetchFrom(const Common::DaemonId &Peer);

private:
  ConfigurationSync(EntryContext &Context, const Membership::PeerTable &Peers,
                    OnChange NotifyChange);
  absl::Status listen();
  void poll();
  void schedulePoll();
  void handleFetch(Network::ConnectionId To, const std::string &Payload);
  void handleAnswer(const std::string &Payload);
  void apply(const Configuration::Declaration &Newer);

  EntryContext &Context;
  const Membership::PeerTable &Peers;
  OnChange NotifyChange;
  std::unique_ptr<Network::FrameServer> Server;
  std::map<Common::DaemonId, std::unique_ptr<Network::FrameClient>> Links;
  Common::Random Jitter;
  bool Subscribed = false;
  Network::EventHandle PollTimer;
};

} // namespace EntryDaemon

#endif
