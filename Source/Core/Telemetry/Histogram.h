#ifndef SYCAMOREREACH_TELEMETRY_HISTOGRAM_H
#define SYCAMOREREACH_TELEMETRY_HISTOGRAM_H

#include "Common/Time.h"

#include <array>
#include <cstdint>

namespace Telemetry {

/// A latency histogram. All hosts use the same bucket bounds, so that their
/// histograms can be summed.
class Histogram {
public:
  /// Upper bounds in seconds. The last bucket is unbounded and not listed.
  static constexpr std::array Bounds = {0.005, 0.01, 0.025, 0.05, 0.1,
                                        0.15,  0.25, 0.5,   1.0,  2.5,
                                        5.0,   10.0, 15.0};

  void add(Common::Duration Sample) {
    const double Seconds = Common::toSeconds(Sample);
    std::size_t Bucket = 0;
    while (Bucket < Bounds.size() && Seconds > Bounds[Bucket])
      ++Bucket;
    ++this->Counts[Bucket];
    ++this->SampleCount;
    this->TotalSeconds += Seconds;
  }
  /// The number of samples in all buckets up to and including Bucket. Bucket
  /// may be Bounds.size(), the unbounded bucket.
  std::uint64_t cumulativeCount(std::size_t Bucket) const {
    std::uint64_t Sum = 0;
    for (std::size_t I = 0; I <= Bucket; ++I)
      Sum += this->Counts[I];
    return Sum;
  }
  std::uint64_t count() const { return this->SampleCount; }
  /// The sum of all samples in seconds.
  double sum() const { return this->TotalSeconds; }

private:
  std::array<std::uint64_t, Bounds.size() + 1> Counts{};
  std::uint64_t SampleCount = 0;
  double TotalSeconds = 0;
};

} // namespace Telemetry

#endif
