#include "Rollout/Observation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Rollout {

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

} // namespace Rollout
