#include "Membership/BackendRegistry.h"

#include <algorithm>
#include <tuple>

namespace Membership {

namespace {

/// Whether Said is newer than Known. At the same number, leaving wins.
bool isNewer(const Announcement &Said, const Announcement &Known) {
  const auto Order = [](const Announcement &Each) {
    return std::make_tuple(Each.Life.Value, Each.Sequence,
                           Each.State == ServerState::Leaving);
  };
  return Order(Said) > Order(Known);
}

} // namespace

BackendRegistry::Change BackendRegistry::learn(const Announcement &Said,
                                               Common::TimePoint HeardAt,
                                               bool Direct) {
  const auto Found = this->Entries.find(Said.BackendServer);
  if (Found == this->Entries.end()) {
    Entry &Added = this->Entries[Said.BackendServer];
    Added = Entry{Said, HeardAt, Direct};
    if (this->reclaimed(Said.Host, HeardAt))
      Added.Latest.State = ServerState::Leaving;
    return Change::Appeared;
  }
  Entry &Known = Found->second;
  if (!isNewer(Said, Known.Latest))
    return Change::Nothing;
  const bool Restarted = Said.Life > Known.Latest.Life;
  const bool WasLeaving = Known.Latest.State == ServerState::Leaving;
  Known.Latest = Said;
  Known.HeardAt = std::max(Known.HeardAt, HeardAt);
  Known.Direct = Direct;
  if (this->reclaimed(Said.Host, HeardAt))
    Known.Latest.State = ServerState::Leaving;
  if (Restarted)
    return Change::Restarted;
  // Within one life there is no way back from leaving.
  if (WasLeaving)
    Known.Latest.State = ServerState::Leaving;
  const bool Leaves = Known.Latest.State == ServerState::Leaving;
  return Leaves && !WasLeaving ? Change::BecameLeaving : Change::Refreshed;
}

BackendRegistry::Change
BackendRegistry::markLeaving(const Common::BackendServerId &Id) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() ||
      Found->second.Latest.State == ServerState::Leaving)
    return Change::Nothing;
  Found->second.Latest.State = ServerState::Leaving;
  return Change::BecameLeaving;
}

std::vector<Common::BackendServerId>
BackendRegistry::markHostLeaving(const Common::HostId &Host,
                                 Common::TimePoint Now) {
  this->ReclaimedAt[Host] = Now;
  std::vector<Common::BackendServerId> Marked;
  for (auto &[Id, Each] : this->Entries)
    if (Each.Latest.Host == Host &&
        this->markLeaving(Id) == Change::BecameLeaving)
      Marked.push_back(Id);
  return Marked;
}

bool BackendRegistry::reclaimed(const Common::HostId &Host,
                                Common::TimePoint Now) const {
  const auto Found = this->ReclaimedAt.find(Host);
  return Found != this->ReclaimedAt.end() &&
         Now - Found->second < ReclaimMemory;
}

bool BackendRegistry::usable(const Entry &Each, Common::TimePoint Now) const {
  return Each.Latest.State == ServerState::Serving &&
         Now - Each.HeardAt < LeaseLength;
}

const BackendRegistry::Entry *
BackendRegistry::find(const Common::BackendServerId &Id) const {
  const auto Found = this->Entries.find(Id);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

void BackendRegistry::forgetOld(Common::TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Each) {
    return Now - Each.second.HeardAt > Memory;
  });
  std::erase_if(this->ReclaimedAt, [&](const auto &Each) {
    return Now - Each.second > ReclaimMemory;
  });
}

void BackendRegistry::expireAll(Common::TimePoint Now) {
  for (auto &Each : this->Entries)
    Each.second.HeardAt = std::min(Each.second.HeardAt, Now - LeaseLength);
}

} // namespace Membership
