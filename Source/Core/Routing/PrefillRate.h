#ifndef SYCAMOREREACH_ROUTING_PREFILLRATE_H
#define SYCAMOREREACH_ROUTING_PREFILLRATE_H

#include "Common/Time.h"

#include <algorithm>
#include <cstdint>

namespace Routing {

/// Estimates how fast a service's engines prefill prompts, as the upper
/// quartile over requests that found an almost idle engine. A quantile is
/// robust against prompts that were cached contrary to expectation; an upper
/// one also against engines that were busier than known, which is more
/// frequent.
class PrefillRate {
public:
  /// Prompt tokens per millisecond.
  double tokensPerMillisecond() const { return this->Rate; }

  /// Records that an engine with RunningRequests other requests took
  /// TimeToFirstOutput for a prompt with UncachedTokens tokens to prefill.
  void record(std::uint64_t UncachedTokens, std::uint32_t RunningRequests,
              Common::Duration TimeToFirstOutput) {
    const double PrefillMilliseconds =
        1000 * Common::toSeconds(TimeToFirstOutput) - OverheadMilliseconds;
    if (UncachedTokens < MinTokens || RunningRequests > MaxRunning ||
        PrefillMilliseconds <= 0)
      return;
    const double Sample =
        static_cast<double>(UncachedTokens) / PrefillMilliseconds;
    // Converges to the value that a quarter of the samples exceed.
    this->Rate *= Sample > this->Rate ? 1 + 3 * Step : 1 / (1 + Step);
    this->Rate = std::clamp(this->Rate, MinRate, MaxRate);
  }

private:
  static constexpr double InitialRate = 50;
  static constexpr double MinRate = 2;
  static constexpr double MaxRate = 400;
  static constexpr double Step = 0.015;
  /// Shorter prompts say little, as their prefill takes about as long as a
  /// decoding step.
  static constexpr std::uint64_t MinTokens = 1200;
  /// With more running requests, decoding steps delay the prefill.
  static constexpr std::uint32_t MaxRunning = 3;
  /// Network and the decoding step that the prefill waits for.
  static constexpr double OverheadMilliseconds = 10;

  double Rate = InitialRate;
};

} // namespace Routing

#endif
