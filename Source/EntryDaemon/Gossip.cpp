#include "EntryDaemon/Gossip.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>
#include <map>

namespace EntryDaemon {

namespace {

constexpr Common::Duration DigestPeriod = std::chrono::milliseconds(250);
constexpr Common::Duration SummaryPeriod = std::chrono::seconds(1);
/// Times that a reclaim is told.
constexpr int ReclaimRepeats = 3;
/// Servers of one service that a summary names.
constexpr std::size_t SummaryServers = 8;
/// A timer that is later than this shows that the process was stopped; the
/// age of what waits in its sockets is unknown.
constexpr Common::Duration StoppedAfter = std::chrono::seconds(1);
/// Time to empty the socket of old datagrams.
constexpr Common::Duration IgnoreFor = std::chrono::milliseconds(50);

} // namespace

Gossip::Gossip(EntryContext &Context, Membership::PeerTable &Peers,
               Lanes &Services, Handlers Handle)
    : Context(Context), Peers(Peers), Services(Services),
      Handle(std::move(Handle)), LastTick(Context.Loop.now()) {}

absl::StatusOr<std::unique_ptr<Gossip>>
Gossip::create(EntryContext &Context, Membership::PeerTable &Peers,
               Lanes &Services, Handlers Handle) {
  std::unique_ptr<Gossip> Result(
      new Gossip(Context, Peers, Services, std::move(Handle)));
  Gossip *Self = Result.get();
  Network::DatagramSocket::Handlers SocketHandlers;
  SocketHandlers.OnPayload = [Self](const std::string &Payload) {
    Self->received(Payload);
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
  Result->DigestTimer =
      Context.Loop.callEvery(DigestPeriod, [Self] { Self->tick(); });
  Result->SummaryTimer =
      Context.Loop.callEvery(SummaryPeriod, [Self] { Self->sendSummary(); });
  return Result;
}

void Gossip::tick() {
  const Common::TimePoint Now = this->Context.Loop.now();
  if (Now - this->LastTick > StoppedAfter) {
    Telemetry::log(Telemetry::Events::ProcessWasStopped);
    this->Context.Registry.expireAll(Now);
    this->IgnoreUntil = Now + IgnoreFor;
  }
  this->LastTick = Now;
  this->sendDigest();
  this->repeatReclaims();
  this->Context.Registry.forgetOld(Now);
  for (const Membership::LivingDaemon &Dead : this->Peers.newlyDead(Now))
    this->Handle.OnDeath(Dead);
}

Membership::HeardServer
Gossip::heard(const Membership::BackendRegistry::Entry &Each) const {
  const auto Age = this->Context.Loop.now() - Each.HeardAt;
  Membership::HeardServer Result;
  Result.Said = Each.Latest;
  Result.AgeMicros =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Age.count(), 0));
  return Result;
}

void Gossip::sendDigest() {
  Membership::Digest Digest;
  Digest.From = this->Context.Settings.Name;
  Digest.DataCentre = this->Context.Settings.DataCentre;
  Digest.Life = this->Context.Self.Life;
  Digest.Sequence = ++this->Sequence;
  Digest.Configuration = this->Context.Declared.version();
  Digest.Leaving = this->Leaving;
  for (const Common::BackendServerId &Id : this->Fresh)
    if (const auto *Each = this->Context.Registry.find(Id))
      Digest.Servers.push_back(this->heard(*Each));
  this->Fresh.clear();
  this->forward(Digest.Servers);
  Digest.Demands = this->Services.demands();
  Digest.Uses = this->Services.takeHeaviestUses();
  this->sendTo(this->Peers.local(), Digest);
}

void Gossip::forward(const std::vector<Membership::HeardServer> &Heard) {
  // A server may announce itself in a data centre that is not its own.
  for (const Membership::HeardServer &Each : Heard) {
    const Common::DataCentreId &Home = Each.Said.DataCentre;
    if (Home == this->Context.Settings.DataCentre)
      continue;
    Membership::Summary Note;
    Note.From = this->Context.Settings.Name;
    Note.DataCentre = this->Context.Settings.DataCentre;
    Note.Servers = {Each};
    std::vector<Membership::Peer> Targets;
    for (const Membership::Peer &Peer : this->Peers.remote())
      if (Peer.DataCentre == Home)
        Targets.push_back(Peer);
    this->sendTo(Targets, Note);
  }
}

std::vector<Membership::HeardServer> Gossip::summarize() const {
  using Entry = Membership::BackendRegistry::Entry;
  const Common::TimePoint Now = this->Context.Loop.now();
  std::map<Common::ServiceName, std::vector<const Entry *>> Free;
  for (const auto &[Id, Each] : this->Context.Registry.entries()) {
    const bool Local =
        Each.Latest.DataCentre == this->Context.Settings.DataCentre;
    if (Local && this->Context.Registry.usable(Each, Now))
      Free[Each.Latest.Service].push_back(&Each);
  }
  const auto Room = [](const Entry *Each) {
    const auto &Load = Each->Latest.Load;
    return double(Each->Latest.Capacity.Slots) -
           double(Load.Running + Load.Queued);
  };
  std::vector<Membership::HeardServer> Result;
  for (auto &[Service, Servers] : Free) {
    std::sort(Servers.begin(), Servers.end(),
              [&](const Entry *Left, const Entry *Right) {
                return Room(Left) > Room(Right);
              });
    if (Servers.size() > SummaryServers)
      Servers.resize(SummaryServers);
    for (const Entry *Each : Servers)
      Result.push_back(this->heard(*Each));
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
  Summary.Living = this->Peers.livingLocal(Now);
  Summary.Living.push_back(
      {this->Context.Settings.Name, this->Context.Self.Life});
  Summary.Servers = this->summarize();
  this->sendTo(this->Peers.remote(), Summary);
}

void Gossip::announced(const Membership::Announcement &Said) {
  if (std::find(this->Fresh.begin(), this->Fresh.end(), Said.BackendServer) ==
      this->Fresh.end())
    this->Fresh.push_back(Said.BackendServer);
}

void Gossip::tellLeaving(const std::vector<Common::BackendServerId> &Servers) {
  Membership::LeavingNotice Notice;
  for (const Common::BackendServerId &Id : Servers)
    if (const auto *Each = this->Context.Registry.find(Id)) {
      Notice.Servers.push_back(this->heard(*Each));
      // Repeated by the next digest, should this notice be lost.
      this->announced(Each->Latest);
    }
  if (Notice.Servers.empty())
    return;
  this->sendTo(this->Peers.local(), Notice);
  this->sendTo(this->Peers.remote(), Notice);
}

void Gossip::tellReclaim(const Common::HostId &Host) {
  this->Reclaims[Host] = ReclaimRepeats;
  this->repeatReclaims();
}

void Gossip::repeatReclaims() {
  if (this->Reclaims.empty())
    return;
  Membership::LeavingNotice Notice;
  for (auto &[Host, Left] : this->Reclaims) {
    Notice.Hosts.push_back(Host);
    --Left;
  }
  std::erase_if(this->Reclaims,
                [](const auto &Each) { return Each.second <= 0; });
  this->sendTo(this->Peers.local(), Notice);
  this->sendTo(this->Peers.remote(), Notice);
}

void Gossip::tellCrash(const Membership::CrashNotice &Notice) {
  this->sendTo(this->Peers.local(), Notice);
  this->sendTo(this->Peers.remote(), Notice);
}

void Gossip::tellConfiguration() {
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

void Gossip::received(const std::string &Payload) {
  const auto Message = Network::decode<Membership::Datagram>(Payload);
  if (!Message.ok()) {
    this->Context.Metrics.recordRefusal(
        Common::RefusalReason::UndecodableFrame);
    return;
  }
  const Common::TimePoint Now = this->Context.Loop.now();
  const bool WasStopped = Now - this->LastTick > StoppedAfter;
  if (WasStopped || Now < this->IgnoreUntil)
    return;
  std::visit([this](const auto &Said) { this->take(Said); }, *Message);
}

void Gossip::learn(const std::vector<Membership::HeardServer> &Servers) {
  const Common::TimePoint Now = this->Context.Loop.now();
  for (const Membership::HeardServer &Each : Servers) {
    const auto Age =
        Common::Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(
            Each.AgeMicros, Membership::BackendRegistry::Memory.count())));
    this->Context.Registry.learn(Each.Said, Now - Age, false);
  }
}

void Gossip::compareVersion(const Common::DaemonId &From,
                            Common::ConfigurationVersion Theirs) {
  if (Theirs > this->Context.Declared.version())
    this->Handle.OnNewerConfiguration(From);
}

void Gossip::take(const Membership::Digest &Said) {
  if (!this->Peers.learn(Said, this->Context.Loop.now()))
    return;
  this->learn(Said.Servers);
  for (const Membership::CallerUse &Use : Said.Uses)
    this->Services.learnUse(Use);
  this->compareVersion(Said.From, Said.Configuration);
}

void Gossip::take(const Membership::Summary &Said) {
  this->Peers.learn(Said, this->Context.Loop.now());
  this->learn(Said.Servers);
}

void Gossip::take(const Membership::LeavingNotice &Said) {
  this->learn(Said.Servers);
  for (const Common::HostId &Host : Said.Hosts)
    this->Context.Registry.markHostLeaving(Host, this->Context.Loop.now());
  for (const Membership::HeardServer &Each : Said.Servers) {
    const auto *Known = this->Context.Registry.find(Each.Said.BackendServer);
    if (Known && Known->Latest.Life == Each.Said.Life)
      this->Context.Registry.markLeaving(Each.Said.BackendServer);
  }
  this->Services.refresh();
}

void Gossip::take(const Membership::CrashNotice &Said) {
  this->Services.learn(Said);
}

void Gossip::take(const Membership::ConfigurationNotice &Said) {
  this->compareVersion(Said.From, Said.Version);
}

} // namespace EntryDaemon
