#ifndef SYCAMOREREACH_NETWORK_MEMORYBUDGET_H
#define SYCAMOREREACH_NETWORK_MEMORYBUDGET_H

#include "Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Network {

/// Accounts for the bytes that a process holds for its peers, and chooses whose
/// connection ends when they exceed the limits. It holds no socket, buffer or
/// timer.
class MemoryBudget {
public:
  /// What the bytes of an account belong to. It decides whether and in which
  /// order the account may be ended.
  enum class Holder {
    /// A message that is still arriving from a caller or an unauthenticated
    /// peer.
    Incoming,
    /// A server's response that is still arriving.
    Response,
    /// A complete response that its caller has not received.
    Unsent,
    /// A connection without a request.
    Idle,
    /// A complete or running request; never ended.
    Kept,
  };
  struct Limits {
    std::size_t MaxBytes = 0;
    /// Maximum number of connections that others have opened.
    std::size_t MaxConnections = 0;
    /// An account without progress for this long is stalled. Callers inside
    /// their limits send and receive without such pauses when the network is
    /// undisturbed, and a stalled account ends only under pressure.
    Common::Duration StallTime = std::chrono::seconds(1);
  };
  using AccountId = std::uint64_t;

  explicit MemoryBudget(const Limits &BudgetLimits)
      : BudgetLimits(BudgetLimits) {}

  void setLimits(const Limits &NewLimits) { this->BudgetLimits = NewLimits; }
  const Limits &limits() const { return this->BudgetLimits; }

  /// IsConnection: whether the account counts against MaxConnections.
  AccountId open(Holder Kind, bool IsConnection, Common::TimePoint Now);
  /// Credits everything that the account is charged.
  void close(AccountId Id);
  /// Replaces what the account is charged, and its holder.
  void charge(AccountId Id, Holder Kind, std::size_t Bytes);
  void recordProgress(AccountId Id, Common::TimePoint Now);

  Holder holderOf(AccountId Id) const { return this->Accounts.at(Id).Kind; }
  bool isStalled(AccountId Id, Common::TimePoint Now) const {
    return Now - this->Accounts.at(Id).ProgressAt >=
           this->BudgetLimits.StallTime;
  }
  std::size_t usedBytes() const { return this->UsedBytes; }
  std::size_t connections() const { return this->OpenConnections; }
  std::size_t accounts() const { return this->Accounts.size(); }

  /// The account to end because MaxBytes is exceeded: stalled incoming
  /// messages, the largest first, then the largest incoming message, stalled
  /// unsent responses, and the largest response that is still arriving. None
  /// if the limit is kept or only others are left.
  std::optional<AccountId> nextToEnd(Common::TimePoint Now) const;
  /// The connection to end because MaxConnections is exceeded: the incoming
  /// message without progress for the longest time, then the connection that
  /// has been idle for the longest time.
  std::optional<AccountId> nextConnectionToEnd() const;

private:
  struct Account {
    Holder Kind = Holder::Idle;
    std::size_t Bytes = 0;
    bool IsConnection = false;
    Common::TimePoint ProgressAt;
  };

  Limits BudgetLimits;
  std::map<AccountId, Account> Accounts;
  AccountId LastId = 0;
  std::size_t UsedBytes = 0;
  std::size_t OpenConnections = 0;
};

} // namespace Network

#endif
