#include "Membership/PeerTable.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <limits>

namespace Membership {

namespace {

constexpr Common::Incarnation MaxIncarnation{
    std::numeric_limits<std::uint64_t>::max()};

} // namespace

absl::StatusOr<Peer> Peer::create(const std::string &Text) {
  const std::vector<std::string> Parts = absl::StrSplit(Text, '@');
  if (Parts.size() != 3 || Parts[0].empty() || Parts[2].empty())
    return absl::InvalidArgumentError(absl::StrCat(
        "'", Text,
        "' is not an entry daemon; expected NAME@IP:PORT@DATACENTRE"));
  auto Address = Network::Address::create(Parts[1]);
  if (!Address.ok())
    return Address.status();
  return Peer{Common::DaemonId(Parts[0]), Common::DataCentreId(Parts[2]),
              *Address};
}

PeerTable::PeerTable(Common::DaemonId Self, std::vector<Peer> All,
                     Common::TimePoint Now)
    : Self(std::move(Self)) {
  Common::DataCentreId LocalDataCentre;
  for (const Peer &Each : All)
    if (Each.Daemon == this->Self)
      LocalDataCentre = Each.DataCentre;
  for (Peer &Each : All) {
    if (Each.Daemon == this->Self)
      continue;
    const bool IsLocal = Each.DataCentre == LocalDataCentre;
    this->States[Each.Daemon].HeardAt = Now;
    (IsLocal ? this->Local : this->Remote).push_back(std::move(Each));
  }
}

bool PeerTable::update(const Digest &Received, Common::TimePoint Now) {
  PeerState &State = this->States[Received.From];
  if (Received.Incarnation < State.Incarnation ||
      (Received.Incarnation == State.Incarnation &&
       Received.Sequence <= State.Sequence))
    return false;
  State.Incarnation = Received.Incarnation;
  State.Sequence = Received.Sequence;
  State.HeardAt = Now;
  State.Leaving = Received.Leaving;
  State.DeathReported = false;
  State.Demand.clear();
  for (const ServiceDemand &Each : Received.Demands)
    State.Demand[Each.Service] = Each.Requests;
  return true;
}

void PeerTable::update(const Summary &Received, Common::TimePoint Now) {
  for (const DaemonIncarnation &Each : Received.LiveDaemons) {
    PeerState &State = this->States[Each.Daemon];
    if (Each.Incarnation < State.Incarnation)
      continue;
    State.Incarnation = Each.Incarnation;
    State.HeardAt = Now;
    State.DeathReported = false;
  }
}

std::vector<DaemonIncarnation>
PeerTable::liveLocalPeers(Common::TimePoint Now) const {
  std::vector<DaemonIncarnation> Result;
  for (const Peer &Each : this->Local)
    if (this->isLive(Each.Daemon, Now))
      Result.push_back({Each.Daemon, this->States.at(Each.Daemon).Incarnation});
  return Result;
}

bool PeerTable::isLive(const Common::DaemonId &Daemon,
                       Common::TimePoint Now) const {
  const auto Found = this->States.find(Daemon);
  return Found != this->States.end() && Found->second.Incarnation.Value != 0 &&
         Now - Found->second.HeardAt < DeadTimeout;
}

bool PeerTable::isRelay(Common::TimePoint Now) const {
  return std::none_of(
      this->Local.begin(), this->Local.end(), [&](const Peer &Each) {
        return Each.Daemon < this->Self && this->isLive(Each.Daemon, Now);
      });
}

std::vector<DaemonIncarnation> PeerTable::takeNewlyDead(Common::TimePoint Now) {
  std::vector<DaemonIncarnation> Result;
  for (auto &[Daemon, State] : this->States) {
    if (State.DeathReported || Now - State.HeardAt < DeadTimeout)
      continue;
    State.DeathReported = true;
    const bool NeverHeard = State.Incarnation.Value == 0;
    Result.push_back({Daemon, NeverHeard ? MaxIncarnation : State.Incarnation});
  }
  return Result;
}

double PeerTable::share(const Common::ServiceName &Service,
                        std::uint64_t LocalDemand,
                        Common::TimePoint Now) const {
  // At least 1, so that an idle daemon keeps a share.
  std::uint64_t TotalDemand = std::max<std::uint64_t>(LocalDemand, 1);
  const std::uint64_t OwnDemand = TotalDemand;
  bool AllFresh = true;
  std::size_t DaemonCount = 1;
  for (const Peer &Each : this->Local) {
    const auto Found = this->States.find(Each.Daemon);
    if (Found == this->States.end() || !this->isLive(Each.Daemon, Now) ||
        Found->second.Leaving)
      continue;
    ++DaemonCount;
    AllFresh = AllFresh && Now - Found->second.HeardAt < MaxDemandAge;
    const auto Demand = Found->second.Demand.find(Service);
    if (Demand != Found->second.Demand.end())
      TotalDemand += Demand->second;
  }
  if (!AllFresh)
    return 1.0 / static_cast<double>(DaemonCount);
  return static_cast<double>(OwnDemand) / static_cast<double>(TotalDemand);
}

const Peer *PeerTable::find(const Common::DaemonId &Daemon) const {
  for (const std::vector<Peer> *List : {&this->Local, &this->Remote})
    for (const Peer &Each : *List)
      if (Each.Daemon == Daemon)
        return &Each;
  return nullptr;
}

} // namespace Membership
