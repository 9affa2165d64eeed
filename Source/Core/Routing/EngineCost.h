#ifndef SYCAMOREREACH_ROUTING_ENGINECOST_H
#define SYCAMOREREACH_ROUTING_ENGINECOST_H

#include <cstdint>

namespace Routing {

/// Cost model of model requests: each running request adds 0.102 ms to a
/// decoding step, from the published figures of inference engines, which
/// generates one token for each of them. Prefill runs at the measured rate.
struct EngineCost {
  static constexpr double MillisecondsPerOutputToken = 0.102;

  /// Engine time of one request, in milliseconds.
  static double milliseconds(std::uint64_t UncachedPromptTokens,
                             double PromptTokensPerMillisecond,
                             double OutputTokens) {
    return static_cast<double>(UncachedPromptTokens) /
               PromptTokensPerMillisecond +
           OutputTokens * MillisecondsPerOutputToken;
  }
};

} // namespace Routing

#endif
