#ifndef SYCAMOREREACH_ROUTING_ENGINECOST_H
#define SYCAMOREREACH_ROUTING_ENGINECOST_H

#include <cstdint>

namespace Routing {

/// Cost model of model requests, from the published figures of inference
/// engines: prefill processes 56.9 prompt tokens per millisecond, and each
/// running request adds 0.102 ms to a decoding step, which generates one token
/// for each of them.
struct EngineCost {
  static constexpr double PromptTokensPerMillisecond = 56.9;
  static constexpr double MillisecondsPerOutputToken = 0.102;

  /// Engine time of one request, in milliseconds.
  static double milliseconds(std::uint64_t UncachedPromptTokens,
                             double OutputTokens) {
    return static_cast<double>(UncachedPromptTokens) /
               PromptTokensPerMillisecond +
           OutputTokens * MillisecondsPerOutputToken;
  }
};

} // namespace Routing

#endif
