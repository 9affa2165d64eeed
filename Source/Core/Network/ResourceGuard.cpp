#include "Network/ResourceGuard.h"

#include <algorithm>
#include <sys/resource.h>
#include <utility>

namespace Network {

namespace {

/// Assumed memory of a host that does not state it.
constexpr std::size_t DefaultMemoryBytes = std::size_t{1} << 30;
/// Share of the host's memory for what peers send and receive. The rest is for
/// the process itself (about 10 MB at the start, tables that grow with the
/// cluster), the copy while a body grows, and the kernel's socket buffers.
constexpr double BudgetShare = 0.4;
/// Descriptors of the host's limit that are reserved for files.
constexpr std::size_t ReservedDescriptors = 200;
/// Share of the other descriptors for connections that others open; the rest is
/// for connections that this process opens.
constexpr double AcceptedShare = 0.75;
constexpr std::size_t MinConnections = 64;

} // namespace

ResourceGuard::ResourceGuard(std::function<Common::TimePoint()> Now)
    : Now(std::move(Now)), Budget({}) {
  this->setHostLimits(0, 0);
}

void ResourceGuard::setHostLimits(std::size_t MemoryBytes,
                                  std::size_t Descriptors) {
  if (MemoryBytes == 0)
    MemoryBytes = DefaultMemoryBytes;
  rlimit Open{};
  if (getrlimit(RLIMIT_NOFILE, &Open) == 0 && Open.rlim_cur != RLIM_INFINITY)
    Descriptors =
        Descriptors == 0
            ? static_cast<std::size_t>(Open.rlim_cur)
            : std::min(Descriptors, static_cast<std::size_t>(Open.rlim_cur));
  MemoryBudget::Limits Result;
  Result.MaxBytes =
      static_cast<std::size_t>(static_cast<double>(MemoryBytes) * BudgetShare);
  const std::size_t Usable =
      Descriptors > ReservedDescriptors ? Descriptors - ReservedDescriptors : 0;
  Result.MaxConnections = std::max(
      MinConnections,
      static_cast<std::size_t>(static_cast<double>(Usable) * AcceptedShare));
  this->Budget.setLimits(Result);
}

void ResourceGuard::relieve() {
  if (this->Relieving)
    return;
  this->Relieving = true;
  // Each step ends an account, so there are at most as many.
  for (std::size_t Steps = this->Budget.accounts(); Steps != 0; --Steps) {
    const Common::TimePoint At = this->Now();
    auto Chosen = this->Budget.nextToEnd(At);
    if (Chosen) {
      switch (this->Budget.holderOf(*Chosen)) {
      case MemoryBudget::Holder::Response:
        ++this->EndedCounts.Responses;
        break;
      case MemoryBudget::Holder::Unsent:
        ++this->EndedCounts.SlowReaders;
        break;
      default:
        ++(this->Budget.isStalled(*Chosen, At) ? this->EndedCounts.Stalled
                                               : this->EndedCounts.Largest);
      }
    } else {
      Chosen = this->Budget.nextConnectionToEnd();
      if (!Chosen)
        break;
      ++this->EndedCounts.Connections;
    }
    const auto Handler = this->EndHandlers.find(*Chosen);
    if (Handler == this->EndHandlers.end())
      break;
    // A copy, as the handler may close the account.
    const std::function<void()> End = Handler->second;
    End();
  }
  this->Relieving = false;
}

MemoryAccount::MemoryAccount(ResourceGuard &Guard, MemoryBudget::Holder Kind,
                             bool IsConnection, std::function<void()> End)
    : Guard(Guard.shared_from_this()),
      Id(Guard.Budget.open(Kind, IsConnection, Guard.Now())) {
  if (End)
    Guard.EndHandlers[this->Id] = std::move(End);
}

MemoryAccount::MemoryAccount(MemoryAccount &&Other) noexcept
    : Guard(std::move(Other.Guard)), Id(std::exchange(Other.Id, 0)) {}

MemoryAccount &MemoryAccount::operator=(MemoryAccount &&Other) noexcept {
  this->close();
  this->Guard = std::move(Other.Guard);
  this->Id = std::exchange(Other.Id, 0);
  return *this;
}

void MemoryAccount::close() {
  if (!this->Guard)
    return;
  this->Guard->Budget.close(this->Id);
  this->Guard->EndHandlers.erase(this->Id);
  this->Guard.reset();
}

void MemoryAccount::charge(MemoryBudget::Holder Kind, std::size_t Bytes) {
  if (!this->Guard)
    return;
  this->Guard->Budget.charge(this->Id, Kind, Bytes);
  // An End handler may close this account.
  const std::shared_ptr<ResourceGuard> Retained = this->Guard;
  Retained->relieve();
}

void MemoryAccount::credit(MemoryBudget::Holder Kind, std::size_t Bytes) {
  if (this->Guard)
    this->Guard->Budget.charge(this->Id, Kind, Bytes);
}

void MemoryAccount::recordProgress() {
  if (this->Guard)
    this->Guard->Budget.recordProgress(this->Id, this->Guard->Now());
}

} // namespace Network
