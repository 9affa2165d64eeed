#include "Consensus/ReplicatedLog.h"

#include "Network/Codec.h"

namespace Consensus {

ReplicatedLog::ReplicatedLog(Snapshot BaseSnapshot,
                             std::vector<LogEntry> Entries) {
  this->reset(std::move(BaseSnapshot));
  for (LogEntry &Entry : Entries)
    this->append(std::move(Entry));
}

LogIndex ReplicatedLog::lastIndex() const {
  return LogIndex{this->BaseSnapshot.Index.Value + this->Entries.size()};
}

Term ReplicatedLog::lastTerm() const {
  return this->Entries.empty() ? this->BaseSnapshot.Term
                               : this->Entries.back().Term;
}

bool ReplicatedLog::contains(LogIndex Index) const {
  return Index > this->BaseSnapshot.Index && Index <= this->lastIndex();
}

const LogEntry &ReplicatedLog::at(LogIndex Index) const {
  return this->Entries[Index.Value - this->BaseSnapshot.Index.Value - 1];
}

Term ReplicatedLog::termAt(LogIndex Index) const {
  return Index == this->BaseSnapshot.Index ? this->BaseSnapshot.Term
                                           : this->at(Index).Term;
}

bool ReplicatedLog::matches(LogIndex Index, Term At) const {
  if (Index == this->BaseSnapshot.Index)
    return At == this->BaseSnapshot.Term;
  return this->contains(Index) && this->at(Index).Term == At;
}

void ReplicatedLog::append(LogEntry Entry) {
  this->recordMembership(Entry);
  this->Entries.push_back(std::move(Entry));
}

void ReplicatedLog::recordMembership(const LogEntry &Entry) {
  if (Entry.Kind != EntryKind::MembershipChange)
    return;
  auto Decoded = Network::decode<Membership>(Entry.Payload);
  if (Decoded.ok())
    this->Memberships.push_back({Entry.Index, std::move(*Decoded)});
}

void ReplicatedLog::truncateFrom(LogIndex Index) {
  while (this->lastIndex() >= Index && !this->Entries.empty())
    this->Entries.pop_back();
  while (this->Memberships.size() > 1 &&
         this->Memberships.back().Index >= Index)
    this->Memberships.pop_back();
}

void ReplicatedLog::compact(Snapshot NewSnapshot) {
  while (!this->Entries.empty() &&
         this->Entries.front().Index <= NewSnapshot.Index)
    this->Entries.pop_front();
  std::vector<IndexedMembership> Remaining = {
      {NewSnapshot.Index, NewSnapshot.Membership}};
  for (IndexedMembership &Each : this->Memberships)
    if (Each.Index > NewSnapshot.Index)
      Remaining.push_back(std::move(Each));
  this->Memberships = std::move(Remaining);
  this->BaseSnapshot = std::move(NewSnapshot);
}

void ReplicatedLog::reset(Snapshot NewSnapshot) {
  this->Entries.clear();
  this->Memberships = {{NewSnapshot.Index, NewSnapshot.Membership}};
  this->BaseSnapshot = std::move(NewSnapshot);
}

const Membership &ReplicatedLog::membership() const {
  return this->Memberships.back().Membership;
}

const Membership &ReplicatedLog::membershipAt(LogIndex Index) const {
  const Membership *Found = &this->Memberships.front().Membership;
  for (const IndexedMembership &Each : this->Memberships)
    if (Each.Index <= Index)
      Found = &Each.Membership;
  return *Found;
}

LogIndex ReplicatedLog::membershipIndex() const {
  return this->Memberships.back().Index;
}

} // namespace Consensus
