#ifndef SYCAMOREREACH_ENTRYDAEMON_GOSSIP_H
#define SYCAMOREREACH_ENTRYDAEMON_GOSSIP_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/ServiceDispatchers.h"
#include "Membership/Digest.h"
#include "Membership/PeerTable.h"
#include "Network/DatagramSocket.h"

#include <functional>
#include <map>
#include <memory>

namespace EntryDaemon {

/// Exchanges membership and load information with the other entry daemons over
/// UDP: digests within the data centre, summaries between data centres, and
/// notices of sudden changes to all daemons.
class Gossip {
public:
  struct Handlers {
    /// A peer advertises a newer configuration version.
    std::function<void(const Common::DaemonId &)> OnNewerConfiguration;
    /// A peer is considered failed.
    std::function<void(const Membership::DaemonIncarnation &)> OnPeerFailed;
  };

  /// Binds the UDP socket and starts the periodic messages. Returns an error
  /// if the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<Gossip>>
  create(EntryContext &Context, Membership::PeerTable &Peers,
         ServiceDispatchers &Dispatchers, Handlers Callbacks);

  /// Adds a backend server that announced itself to this daemon to the next
  /// digest.
  void serverAnnounced(const Membership::Announcement &Announced);
  /// Notifies all daemons that these servers must get no new requests.
  void sendLeavingNotice(const std::vector<Common::BackendServerId> &Servers);
  /// Notifies all daemons that a host is being reclaimed. The notice is sent
  /// three times, as datagrams may be lost.
  void sendReclaimNotice(const Common::HostId &Host);
  /// Notifies all daemons of a failed server.
  void sendCrashNotice(const Membership::CrashNotice &Notice);
  /// Notifies all daemons of answers that went on.
  void sendSurvivalNotice(const Membership::SurvivalNotice &Notice);
  /// Advertises the configuration's version within the data centre.
  void sendConfigurationNotice();
  /// Marks this daemon as leaving in all further digests.
  void startLeaving() { this->Leaving = true; }

private:
  Gossip(EntryContext &Context, Membership::PeerTable &Peers,
         ServiceDispatchers &Dispatchers, Handlers Callbacks);
  /// Sends the digest and notices, expires servers and detects failed peers.
  void runPeriodicTasks();
  void sendDigest();
  void sendReclaimNotices();
  void sendSummary();
  /// Forwards announcements of servers of other data centres to the daemons of
  /// those data centres.
  void forwardToHomeDataCentres(
      const std::vector<Membership::AgedAnnouncement> &Announced);
  /// The servers of each service with the most free slots, for a summary.
  std::vector<Membership::AgedAnnouncement> selectSummaryServers() const;
  void handleDatagram(const std::string &Payload);
  void handle(const Membership::Digest &Message);
  void handle(const Membership::Summary &Message);
  void handle(const Membership::LeavingNotice &Message);
  void handle(const Membership::CrashNotice &Message);
  void handle(const Membership::ConfigurationNotice &Message);
  void handle(const Membership::SurvivalNotice &Message);
  void updateRegistry(const std::vector<Membership::AgedAnnouncement> &Servers);
  void checkConfigurationVersion(const Common::DaemonId &From,
                                 Common::ConfigurationVersion PeerVersion);
  void sendTo(const std::vector<Membership::Peer> &Targets,
              const Membership::Datagram &Message);
  Membership::AgedAnnouncement
  announcementWithAge(const Membership::BackendRegistry::Entry &Each) const;

  EntryContext &Context;
  Membership::PeerTable &Peers;
  ServiceDispatchers &Dispatchers;
  Handlers Callbacks;
  std::unique_ptr<Network::DatagramSocket> Socket;
  std::uint64_t Sequence = 0;
  /// Servers that announced themselves here since the last digest.
  std::vector<Common::BackendServerId> NewlyAnnounced;
  bool Leaving = false;
  Common::TimePoint LastPeriodicRun;
  /// Datagrams are discarded until then, after the process was suspended.
  Common::TimePoint DiscardUntil;
  /// Reclaimed hosts, each with the number of notices that remain to be sent.
  std::map<Common::HostId, int> ReclaimedHosts;
  Network::EventHandle DigestTimer;
  Network::EventHandle SummaryTimer;
};

} // namespace EntryDaemon

#endif
