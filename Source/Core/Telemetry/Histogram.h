#ifndef SYCAMOREREACH_TELEMETRY_HISTOGRAM_H
#define SYCAMOREREACH_TELEMETRY_HISTOGRAM_H

#include "Common/Time.h"

#include <array>
#include <cstdint>

namespace Telemetry {

/// Latencies in fixed buckets, so that histograms of many hosts add up.
class Histogram {
public:
  /// Upper bounds in seconds; the last bucket has none.
  static constexpr std::array Bounds = {0.005, 0.01, 0.025, 0.05, 0.1,
                                        0.15,  0.25, 0.5,   1.0,  2.5,
                                        5.0,   10.0, 15.0};

  void add(Common::Duration Sample) {
    const double Seconds = Common::toSeconds(Sample);
    std::size_t Bucket = 0;
    while (Bucket < Bounds.size() && Seconds > Bounds[Bucket])
      ++Bucket;
    ++this->Counts[Bucket];
    ++this->Samples;
    this->Total += Seconds;
  }
  /// Samples up to the bound of Bucket, which may be Bounds.size().
  std::uint64_t upTo(std::size_t Bucket) const {
    std::uint64_t Sum = 0;
    for (std::size_t I = 0; I <= Bucket; ++I)
      Sum += this->Counts[I];
    return Sum;
  }
  std::uint64_t count() const { return this->Samples; }
  double sum() const { return this->Total; }

private:
  std::array<std::uint64_t, Bounds.size() + 1> Counts{};
  std::uint64_t Samples = 0;
  double Total = 0;
};

} // namespace Telemetry

#endif
