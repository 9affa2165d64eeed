#include "Network/MemoryBudget.h"

#include <tuple>

namespace Network {

namespace {

/// The lower the rank, the earlier an account ends; none for those that do not
/// give way to memory.
std::optional<int> rankOf(MemoryBudget::Holder Kind, bool Stalled) {
  switch (Kind) {
  case MemoryBudget::Holder::Incoming:
    return Stalled ? 0 : 1;
  case MemoryBudget::Holder::Unsent:
    return Stalled ? std::optional<int>(2) : std::nullopt;
  case MemoryBudget::Holder::Response:
    return 3;
  case MemoryBudget::Holder::Idle:
  case MemoryBudget::Holder::Kept:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

MemoryBudget::AccountId MemoryBudget::open(Holder Kind, bool IsConnection,
                                           Common::TimePoint Now) {
  const AccountId Id = ++this->LastId;
  this->Accounts[Id] = {Kind, 0, IsConnection, Now};
  this->OpenConnections += IsConnection ? 1 : 0;
  return Id;
}

void MemoryBudget::close(AccountId Id) {
  const auto Found = this->Accounts.find(Id);
  if (Found == this->Accounts.end())
    return;
  this->UsedBytes -= Found->second.Bytes;
  this->OpenConnections -= Found->second.IsConnection ? 1 : 0;
  this->Accounts.erase(Found);
}

void MemoryBudget::charge(AccountId Id, Holder Kind, std::size_t Bytes) {
  const auto Found = this->Accounts.find(Id);
  if (Found == this->Accounts.end())
    return;
  this->UsedBytes = this->UsedBytes - Found->second.Bytes + Bytes;
  Found->second.Bytes = Bytes;
  Found->second.Kind = Kind;
}

void MemoryBudget::recordProgress(AccountId Id, Common::TimePoint Now) {
  const auto Found = this->Accounts.find(Id);
  if (Found != this->Accounts.end())
    Found->second.ProgressAt = Now;
}

std::optional<MemoryBudget::AccountId>
MemoryBudget::nextToEnd(Common::TimePoint Now) const {
  if (this->UsedBytes <= this->BudgetLimits.MaxBytes)
    return std::nullopt;
  std::optional<AccountId> Result;
  int BestRank = 0;
  std::size_t BestBytes = 0;
  for (const auto &[Id, Each] : this->Accounts) {
    const bool Stalled = Now - Each.ProgressAt >= this->BudgetLimits.StallTime;
    const std::optional<int> Rank = rankOf(Each.Kind, Stalled);
    // Ending an account that is charged nothing frees nothing.
    if (!Rank || Each.Bytes == 0)
      continue;
    if (Result && std::make_tuple(BestRank, Each.Bytes) <=
                      std::make_tuple(*Rank, BestBytes))
      continue;
    Result = Id;
    BestRank = *Rank;
    BestBytes = Each.Bytes;
  }
  return Result;
}

std::optional<MemoryBudget::AccountId>
MemoryBudget::nextConnectionToEnd() const {
  if (this->OpenConnections <= this->BudgetLimits.MaxConnections)
    return std::nullopt;
  std::optional<AccountId> Result;
  std::tuple<bool, Common::TimePoint> Best;
  for (const auto &[Id, Each] : this->Accounts) {
    if (!Each.IsConnection ||
        (Each.Kind != Holder::Incoming && Each.Kind != Holder::Idle))
      continue;
    const std::tuple<bool, Common::TimePoint> Order{Each.Kind == Holder::Idle,
                                                    Each.ProgressAt};
    if (Result && Best <= Order)
      continue;
    Result = Id;
    Best = Order;
  }
  return Result;
}

} // namespace Network
