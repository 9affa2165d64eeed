#ifndef SYCAMOREREACH_ENTRYDAEMON_CONFIGURATIONFEED_H
#define SYCAMOREREACH_ENTRYDAEMON_CONFIGURATIONFEED_H

#include "Common/Random.h"
#include "EntryDaemon/EntryContext.h"
#include "Membership/PeerTable.h"
#include "Network/FrameSocket.h"

#include <functional>
#include <map>
#include <memory>

namespace EntryDaemon {

/// Brings the newest configuration to this daemon and passes it to peers: the
/// relay of the data centre has it pushed by the state daemons, peers fetch
/// it from whoever shows a newer version, and all ask the state daemons from
/// time to time.
class ConfigurationFeed {
public:
  using OnChange = std::function<void()>;

  static absl::StatusOr<std::unique_ptr<ConfigurationFeed>>
  create(EntryContext &Context, const Membership::PeerTable &Peers,
         OnChange Changed);

  /// A peer holds a newer configuration.
  void fetchFrom(const Common::DaemonId &Peer);

private:
  ConfigurationFeed(EntryContext &Context, const Membership::PeerTable &Peers,
                    OnChange Changed);
  absl::Status listen();
  void poll();
  void schedulePoll();
  void answer(Network::ConnectionId To, const std::string &Payload);
  void received(const std::string &Payload);
  void apply(const Configuration::Declaration &Newer);

  EntryContext &Context;
  const Membership::PeerTable &Peers;
  OnChange Changed;
  std::unique_ptr<Network::FrameServer> Server;
  std::map<Common::DaemonId, std::unique_ptr<Network::FrameClient>> Links;
  Common::Random Jitter;
  bool Watching = false;
  Network::EventHandle Timer;
};

} // namespace EntryDaemon

#endif
