#include "Rollout/Observation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace Rollout {

namespace {

constexpr std::uint32_t BitsPerByte = 7;
constexpr std::uint32_t ContinuationBit = 1u << BitsPerByte;

} // namespace

void DurationHistogram::add(Common::Duration Time) {
  this->Counts.resize(Buckets);
  const double Milliseconds = std::max(1.0, 1000 * Common::toSeconds(Time));
  const auto Bucket = static_cast<std::size_t>(2 * std::log2(Milliseconds));
  ++this->Counts[std::min(Bucket, Buckets - 1)];
}

void DurationHistogram::add(const DurationHistogram &Other) {
  this->Counts.resize(Buckets);
  for (std::size_t I = 0; I < std::min(Buckets, Other.Counts.size()); ++I)
    this->Counts[I] += Other.Counts[I];
}

std::uint64_t DurationHistogram::total() const {
  return std::accumulate(this->Counts.begin(), this->Counts.end(),
                         std::uint64_t{0});
}

std::string DurationHistogram::encode() const {
  std::string Result;
  std::size_t Used = this->Counts.size();
  while (Used > 0 && this->Counts[Used - 1] == 0)
    --Used;
  for (std::size_t I = 0; I < Used; ++I) {
    std::uint32_t Rest = this->Counts[I];
    for (; Rest >= ContinuationBit; Rest >>= BitsPerByte)
      Result.push_back(
          static_cast<char>(ContinuationBit | (Rest & (ContinuationBit - 1))));
    Result.push_back(static_cast<char>(Rest));
  }
  return Result;
}

void DurationHistogram::decode(const std::string &Bytes) {
  this->Counts.clear();
  if (Bytes.empty())
    return;
  this->Counts.resize(Buckets);
  std::size_t Bucket = 0;
  std::uint32_t Shift = 0;
  for (const unsigned char Byte : Bytes) {
    if (Bucket == Buckets)
      return;
    if (Shift < std::numeric_limits<std::uint32_t>::digits)
      this->Counts[Bucket] |=
          static_cast<std::uint32_t>(Byte & (ContinuationBit - 1)) << Shift;
    Shift += BitsPerByte;
    if ((Byte & ContinuationBit) != 0)
      continue;
    ++Bucket;
    Shift = 0;
  }
}

} // namespace Rollout
