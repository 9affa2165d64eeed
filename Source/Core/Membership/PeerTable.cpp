#include "Membership/PeerTable.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <limits>

namespace Membership {

namespace {

constexpr Common::Incarnation HighestLife{
    std::numeric_limits<std::uint64_t>::max()};

} // namespace

absl::StatusOr<Peer> Peer::create(const std::string &Text) {
  const std::vector<std::string> Parts = absl::StrSplit(Text, '@');
  if (Parts.size() != 3 || Parts[0].empty() || Parts[2].empty())
    return absl::InvalidArgumentError(absl::StrCat(
        "'", Text, "' is no entry daemon; write NAME@IP:PORT@DATACENTRE"));
  auto Address = Network::Address::create(Parts[1]);
  if (!Address.ok())
    return Address.status();
  return Peer{Common::DaemonId(Parts[0]), Common::DataCentreId(Parts[2]),
              *Address};
}

PeerTable::PeerTable(Common::DaemonId Self, std::vector<Peer> All,
                     Common::TimePoint Now)
    : Self(std::move(Self)) {
  Common::DataCentreId Own;
  for (const Peer &Each : All)
    if (Each.Daemon == this->Self)
      Own = Each.DataCentre;
  for (Peer &Each : All) {
    if (Each.Daemon == this->Self)
      continue;
    const bool IsLocal = Each.DataCentre == Own;
    this->Heard[Each.Daemon].HeardAt = Now;
    (IsLocal ? this->Local : this->Remote).push_back(std::move(Each));
  }
}

bool PeerTable::learn(const Digest &Said, Common::TimePoint Now) {
  Seen &Known = this->Heard[Said.From];
  if (Said.Life < Known.Life ||
      (Said.Life == Known.Life && Said.Sequence <= Known.Sequence))
    return false;
  Known.Life = Said.Life;
  Known.Sequence = Said.Sequence;
  Known.HeardAt = Now;
  Known.Leaving = Said.Leaving;
  Known.DeathReported = false;
  Known.Demand.clear();
  for (const ServiceDemand &Each : Said.Demands)
    Known.Demand[Each.Service] = Each.Requests;
  return true;
}

void PeerTable::learn(const Summary &Said, Common::TimePoint Now) {
  for (const LivingDaemon &Each : Said.Living) {
    Seen &Known = this->Heard[Each.Daemon];
    if (Each.Life < Known.Life)
      continue;
    Known.Life = Each.Life;
    Known.HeardAt = Now;
    Known.DeathReported = false;
  }
}

std::vector<LivingDaemon> PeerTable::livingLocal(Common::TimePoint Now) const {
  std::vector<LivingDaemon> Result;
  for (const Peer &Each : this->Local)
    if (this->living(Each.Daemon, Now))
      Result.push_back({Each.Daemon, this->Heard.at(Each.Daemon).Life});
  return Result;
}

bool PeerTable::living(const Common::DaemonId &Daemon,
                       Common::TimePoint Now) const {
  const auto Found = this->Heard.find(Daemon);
  return Found != this->Heard.end() && Found->second.Life.Value != 0 &&
         Now - Found->second.HeardAt < DeadAfter;
}

bool PeerTable::isRelay(Common::TimePoint Now) const {
  return std::none_of(
      this->Local.begin(), this->Local.end(), [&](const Peer &Each) {
        return Each.Daemon < this->Self && this->living(Each.Daemon, Now);
      });
}

std::vector<LivingDaemon> PeerTable::newlyDead(Common::TimePoint Now) {
  std::vector<LivingDaemon> Result;
  for (auto &[Daemon, Known] : this->Heard) {
    if (Known.DeathReported || Now - Known.HeardAt < DeadAfter)
      continue;
    Known.DeathReported = true;
    const bool NeverHeard = Known.Life.Value == 0;
    Result.push_back({Daemon, NeverHeard ? HighestLife : Known.Life});
  }
  return Result;
}

double PeerTable::share(const Common::ServiceName &Service,
                        std::uint64_t OwnDemand, Common::TimePoint Now) const {
  std::uint64_t Total = std::max<std::uint64_t>(OwnDemand, 1);
  const std::uint64_t Own = Total;
  bool Fresh = true;
  std::size_t Sharers = 1;
  for (const Peer &Each : this->Local) {
    const auto Found = this->Heard.find(Each.Daemon);
    if (Found == this->Heard.end() || !this->living(Each.Daemon, Now) ||
        Found->second.Leaving)
      continue;
    ++Sharers;
    Fresh = Fresh && Now - Found->second.HeardAt < DemandFreshFor;
    const auto Demand = Found->second.Demand.find(Service);
    if (Demand != Found->second.Demand.end())
      Total += Demand->second;
  }
  if (!Fresh)
    return 1.0 / static_cast<double>(Sharers);
  return static_cast<double>(Own) / static_cast<double>(Total);
}

const Peer *PeerTable::find(const Common::DaemonId &Daemon) const {
  for (const std::vector<Peer> *List : {&this->Local, &this->Remote})
    for (const Peer &Each : *List)
      if (Each.Daemon == Daemon)
        return &Each;
  return nullptr;
}

} // namespace Membership
