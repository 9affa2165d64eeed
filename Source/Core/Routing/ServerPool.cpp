#include "Routing/ServerPool.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// A fraction in [0, 1) that is fixed for a server and a daemon.
double roundingOffset(const Common::BackendServerId &Id, std::uint64_t Salt) {
  constexpr std::uint64_t Steps = 1u << 20;
  return double(Common::hashBytes(Id.str(), Salt) % Steps) / double(Steps);
}

} // namespace

void ServerPool::learn(const ServerFacts &Facts) {
  const auto Found = this->Servers.find(Facts.Id);
  if (Found == this->Servers.end()) {
    PooledServer Added;
    Added.Facts = Facts;
    Added.Window = DispatchWindow(Facts.Capacity.Slots);
    Added.Cache = PrefixIndex(Facts.Capacity.CacheBlocks);
    Added.Allowance = Facts.Capacity.Slots;
    this->Servers.emplace(Facts.Id, std::move(Added));
    return;
  }
  PooledServer &Known = Found->second;
  if (Facts.Life != Known.Facts.Life) {
    Known.Cache = PrefixIndex(Facts.Capacity.CacheBlocks);
    Known.Window = DispatchWindow(Facts.Capacity.Slots);
    Known.FailedAtSequence.reset();
  }
  const bool CameBack =
      Known.FailedAtSequence && Facts.Sequence > *Known.FailedAtSequence;
  if (CameBack)
    Known.FailedAtSequence.reset();
  Known.Window.resize(Facts.Capacity.Slots);
  Known.Facts = Facts;
}

void ServerPool::learnCache(const Common::BackendServerId &Id,
                            const std::vector<Membership::CacheEvent> &Events) {
  if (PooledServer *Found = this->find(Id))
    Found->Cache.learn(Events);
}

void ServerPool::setUsable(const Common::BackendServerId &Id, bool Usable) {
  if (PooledServer *Found = this->find(Id))
    Found->Facts.Usable = Usable;
}

void ServerPool::failed(const Common::BackendServerId &Id) {
  if (PooledServer *Found = this->find(Id))
    Found->FailedAtSequence = Found->Facts.Sequence;
}

void ServerPool::removeUnused() {
  std::erase_if(this->Servers, [](const auto &Each) {
    return !Each.second.Facts.Usable && Each.second.Running.empty();
  });
}

std::size_t ServerPool::allowanceOf(const PooledServer &Each, double Part,
                                    std::uint64_t Salt) const {
  double Whole = Each.Window.size();
  if (!Each.Facts.Local) {
    // Another data centre's server: only what its own daemons leave free.
    const double Busy =
        double(Each.Facts.Load.Running + Each.Facts.Load.Queued);
    Whole = std::max(0.0, Whole - Busy);
  }
  return static_cast<std::size_t>(
      Whole * Part + roundingOffset(Each.Facts.Id, Salt) * (Part < 1));
}

void ServerPool::share(double Part, std::uint64_t DaemonSalt) {
  PooledServer *Nearest = nullptr;
  std::uint64_t NearestHash = 0;
  std::size_t LocalTotal = 0;
  for (auto &[Id, Each] : this->Servers) {
    Each.Allowance = this->allowanceOf(Each, Part, DaemonSalt);
    if (!Each.Facts.Usable || Each.FailedAtSequence)
      continue;
    if (Each.Facts.Local)
      LocalTotal += Each.Allowance;
    const std::uint64_t Hash = Common::hashBytes(Id.str(), DaemonSalt);
    if (Each.Facts.Local && (!Nearest || Hash < NearestHash)) {
      Nearest = &Each;
      NearestHash = Hash;
    }
  }
  // However small its part, a daemon can always run something.
  if (LocalTotal == 0 && Nearest)
    Nearest->Allowance = 1;
}

PooledServer *ServerPool::find(const Common::BackendServerId &Id) {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

const PooledServer *ServerPool::find(const Common::BackendServerId &Id) const {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

std::size_t ServerPool::totalAllowance() const {
  std::size_t Total = 0;
  for (const auto &[Id, Each] : this->Servers)
    if (Each.Facts.Usable && !Each.FailedAtSequence)
      Total += Each.Allowance;
  return Total;
}

bool ServerPool::anyUsable() const {
  return std::any_of(
      this->Servers.begin(), this->Servers.end(), [](const auto &Each) {
        return Each.second.Facts.Usable && !Each.second.FailedAtSequence;
      });
}

} // namespace Routing
