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

bool ReplicatedLog::holds(LogIndex Index) const {
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
  return this->holds(Index) && this->at(Index).Term == At;
}

void ReplicatedLog::append(LogEntry Entry) {
  this->noteMembership(Entry);
  this->Entries.push_back(std::move(Entry));
}

void ReplicatedLog::noteMembership(const LogEntry &Entry) {
  if (Entry.Kind != EntryKind::MembershipChange)
    return;
  auto Group = Network::decode<Membership>(Entry.Payload);
  if (Group.ok())
    this->Memberships.push_back({Entry.Index, std::move(*Group)});
}

void ReplicatedLog::truncateFrom(LogIndex Index) {
  while (this->lastIndex() >= Index && !this->Entries.empty())
    this->Entries.pop_back();
  while (this->Memberships.size() > 1 &&
         this->Memberships.back().Index >= Index)
    this->Memberships.pop_back();
}

void ReplicatedLog::compact(Snapshot Taken) {
  while (!this->Entries.empty() && this->Entries.front().Index <= Taken.Index)
    this->Entries.pop_front();
  std::vector<MembershipAt> Kept = {{Taken.Index, Taken.Membership}};
  for (MembershipAt &Each : this->Memberships)
    if (Each.Index > Taken.Index)
      Kept.push_back(std::move(Each));
  this->Memberships = std::move(Kept);
  this->BaseSnapshot = std::move(Taken);
}

void ReplicatedLog::reset(Snapshot Taken) {
  this->Entries.clear();
  this->Memberships = {{Taken.Index, Taken.Membership}};
  this->BaseSnapshot = std::move(Taken);
}

const Membership &ReplicatedLog::membership() const {
  return this->Memberships.back().Group;
}

const Membership &ReplicatedLog::membershipAt(LogIndex Index) const {
  const Membership *Found = &this->Memberships.front().Group;
  for (const MembershipAt &Each : this->Memberships)
    if (Each.Index <= Index)
      Found = &Each.Group;
  return *Found;
}

LogIndex ReplicatedLog::membershipIndex() const {
  return this->Memberships.back().Index;
}

} // namespace Consensus
