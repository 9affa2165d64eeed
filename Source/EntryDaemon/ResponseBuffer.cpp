#include "EntryDaemon/ResponseBuffer.h"

#include "Network/BufferGrowth.h"

namespace EntryDaemon {

namespace {

constexpr std::size_t MaxBytes = 16u << 20;

} // namespace

ResponseBuffer::Result
ResponseBuffer::append(Network::EventLoop &Loop, const std::string &Bytes,
                       const std::function<void()> &OnGivenWay) {
  if (this->Body.size() + Bytes.size() > MaxBytes)
    return Result::TooLarge;
  if (!this->Opened) {
    this->Opened = true;
    this->Account = Network::MemoryAccount(
        Loop.resources(), Network::MemoryBudget::Holder::Response, false,
        [this, OnGivenWay] {
          *this->Ended = true;
          this->Body = std::string();
          this->Account.close();
          OnGivenWay();
        });
  }
  const std::size_t Capacity =
      Network::capacityFor(this->Body, this->Body.size() + Bytes.size());
  const std::shared_ptr<bool> WatchedEnd = this->Ended;
  this->Account.recordProgress();
  // Charged before the memory is taken.
  this->Account.charge(Network::MemoryBudget::Holder::Response, Capacity);
  if (*WatchedEnd)
    return Result::GaveWay;
  Network::growTo(this->Body, Capacity);
  this->Body += Bytes;
  return Result::Kept;
}

std::string ResponseBuffer::take() {
  this->Account.close();
  return std::move(this->Body);
}

} // namespace EntryDaemon
