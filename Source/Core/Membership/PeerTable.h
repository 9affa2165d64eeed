#ifndef SYCAMOREREACH_MEMBERSHIP_PEERTABLE_H
#define SYCAMOREREACH_MEMBERSHIP_PEERTABLE_H

#include "Membership/Digest.h"
#include "Network/Address.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Membership {

/// One entry daemon, as the settings name it.
struct Peer {
  Common::DaemonId Daemon;
  Common::DataCentreId DataCentre;
  /// Digests go here over UDP; the configuration is fetched here over TCP.
  Network::Address Address;

  /// Reads "NAME@IP:PORT@DATACENTRE".
  static absl::StatusOr<Peer> create(const std::string &Text);
};

/// The entry daemons: those of the own data centre seen through their
/// digests, the others through summaries.
class PeerTable {
public:
  /// A peer that was silent for this long counts as dead.
  static constexpr Common::Duration DeadTimeout = std::chrono::seconds(3);
  /// Demand older than this is not used to share windows.
  static constexpr Common::Duration MaxDemandAge =
      std::chrono::milliseconds(1000);

  /// All are taken as heard at Now, so that one that is never heard of
  /// counts as dead in time.
  PeerTable(Common::DaemonId Self, std::vector<Peer> All,
            Common::TimePoint Now);

  /// False for a digest that is older than one already seen.
  bool update(const Digest &Received, Common::TimePoint Now);
  /// Notes who lives in another data centre.
  void update(const Summary &Received, Common::TimePoint Now);

  /// Whether this daemon has the lowest name among the living ones of its
  /// data centre, and so speaks for it.
  bool isRelay(Common::TimePoint Now) const;

  /// Peers that died, here or in other data centres; each life once. A peer
  /// that was never heard of is given with the highest life.
  std::vector<DaemonIncarnation> takeNewlyDead(Common::TimePoint Now);

  /// This daemon's part of a service's windows, in (0, 1]: by demand while
  /// digests are fresh, else an equal part.
  double share(const Common::ServiceName &Service, std::uint64_t LocalDemand,
               Common::TimePoint Now) const;

  const std::vector<Peer> &local() const { return this->Local; }
  const std::vector<Peer> &remote() const { return this->Remote; }
  const Peer *find(const Common::DaemonId &Daemon) const;
  /// The living peers of the own data centre, without this daemon.
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
