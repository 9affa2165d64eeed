#ifndef SYCAMOREREACH_NETWORK_RESOURCEGUARD_H
#define SYCAMOREREACH_NETWORK_RESOURCEGUARD_H

#include "Network/MemoryBudget.h"

#include <functional>
#include <map>
#include <memory>

namespace Network {

class EventLoop;
class MemoryAccount;

/// Applies the memory budget of a process: ends the accounts that the budget
/// chooses. One belongs to each event loop.
class ResourceGuard : public std::enable_shared_from_this<ResourceGuard> {
public:
  /// What was ended since the start, by cause.
  struct Counts {
    std::uint64_t Stalled = 0;
    std::uint64_t Largest = 0;
    std::uint64_t SlowReaders = 0;
    std::uint64_t Responses = 0;
    std::uint64_t Connections = 0;

    std::uint64_t total() const {
      return this->Stalled + this->Largest + this->SlowReaders +
             this->Responses + this->Connections;
    }
  };

  explicit ResourceGuard(std::function<Common::TimePoint()> Now);

  /// Derives the limits from the memory of the host in bytes and its maximum
  /// number of descriptors; 0 stands for the default.
  void setHostLimits(std::size_t MemoryBytes, std::size_t Descriptors);
  const MemoryBudget &budget() const { return this->Budget; }
  const Counts &counts() const { return this->EndedCounts; }

private:
  friend class MemoryAccount;
  /// Ends accounts until the limits are kept or nothing may be ended.
  void relieve();

  std::function<Common::TimePoint()> Now;
  MemoryBudget Budget;
  /// Must free what the account is charged before it returns.
  std::map<MemoryBudget::AccountId, std::function<void()>> EndHandlers;
  Counts EndedCounts;
  bool Relieving = false;
};

/// What one holder is charged, credited when this object is destroyed. End
/// frees what is held, and may destroy the owner only after it has returned.
class MemoryAccount {
public:
  MemoryAccount() = default;
  MemoryAccount(ResourceGuard &Guard, MemoryBudget::Holder Kind,
                bool IsConnection, std::function<void()> End);
  ~MemoryAccount() { this->close(); }
  MemoryAccount(MemoryAccount &&Other) noexcept;
  MemoryAccount &operator=(MemoryAccount &&Other) noexcept;
  MemoryAccount(const MemoryAccount &) = delete;
  MemoryAccount &operator=(const MemoryAccount &) = delete;

  void close();
  /// Charges Bytes in total. May run End handlers, also that of this account.
  void charge(MemoryBudget::Holder Kind, std::size_t Bytes);
  /// Like charge, without running End handlers; for use inside them.
  void credit(MemoryBudget::Holder Kind, std::size_t Bytes);
  void recordProgress();

private:
  std::shared_ptr<ResourceGuard> Guard;
  MemoryBudget::AccountId Id = 0;
};

} // namespace Network

#endif
