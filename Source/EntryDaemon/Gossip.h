#ifndef SYCAMOREREACH_ENTRYDAEMON_GOSSIP_H
#define SYCAMOREREACH_ENTRYDAEMON_GOSSIP_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/Lanes.h"
#include "Membership/Digest.h"
#include "Membership/PeerTable.h"
#include "Network/DatagramSocket.h"

#include <functional>
#include <map>
#include <memory>

namespace EntryDaemon {

/// Tells the other entry daemons what this one knows, and takes in what they
/// say: digests within the data centre, summaries between data centres,
/// notices to all.
class Gossip {
public:
  struct Handlers {
    /// A peer holds a newer configuration.
    std::function<void(const Common::DaemonId &)> OnNewerConfiguration;
    std::function<void(const Membership::DaemonIncarnation &)> OnDeath;
  };

  static absl::StatusOr<std::unique_ptr<Gossip>>
  create(EntryContext &Context, Membership::PeerTable &Peers, Lanes &Services,
         Handlers Handle);

  /// A backend server announced itself here.
  void announced(const Membership::Announcement &Said);
  /// These servers must get no new work anywhere.
  void tellLeaving(const std::vector<Common::BackendServerId> &Servers);
  /// A host is taken back. Told three times, since any message may be lost.
  void tellReclaim(const Common::HostId &Host);
  void tellCrash(const Membership::CrashNotice &Notice);
  void tellConfiguration();
  void startLeaving() { this->Leaving = true; }

private:
  Gossip(EntryContext &Context, Membership::PeerTable &Peers, Lanes &Services,
         Handlers Handle);
  void tick();
  void sendDigest();
  void repeatReclaims();
  void sendSummary();
  /// Tells the servers' own data centres what was announced here.
  void forward(const std::vector<Membership::AgedAnnouncement> &Heard);
  std::vector<Membership::AgedAnnouncement> summarize() const;
  void received(const std::string &Payload);
  void take(const Membership::Digest &Said);
  void take(const Membership::Summary &Said);
  void take(const Membership::LeavingNotice &Said);
  void take(const Membership::CrashNotice &Said);
  void take(const Membership::ConfigurationNotice &Said);
  void learn(const std::vector<Membership::AgedAnnouncement> &Servers);
  void compareVersion(const Common::DaemonId &From,
                      Common::ConfigurationVersion Theirs);
  void sendTo(const std::vector<Membership::Peer> &Targets,
              const Membership::Datagram &Message);
  Membership::AgedAnnouncement
  heard(const Membership::BackendRegistry::Entry &Each) const;

  EntryContext &Context;
  Membership::PeerTable &Peers;
  Lanes &Services;
  Handlers Handle;
  std::unique_ptr<Network::DatagramSocket> Socket;
  std::uint64_t Sequence = 0;
  /// Announced here since the last digest.
  std::vector<Common::BackendServerId> Fresh;
  bool Leaving = false;
  Common::TimePoint LastTick;
  Common::TimePoint IgnoreUntil;
  /// Reclaimed hosts and how often each is still to be told.
  std::map<Common::HostId, int> Reclaims;
  Network::EventHandle DigestTimer;
  Network::EventHandle SummaryTimer;
};

} // namespace EntryDaemon

#endif
