#include "EntryDaemon/Gossip.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>
#include <map>

namespace EntryDaemon {

namespace {

constexpr Common::Duration DigestPeriod = std::chrono::milliseconds(250);
constexpr Common::Duration SummaryPeriod = std::chrono::seconds(1);
/// Number of notices sent for each reclaimed host.
constexpr int ReclaimNotices = 3;
/// Number of servers of one service that a summary lists.
constexpr std::size_t MaxSummaryServersPerService = 8;
/// A timer delayed by more than this means that the process was suspended, for
/// example by SIGSTOP, and that the age of the datagrams in its socket buffers
/// is unknown.
constexpr Common::Duration StallThreshold = std::chrono::seconds(1);
/// How long received datagrams are discarded after a suspension.
constexpr Common::Duration DiscardPeriod = std::chrono::milliseconds(50);

} // namespace

Gossip::Gossip(EntryContext &Context, Membership::PeerTable &Peers,
               ServiceDispatchers &Dispatchers, Handlers Callbacks)
    : Context(Context), Peers(Peers), Dispatchers(Dispatchers),
      Callbacks(std::move(Callbacks)), LastPeriodicRun(Context.Loop.now()) {}

absl::StatusOr<std::unique_ptr<Gossip>>
Gossip::create(EntryContext &Context, Membership::PeerTable &Peers,
               ServiceDispatchers &Dispatchers, Handlers Callbacks) {
  std::unique_ptr<Gossip> Result(
      new Gossip(Context, Peers, Dispatchers, std::move(Callbacks)));
  Gossip *Self = Result.get();
  Network::DatagramSocket::Handlers SocketHandlers;
  SocketHandlers.OnPayload = [Self](const std::string &Payload) {
    Self->handleDatagram(Payload);
  };
  SocketHandlers.OnRefused = [Self](Common::RefusalReason Reason) {
    Self->Context.Metrics.recordRefusal(Reason);
  };
  auto Socket = Network::DatagramSocket::create(
      Context.Loop, Context.Settings.Peer, Context.Settings.Key,
      std::move(SocketHandlers));
  if (!Socket.ok())
    return Socket.status();
  Result->Socket = std::move(*Socket);
  Result->DigestTimer = Context.Loop.callEvery(
      DigestPeriod, [Self] { Self->runPeriodicTasks(); });
  Result->SummaryTimer =
      Context.Loop.callEvery(SummaryPeriod, [Self] { Self->sendSummary(); });
  return Result;
}

void Gossip::runPeriodicTasks() {
  const Common::TimePoint Now = this->Context.Loop.now();
  if (Now - this->LastPeriodicRun > StallThreshold) {
    Telemetry::log(Telemetry::Events::ProcessWasStopped);
    this->Context.Registry.expireAllLeases(Now);
    this->DiscardUntil = Now + DiscardPeriod;
  }
  this->LastPeriodicRun = Now;
  this->sendDigest();
  this->sendReclaimNotices();
  this->Context.Registry.removeExpired(Now);
  for (const Membership::DaemonIncarnation &Failed :
       this->Peers.takeNewlyDead(Now))
    this->Callbacks.OnPeerFailed(Failed);
}

Membership::AgedAnnouncement Gossip::announcementWithAge(
    const Membership::BackendRegistry::Entry &Each) const {
  const auto Age = this->Context.Loop.now() - Each.HeardAt;
  Membership::AgedAnnouncement Result;
  Result.Announced = Each.Latest;
  Result.AgeMicros =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Age.count(), 0));
  return Result;
}

void Gossip::sendDigest() {
  Membership::Digest Digest;
  Digest.From = this->Context.Settings.Name;
  Digest.DataCentre = this->Context.Settings.DataCentre;
  Digest.Incarnation = this->Context.Self.Incarnation;
  Digest.Sequence = ++this->Sequence;
  Digest.Configuration = this->Context.Declared.version();
  Digest.Leaving = this->Leaving;
  for (const Common::BackendServerId &Id : this->NewlyAnnounced)
    if (const auto *Each = this->Context.Registry.find(Id))
      Digest.Servers.push_back(this->announcementWithAge(*Each));
  this->NewlyAnnounced.clear();
  this->forwardToHomeDataCentres(Digest.Servers);
  Digest.Demands = this->Dispatchers.demands();
  Digest.CallerUsages = this->Dispatchers.takeTopCallerUsage();
  this->sendTo(this->Peers.local(), Digest);
}

void Gossip::forwardToHomeDataCentres(
    const std::vector<Membership::AgedAnnouncement> &Announced) {
  // A server may announce itself to a daemon of another data centre.
  for (const Membership::AgedAnnouncement &Each : Announced) {
    const Common::DataCentreId &HomeDataCentre = Each.Announced.DataCentre;
    if (HomeDataCentre == this->Context.Settings.DataCentre)
      continue;
    Membership::Summary Forwarded;
    Forwarded.From = this->Context.Settings.Name;
    Forwarded.DataCentre = this->Context.Settings.DataCentre;
    Forwarded.Servers = {Each};
    std::vector<Membership::Peer> Targets;
    for (const Membership::Peer &Peer : this->Peers.remote())
      if (Peer.DataCentre == HomeDataCentre)
        Targets.push_back(Peer);
    this->sendTo(Targets, Forwarded);
  }
}

std::vector<Membership::AgedAnnouncement> Gossip::selectSummaryServers() const {
  using Entry = Membership::BackendRegistry::Entry;
  const Common::TimePoint Now = this->Context.Loop.now();
  std::map<Common::ServiceName, std::vector<const Entry *>> UsableServers;
  for (const auto &[Id, Each] : this->Context.Registry.entries()) {
    const bool Local =
        Each.Latest.DataCentre == this->Context.Settings.DataCentre;
    if (Local && this->Context.Registry.isUsable(Each, Now))
      UsableServers[Each.Latest.Service].push_back(&Each);
  }
  const auto FreeSlots = [](const Entry *Server) {
    const auto &Load = Server->Latest.Load;
    return double(Server->Latest.Capacity.Slots) -
           double(Load.Running + Load.Queued);
  };
  std::vector<Membership::AgedAnnouncement> Result;
  for (auto &[Service, Servers] : UsableServers) {
    std::sort(Servers.begin(), Servers.end(),
              [&](const Entry *First, const Entry *Second) {
                return FreeSlots(First) > FreeSlots(Second);
              });
    if (Servers.size() > MaxSummaryServersPerService)
      Servers.resize(MaxSummaryServersPerService);
    for (const Entry *Each : Servers)
      Result.push_back(this->announcementWithAge(*Each));
  }
  return Result;
}

void Gossip::sendSummary() {
  const Common::TimePoint Now = this->Context.Loop.now();
  if (!this->Peers.isRelay(Now))
    return;
  Membership::Summary Summary;
  Summary.From = this->Context.Settings.Name;
  Summary.DataCentre = this->Context.Settings.DataCentre;
  Summary.Configuration = this->Context.Declared.version();
  Summary.LiveDaemons = this->Peers.liveLocalPeers(Now);
  Summary.LiveDaemons.push_back(
      {this->Context.Settings.Name, this->Context.Self.Incarnation});
  Summary.Servers = this->selectSummaryServers();
  this->sendTo(this->Peers.remote(), Summary);
}

void Gossip::serverAnnounced(const Membership::Announcement &Announced) {
  if (std::find(this->NewlyAnnounced.begin(), this->NewlyAnnounced.end(),
                Announced.BackendServer) == this->NewlyAnnounced.end())
    this->NewlyAnnounced.push_back(Announced.BackendServer);
}

void Gossip::sendLeavingNotice(
    const std::vector<Common::BackendServerId> &Servers) {
  Membership::LeavingNotice Notice;
  for (const Common::BackendServerId &Id : Servers)
    if (const auto *Each = this->Context.Registry.find(Id)) {
      Notice.Servers.push_back(this->announcementWithAge(*Each));
      // The next digest repeats the state in case this notice is lost.
      this->serverAnnounced(Each->Latest);
    }
  if (Notice.Servers.empty())
    return;
  this->sendTo(this->Peers.local(), Notice);
  this->sendTo(this->Peers.remote(), Notice);
}

void Gossip::sendReclaimNotice(const Common::HostId &Host) {
  this->ReclaimedHosts[Host] = ReclaimNotices;
  this->sendReclaimNotices();
}

void Gossip::sendReclaimNotices() {
  if (this->ReclaimedHosts.empty())
    return;
  Membership::LeavingNotice Notice;
  for (auto &[Host, Remaining] : this->ReclaimedHosts) {
    Notice.Hosts.push_back(Host);
    --Remaining;
  }
  std::erase_if(this->ReclaimedHosts,
                [](const auto &Each) { return Each.second <= 0; });
  this->sendTo(this->Peers.local(), Notice);
  this->sendTo(this->Peers.remote(), Notice);
}

void Gossip::sendCrashNotice(const Membership::CrashNotice &Notice) {
  this->sendTo(this->Peers.local(), Notice);
  this->sendTo(this->Peers.remote(), Notice);
}

void Gossip::sendSurvivalNotice(const Membership::SurvivalNotice &Notice) {
  this->sendTo(this->Peers.local(), Notice);
  this->sendTo(this->Peers.remote(), Notice);
}

void Gossip::sendConfigurationNotice() {
  this->sendTo(this->Peers.local(), Membership::ConfigurationNotice{
                                        this->Context.Settings.Name,
                                        this->Context.Declared.version()});
}

void Gossip::sendTo(const std::vector<Membership::Peer> &Targets,
                    const Membership::Datagram &Message) {
  const std::string Payload = Network::encode(Message);
  for (const Membership::Peer &Each : Targets)
    this->Socket->send(Each.Address, Payload);
  this->Context.Metrics.incrementCounter("gossip_messages_sent_total",
                                         Targets.size());
  this->Context.Metrics.incrementCounter(
      "gossip_bytes_sent_total",
      Targets.size() * (Payload.size() + Network::FrameCodec::HeaderBytes));
}

void Gossip::handleDatagram(const std::string &Payload) {
  const auto Message = Network::decode<Membership::Datagram>(Payload);
  if (!Message.ok()) {
    this->Context.Metrics.recordRefusal(
        Common::RefusalReason::UndecodableFrame);
    return;
  }
  const Common::TimePoint Now = this->Context.Loop.now();
  const bool Stalled = Now - this->LastPeriodicRun > StallThreshold;
  if (Stalled || Now < this->DiscardUntil)
    return;
  std::visit([this](const auto &Body) { this->handle(Body); }, *Message);
}

void Gossip::updateRegistry(
    const std::vector<Membership::AgedAnnouncement> &Servers) {
  const Common::TimePoint Now = this->Context.Loop.now();
  for (const Membership::AgedAnnouncement &Each : Servers) {
    const auto Age =
        Common::Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(
            Each.AgeMicros,
            Membership::BackendRegistry::RetentionTime.count())));
    this->Context.Registry.update(Each.Announced, Now - Age, false);
  }
}

void Gossip::checkConfigurationVersion(
    const Common::DaemonId &From, Common::ConfigurationVersion PeerVersion) {
  if (PeerVersion > this->Context.Declared.version())
    this->Callbacks.OnNewerConfiguration(From);
}

void Gossip::handle(const Membership::Digest &Message) {
  if (!this->Peers.update(Message, this->Context.Loop.now()))
    return;
  this->updateRegistry(Message.Servers);
  for (const Membership::CallerUsage &Use : Message.CallerUsages)
    this->Dispatchers.chargeRemoteUsage(Use);
  this->checkConfigurationVersion(Message.From, Message.Configuration);
}

void Gossip::handle(const Membership::Summary &Message) {
  this->Peers.update(Message, this->Context.Loop.now());
  this->updateRegistry(Message.Servers);
}

void Gossip::handle(const Membership::LeavingNotice &Message) {
  this->updateRegistry(Message.Servers);
  for (const Common::HostId &Host : Message.Hosts)
    this->Context.Registry.markHostLeaving(Host, this->Context.Loop.now());
  for (const Membership::AgedAnnouncement &Each : Message.Servers) {
    const auto *Server =
        this->Context.Registry.find(Each.Announced.BackendServer);
    if (Server && Server->Latest.Incarnation == Each.Announced.Incarnation)
      this->Context.Registry.markLeaving(Each.Announced.BackendServer);
  }
  this->Dispatchers.refresh();
}

void Gossip::handle(const Membership::CrashNotice &Message) {
  this->Dispatchers.onServerFailed(Message);
}

void Gossip::handle(const Membership::SurvivalNotice &Message) {
  this->Dispatchers.onSurvivals(Message);
}

void Gossip::handle(const Membership::ConfigurationNotice &Message) {
  this->checkConfigurationVersion(Message.From, Message.Version);
}

} // namespace EntryDaemon
