#include "Routing/ServerPool.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// Returns a fraction in [0, 1) that is constant for a server and a daemon.
double roundingOffset(const Common::BackendServerId &Id, std::uint64_t Salt) {
  constexpr std::uint64_t Steps = 1u << 20;
  return double(Common::hashBytes(Id.str(), Salt) % Steps) / double(Steps);
}

} // namespace

void ServerPool::update(const ServerStatus &Status) {
  const auto Found = this->Servers.find(Status.Id);
  if (Found == this->Servers.end()) {
    PooledServer Added;
    Added.Status = Status;
    Added.Window = DispatchWindow(Status.Capacity.Slots);
    Added.Cache = PrefixIndex(Status.Capacity.CacheBlocks);
    Added.ConcurrencyLimit = Status.Capacity.Slots;
    this->Servers.emplace(Status.Id, std::move(Added));
    return;
  }
  PooledServer &Known = Found->second;
  if (Status.Incarnation != Known.Status.Incarnation) {
    Known.Cache = PrefixIndex(Status.Capacity.CacheBlocks);
    Known.Window = DispatchWindow(Status.Capacity.Slots);
    Known.FailedAtSequence.reset();
    this->Conditions.record({Status.Id, Status.Incarnation});
    Known.AcceptsRequests = true;
  }
  const bool Recovered =
      Known.FailedAtSequence && Status.Sequence > *Known.FailedAtSequence;
  if (Recovered)
    Known.FailedAtSequence.reset();
  Known.Window.resize(Status.Capacity.Slots);
  Known.Status = Status;
}

void ServerPool::applyCacheEvents(
    const Common::BackendServerId &Id,
    const std::vector<Membership::CacheEvent> &Events) {
  if (PooledServer *Found = this->find(Id))
    Found->Cache.applyEvents(Events);
}

void ServerPool::setUsable(const Common::BackendServerId &Id, bool Usable) {
  if (PooledServer *Found = this->find(Id))
    Found->Status.Usable = Usable;
}

void ServerPool::markFailed(const Common::BackendServerId &Id) {
  if (PooledServer *Found = this->find(Id))
    Found->FailedAtSequence = Found->Status.Sequence;
}

void ServerPool::updateConditions(Common::TimePoint Now) {
  for (auto &[Id, Each] : this->Servers)
    Each.AcceptsRequests =
        this->Conditions.acceptsRequests(Each.incarnation(), Now);
  this->Conditions.removeExpired(Now,
                                 [this](const Common::BackendServerId &Id) {
                                   return this->Servers.count(Id) != 0;
                                 });
}

std::optional<Common::TimePoint>
ServerPool::restEnd(Common::TimePoint Now) const {
  std::vector<ServerIncarnation> Usable;
  for (const auto &Each : this->Servers)
    if (Each.second.Status.Usable && !Each.second.FailedAtSequence)
      Usable.push_back(Each.second.incarnation());
  return this->Conditions.restEnd(Usable, Now);
}

void ServerPool::removeUnused() {
  std::erase_if(this->Servers, [](const auto &Each) {
    return !Each.second.Status.Usable && Each.second.Running.empty();
  });
}

std::size_t ServerPool::concurrencyLimitOf(const PooledServer &Server,
                                           double Share,
                                           std::uint64_t Salt) const {
  double AvailableSlots = Server.Window.size();
  if (!Server.Status.Local) {
    // Of a server in another data centre, only the slots that are not in use
    // there are available.
    const double Busy =
        double(Server.Status.Load.Running + Server.Status.Load.Queued);
    AvailableSlots = std::max(0.0, AvailableSlots - Busy);
  }
  return static_cast<std::size_t>(AvailableSlots * Share +
                                  roundingOffset(Server.Status.Id, Salt) *
                                      (Share < 1));
}

void ServerPool::updateLimits(double Share, std::uint64_t DaemonSalt) {
  PooledServer *Fallback = nullptr;
  std::uint64_t FallbackHash = 0;
  std::size_t LocalLimit = 0;
  for (auto &[Id, Each] : this->Servers) {
    Each.ConcurrencyLimit = this->concurrencyLimitOf(Each, Share, DaemonSalt);
    if (!Each.isAvailable())
      continue;
    if (Each.Status.Local)
      LocalLimit += Each.ConcurrencyLimit;
    const std::uint64_t Hash = Common::hashBytes(Id.str(), DaemonSalt);
    if (Each.Status.Local && (!Fallback || Hash < FallbackHash)) {
      Fallback = &Each;
      FallbackHash = Hash;
    }
  }
  // However small its share, a daemon can always run at least one request.
  if (LocalLimit == 0 && Fallback)
    Fallback->ConcurrencyLimit = 1;
}

PooledServer *ServerPool::find(const Common::BackendServerId &Id) {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

const PooledServer *ServerPool::find(const Common::BackendServerId &Id) const {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

std::size_t ServerPool::totalConcurrencyLimit() const {
  std::size_t Total = 0;
  for (const auto &[Id, Each] : this->Servers)
    if (Each.isAvailable())
      Total += Each.ConcurrencyLimit;
  return Total;
}

bool ServerPool::anyUsable() const {
  return std::any_of(
      this->Servers.begin(), this->Servers.end(), [](const auto &Each) {
        return Each.second.Status.Usable && !Each.second.FailedAtSequence;
      });
}

} // namespace Routing
