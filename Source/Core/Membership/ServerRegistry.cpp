#include "Membership/ServerRegistry.h"

#include <algorithm>

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
  if (Record.Phase == ServerPhase::Gone || Record.Address.empty() ||
      this->AwaitsServices)
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

bool ServerRegistry::isAdmitted(const ServerRecord &Record) const {
  if (!this->Services || this->Services->count(Record.Service) != 0)
    return true;
  // A record that was made of a ServerEnd states no service.
  if (Record.Phase != ServerPhase::Serving && Record.Address.empty())
    return true;
  const Entry *Known = this->find(Record.Id);
  return Known && Known->Record.StartedAt == Record.StartedAt &&
         Known->Record.Service == Record.Service &&
         Known->Record.Address == Record.Address;
}

const ServerRegistry::Entry *
ServerRegistry::findSetAside(const Common::BackendServerId &Id,
                             std::uint64_t StartedAt) const {
  for (auto At = this->RecordsSetAside.lower_bound({Id, {}});
       At != this->RecordsSetAside.end() && At->first.first == Id; ++At)
    if (At->second.Record.StartedAt == StartedAt)
      return &At->second;
  return nullptr;
}

ServerRegistry::Entry *
ServerRegistry::findSetAside(const Common::BackendServerId &Id,
                             std::uint64_t StartedAt) {
  return const_cast<Entry *>(std::as_const(*this).findSetAside(Id, StartedAt));
}

bool ServerRegistry::isSetAside(const Common::BackendServerId &Id,
                                std::uint64_t StartedAt) const {
  const Entry *Admitted = this->find(Id);
  return (!Admitted || Admitted->Record.StartedAt < StartedAt) &&
         this->findSetAside(Id, StartedAt);
}

void ServerRegistry::sortOut() {
  std::vector<const ServerRecord *> Admitted;
  for (auto At = this->Entries.begin(); At != this->Entries.end();) {
    const ServerRecord &Record = At->second.Record;
    // A record that was made of a ServerEnd has no address.
    if (!Record.Address.empty() && this->Services->count(Record.Service) == 0) {
      this->setAside(Record, At->second.HeardAt);
      At = this->Entries.erase(At);
      continue;
    }
    Admitted.push_back(&Record);
    ++At;
  }
  std::stable_sort(Admitted.begin(), Admitted.end(),
                   [](const ServerRecord *Left, const ServerRecord *Right) {
                     return Left->StartedAt < Right->StartedAt;
                   });
  for (const ServerRecord *Each : Admitted)
    this->claimAddress(*Each);
}

void ServerRegistry::setAside(const ServerRecord &Record,
                              Common::TimePoint Now) {
  const auto [At, IsNew] = this->RecordsSetAside.try_emplace(
      {Record.Id, Record.Service}, Entry{Record, Now});
  ServerRecord &Stored = At->second.Record;
  if (IsNew) {
    if (this->RecordsSetAside.size() > MaxSetAside)
      this->RecordsSetAside.erase(std::min_element(
          this->RecordsSetAside.begin(), this->RecordsSetAside.end(),
          [](const auto &Left, const auto &Right) {
            return Left.second.HeardAt < Right.second.HeardAt;
          }));
    return;
  }
  if (std::pair(Record.StartedAt, Record.Sequence) <=
      std::pair(Stored.StartedAt, Stored.Sequence))
    return;
  const ServerPhase KnownPhase = Record.StartedAt == Stored.StartedAt
                                     ? Stored.Phase
                                     : ServerPhase::Serving;
  Stored = Record;
  Stored.Phase = std::max(KnownPhase, Record.Phase);
  At->second.HeardAt = Now;
}

std::vector<ServerRecord>
ServerRegistry::setServices(std::set<Common::ServiceName> Declared,
                            Common::TimePoint Now) {
  this->Services = std::move(Declared);
  if (std::exchange(this->AwaitsServices, false))
    this->sortOut();
  std::vector<ServerRecord> Result;
  std::erase_if(this->RecordsSetAside, [&](const auto &Each) {
    if (this->Services->count(Each.first.second) == 0)
      return false;
    if (Now - Each.second.HeardAt <= MaxSetAsideAge)
      Result.push_back(Each.second.Record);
    return true;
  });
  return Result;
}

ServerRegistry::Outcome ServerRegistry::update(const ServerRecord &Record,
                                               Common::TimePoint Now) {
  if (!this->isAdmitted(Record)) {
    this->setAside(Record, Now);
    return Outcome::SetAside;
  }
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
  if (this->isSetAside(End.Id, End.StartedAt)) {
    ServerPhase &Phase =
        this->findSetAside(End.Id, End.StartedAt)->Record.Phase;
    Phase = std::max(Phase, End.Phase);
    return false;
  }
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
      Found->second.Record.StartedAt < StartedAt) {
    Entry *Aside = this->findSetAside(Id, StartedAt);
    if (!Aside)
      return RefreshOutcome::RecordMissing;
    if (Sequence > Aside->Record.Sequence) {
      Aside->Record.Sequence = Sequence;
      Aside->Record.Phase = std::max(Aside->Record.Phase, Phase);
      Aside->HeardAt = Now;
    }
    return RefreshOutcome::SetAside;
  }
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
  const auto IsExpired = [Now, RetentionTime](const auto &Each) {
    return Now - Each.second.HeardAt > RetentionTime;
  };
  std::erase_if(this->Entries, IsExpired);
  std::erase_if(this->RecordsSetAside, IsExpired);
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
