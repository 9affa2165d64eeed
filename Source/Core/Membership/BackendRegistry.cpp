#include "Membership/BackendRegistry.h"

#include <algorithm>
#include <tuple>

namespace Membership {

namespace {

/// Whether Received is newer than Stored. Leaving wins at the same incarnation
/// and sequence number.
bool isNewer(const Announcement &Received, const Announcement &Stored) {
  const auto Order = [](const Announcement &Each) {
    return std::make_tuple(Each.Incarnation.Value, Each.Sequence,
                           Each.State == ServerState::Leaving);
  };
  return Order(Received) > Order(Stored);
}

} // namespace

BackendRegistry::Change BackendRegistry::update(const Announcement &Received,
                                                Common::TimePoint HeardAt,
                                                bool Direct) {
  const auto Found = this->Entries.find(Received.BackendServer);
  if (Found == this->Entries.end()) {
    Entry &Added = this->Entries[Received.BackendServer];
    Added = Entry{Received, HeardAt, Direct};
    if (this->isReclaimed(Received.Host, HeardAt))
      Added.Latest.State = ServerState::Leaving;
    return Change::Appeared;
  }
  Entry &Stored = Found->second;
  if (!isNewer(Received, Stored.Latest))
    return Change::None;
  const bool HasRestarted = Received.Incarnation > Stored.Latest.Incarnation;
  const bool WasLeaving = Stored.Latest.State == ServerState::Leaving;
  Stored.Latest = Received;
  Stored.HeardAt = std::max(Stored.HeardAt, HeardAt);
  Stored.Direct = Direct;
  if (this->isReclaimed(Received.Host, HeardAt))
    Stored.Latest.State = ServerState::Leaving;
  if (HasRestarted)
    return Change::Restarted;
  // Within one incarnation, leaving is final.
  if (WasLeaving)
    Stored.Latest.State = ServerState::Leaving;
  const bool IsLeaving = Stored.Latest.State == ServerState::Leaving;
  return IsLeaving && !WasLeaving ? Change::BecameLeaving : Change::Refreshed;
}

BackendRegistry::Change
BackendRegistry::markLeaving(const Common::BackendServerId &Id) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() ||
      Found->second.Latest.State == ServerState::Leaving)
    return Change::None;
  Found->second.Latest.State = ServerState::Leaving;
  return Change::BecameLeaving;
}

std::vector<Common::BackendServerId>
BackendRegistry::markHostLeaving(const Common::HostId &Host,
                                 Common::TimePoint Now) {
  this->ReclaimedAt[Host] = Now;
  std::vector<Common::BackendServerId> MarkedLeaving;
  for (auto &[Id, Each] : this->Entries)
    if (Each.Latest.Host == Host &&
        this->markLeaving(Id) == Change::BecameLeaving)
      MarkedLeaving.push_back(Id);
  return MarkedLeaving;
}

bool BackendRegistry::isReclaimed(const Common::HostId &Host,
                                  Common::TimePoint Now) const {
  const auto Found = this->ReclaimedAt.find(Host);
  return Found != this->ReclaimedAt.end() &&
         Now - Found->second < ReclaimRetentionTime;
}

bool BackendRegistry::isUsable(const Entry &Each, Common::TimePoint Now) const {
  return Each.Latest.State == ServerState::Serving &&
         Now - Each.HeardAt < LeaseDuration;
}

const BackendRegistry::Entry *
BackendRegistry::find(const Common::BackendServerId &Id) const {
  const auto Found = this->Entries.find(Id);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

void BackendRegistry::removeExpired(Common::TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Each) {
    return Now - Each.second.HeardAt > RetentionTime;
  });
  std::erase_if(this->ReclaimedAt, [&](const auto &Each) {
    return Now - Each.second > ReclaimRetentionTime;
  });
}

void BackendRegistry::expireAllLeases(Common::TimePoint Now) {
  for (auto &Each : this->Entries)
    Each.second.HeardAt = std::min(Each.second.HeardAt, Now - LeaseDuration);
}

} // namespace Membership
