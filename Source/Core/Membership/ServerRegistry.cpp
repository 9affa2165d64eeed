#include "Membership/ServerRegistry.h"

namespace Membership {

namespace {

bool sameForRouting(const ServerRecord &Left, const ServerRecord &Right) {
  return Left.Phase == Right.Phase && Left.Address == Right.Address &&
         Left.Service == Right.Service && Left.Slots == Right.Slots &&
         Left.DataCentre == Right.DataCentre &&
         Left.StartedAt == Right.StartedAt &&
         Left.Reclaimable == Right.Reclaimable;
}

} // namespace

bool ServerRegistry::claimAddress(const ServerRecord &Said) {
  if (Said.Phase == ServerPhase::Gone)
    return true;
  const auto Holder = this->HolderOf.find(Said.Address);
  if (Holder != this->HolderOf.end() && Holder->second != Said.Id) {
    const auto Other = this->Entries.find(Holder->second);
    if (Other != this->Entries.end() &&
        Other->second.Record.Address == Said.Address) {
      if (Other->second.Record.StartedAt > Said.StartedAt)
        return false;
      Other->second.Record.Phase = ServerPhase::Gone;
    }
  }
  this->HolderOf[Said.Address] = Said.Id;
  return true;
}

ServerRegistry::Outcome ServerRegistry::offer(const ServerRecord &Said,
                                              Common::TimePoint Now) {
  const auto Found = this->Entries.find(Said.Id);
  if (Found == this->Entries.end()) {
    if (!this->claimAddress(Said))
      return Outcome::Stale;
    this->Entries[Said.Id] = Entry{Said, Now};
    return Outcome::Changed;
  }
  ServerRecord &Held = Found->second.Record;
  const bool SameLife = Said.StartedAt == Held.StartedAt;
  if (Said.StartedAt < Held.StartedAt ||
      (SameLife && Said.Sequence < Held.Sequence) ||
      (SameLife && Said.Sequence == Held.Sequence && Said.Phase <= Held.Phase))
    return Outcome::Stale;
  ServerRecord Next = Said;
  if (SameLife && Held.Phase > Next.Phase)
    Next.Phase = Held.Phase;
  if (!this->claimAddress(Next))
    return Outcome::Stale;
  const bool Same = sameForRouting(Held, Next);
  Held = Next;
  Found->second.HeardAt = Now;
  return Same ? Outcome::Refreshed : Outcome::Changed;
}

bool ServerRegistry::leave(const Common::BackendServerId &Id,
                           std::uint64_t StartedAt, Common::TimePoint Now) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end())
    return false;
  ServerRecord &Held = Found->second.Record;
  if (StartedAt != 0 && StartedAt < Held.StartedAt)
    return false;
  Held.Phase = ServerPhase::Gone;
  Found->second.HeardAt = Now;
  return true;
}

void ServerRegistry::refresh(const Common::BackendServerId &Id,
                             std::uint64_t StartedAt, std::uint64_t Sequence,
                             Common::TimePoint Now) {
  const auto Found = this->Entries.find(Id);
  if (Found == this->Entries.end())
    return;
  ServerRecord &Held = Found->second.Record;
  if (Held.StartedAt != StartedAt || Sequence <= Held.Sequence)
    return;
  Held.Sequence = Sequence;
  Found->second.HeardAt = Now;
}

void ServerRegistry::forgetOld(Common::TimePoint Now, Common::Duration Keep) {
  std::erase_if(this->Entries, [Now, Keep](const auto &Each) {
    return Now - Each.second.HeardAt > Keep;
  });
  std::erase_if(this->HolderOf, [this](const auto &Each) {
    return this->Entries.count(Each.second) == 0;
  });
}

const ServerRegistry::Entry *
ServerRegistry::find(const Common::BackendServerId &Id) const {
  const auto Found = this->Entries.find(Id);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

std::vector<ServerRecord> ServerRegistry::records() const {
  std::vector<ServerRecord> Result;
  Result.reserve(this->Entries.size());
  for (const auto &Each : this->Entries)
    Result.push_back(Each.second.Record);
  return Result;
}

} // namespace Membership
