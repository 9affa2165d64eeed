#include "Membership/ServerRegistry.h"

namespace Membership {

namespace {

bool equalForRouting(const ServerRecord &Left, const ServerRecord &Right) {
  return Left.Phase == Right.Phase && Left.Address == Right.Address &&
         Left.Service == Right.Service && Left.Slots == Right.Slots &&
         Left.DataCentre == Right.DataCentre &&
         Left.StartedAt == Right.StartedAt &&
         Left.Reclaimable == Right.Reclaimable;
}

} // namespace

bool ServerRegistry::claimAddress(const ServerRecord &Record) {
  // A record that was made of a ServerEnd has no address.
  if (Record.Phase == ServerPhase::Gone || Record.Address.empty())
    return true;
  const auto Owner = this->AddressOwners.find(Record.Address);
  if (Owner != this->AddressOwners.end() && Owner->second != Record.Id) {
    const auto Other = this->Entries.find(Owner->second);
    if (Other != this->Entries.end() &&
        Other->second.Record.Address == Record.Address) {
      if (Other->second.Record.StartedAt > Record.StartedAt)
        return false;
      Other->second.Record.Phase = ServerPhase::Gone;
    }
  }
  this->AddressOwners[Record.Address] = Record.Id;
  return true;
}

ServerRegistry::Outcome ServerRegistry::update(const ServerRecord &Record,
                                               Common::TimePoint Now) {
  const auto Found = this->Entries.find(Record.Id);
  if (Found == this->Entries.end()) {
    if (!this->claimAddress(Record))
      return Outcome::Stale;
    this->Entries[Record.Id] = Entry{Record, Now};
    return Outcome::Changed;
  }
  ServerRecord &Stored = Found->second.Record;
  const bool SameIncarnation = Record.StartedAt == Stored.StartedAt;
  if (Record.StartedAt < Stored.StartedAt)
    return Outcome::Stale;
  if (SameIncarnation && Record.Sequence <= Stored.Sequence) {
    // Phases never go back, so a later phase is news even in an older message:
    // the daemon that sent it may not have received the latest heartbeat.
    if (Record.Phase <= Stored.Phase)
      return Outcome::Stale;
    Stored.Phase = Record.Phase;
    return Outcome::Changed;
  }
  ServerRecord Next = Record;
  if (SameIncarnation && Stored.Phase > Next.Phase)
    Next.Phase = Stored.Phase;
  if (!this->claimAddress(Next))
    return Outcome::Stale;
  const bool Unchanged = equalForRouting(Stored, Next);
  Stored = Next;
  Found->second.HeardAt = Now;
  return Unchanged ? Outcome::Refreshed : Outcome::Changed;
}

bool ServerRegistry::applyEnd(const ServerEnd &End, Common::TimePoint Now) {
  Entry &Known = this->Entries[End.Id];
  ServerRecord &Stored = Known.Record;
  const bool Unknown = Stored.Id.empty();
  if (!Unknown &&
      ServerEnd{Stored.Id, Stored.StartedAt, Stored.Phase}.covers(End))
    return false;
  if (Unknown || End.StartedAt > Stored.StartedAt) {
    // What is known of an earlier incarnation does not describe this one.
    Stored = ServerRecord();
    Stored.Id = End.Id;
    Stored.StartedAt = End.StartedAt;
  }
  Stored.Phase = End.Phase;
  Known.HeardAt = Now;
  return true;
}

ServerRegistry::RefreshOutcome
ServerRegistry::refresh(const Common::BackendServerId &Id,
                        std::uint64_t StartedAt, std::uint64_t Sequence,
                        ServerPhase Phase, Common::TimePoint Now) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end() ||
      Found->second.Record.StartedAt < StartedAt)
    return RefreshOutcome::RecordMissing;
  ServerRecord &Stored = Found->second.Record;
  if (Stored.StartedAt != StartedAt || Sequence <= Stored.Sequence)
    return RefreshOutcome::Stale;
  Stored.Sequence = Sequence;
  Found->second.HeardAt = Now;
  if (Phase <= Stored.Phase)
    return RefreshOutcome::Live;
  Stored.Phase = Phase;
  return RefreshOutcome::PhaseChanged;
}

void ServerRegistry::removeExpired(Common::TimePoint Now,
                                   Common::Duration RetentionTime) {
  std::erase_if(this->Entries, [Now, RetentionTime](const auto &Each) {
    return Now - Each.second.HeardAt > RetentionTime;
  });
  std::erase_if(this->AddressOwners, [this](const auto &Each) {
    return this->Entries.count(Each.second) == 0;
  });
  this->Versions.removeExpired(Now, RetentionTime,
                               [this](const Common::BackendServerId &Id) {
                                 return this->Entries.count(Id) != 0;
                               });
}

const ServerRegistry::Entry *
ServerRegistry::find(const Common::BackendServerId &Id) const {
  const auto Found = this->Entries.find(Id);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

Common::BackendServerId
ServerRegistry::ownerOf(const Network::Address &Address) const {
  const auto Found = this->AddressOwners.find(Address);
  return Found == this->AddressOwners.end() ? Common::BackendServerId()
                                            : Found->second;
}

std::vector<ServerRecord> ServerRegistry::records() const {
  std::vector<ServerRecord> Result;
  Result.reserve(this->Entries.size());
  for (const auto &Each : this->Entries)
    Result.push_back(Each.second.Record);
  return Result;
}

} // namespace Membership
