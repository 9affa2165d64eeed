#ifndef SYCAMOREREACH_MEMBERSHIP_PEERTABLE_H
#define SYCAMOREREACH_MEMBERSHIP_PEERTABLE_H

#include "Membership/Digest.h"
#include "Network/Address.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Membership {

/// An entry daemon as given in the settings.
struct Peer {
  Common::DaemonId Daemon;
  Common::DataCentreId DataCentre;
  /// Receives digests over UDP and serves the configuration over TCP.
  Network::Address Address;

  /// Parses "NAME@IP:PORT@DATACENTRE". Returns InvalidArgument for any other
  /// form.
  static absl::StatusOr<Peer> create(const std::string &Text);
};

/// Liveness and demand of the other entry daemons. Local peers are tracked by
/// their digests, remote ones by the summaries of their data centre.
class PeerTable {
public:
  /// A peer without a message for this long is considered dead.
  static constexpr Common::Duration DeadTimeout = std::chrono::seconds(3);
  /// Older demand is not used to divide the dispatch windows of a service.
  static constexpr Common::Duration MaxDemandAge =
      std::chrono::milliseconds(1000);

  /// All peers count as heard from at Now, so that a peer that never sends a
  /// message is considered dead after DeadTimeout.
  PeerTable(Common::DaemonId Self, std::vector<Peer> All,
            Common::TimePoint Now);

  /// Applies a digest. Returns false if it is stale or a duplicate.
  bool update(const Digest &Received, Common::TimePoint Now);
  /// Applies the live daemons of another data centre.
  void update(const Summary &Received, Common::TimePoint Now);

  /// Whether this daemon relays for its data centre: it has the lowest name
  /// among the live daemons there.
  bool isRelay(Common::TimePoint Now) const;

  /// Returns the peers, local and remote, that exceeded DeadTimeout since the
  /// last call. A peer is returned again only if it was heard from in between.
  /// A peer that was never heard from has the highest incarnation.
  std::vector<DaemonIncarnation> takeNewlyDead(Common::TimePoint Now);

  /// This daemon's share of the dispatch windows (Routing::DispatchWindow) of a
  /// service, in (0, 1]: its part of the demand in the local data centre while
  /// the digests of all live peers there are younger than MaxDemandAge,
  /// otherwise 1 / number of daemons. Leaving peers are not counted.
  double share(const Common::ServiceName &Service, std::uint64_t LocalDemand,
               Common::TimePoint Now) const;

  const std::vector<Peer> &local() const { return this->Local; }
  const std::vector<Peer> &remote() const { return this->Remote; }
  const Peer *find(const Common::DaemonId &Daemon) const;
  /// The live peers of the local data centre, without this daemon.
  std::vector<DaemonIncarnation> liveLocalPeers(Common::TimePoint Now) const;
  bool isLive(const Common::DaemonId &Daemon, Common::TimePoint Now) const;

private:
  struct PeerState {
    Common::Incarnation Incarnation;
    std::uint64_t Sequence = 0;
    Common::TimePoint HeardAt;
    bool Leaving = false;
    bool DeathReported = false;
    std::map<Common::ServiceName, std::uint64_t> Demand;
  };

  Common::DaemonId Self;
  std::vector<Peer> Local;
  std::vector<Peer> Remote;
  std::map<Common::DaemonId, PeerState> States;
};

} // namespace Membership

#endif
