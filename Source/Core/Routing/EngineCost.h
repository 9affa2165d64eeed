#ifndef SYCAMOREREACH_ROUTING_ENGINECOST_H
#define SYCAMOREREACH_ROUTING_ENGINECOST_H

#include <cstdint>

namespace Routing {

/// What model requests cost an engine, from the engines' published figures:
/// they read 56.9 prompt tokens in a millisecond, and each running request
/// adds 0.102 ms to the step that makes one token for all of them.
struct EngineCost {
  static constexpr double PromptTokensPerMillisecond = 56.9;
  static constexpr double MillisecondsPerOutputToken = 0.102;

  /// Engine time of one request in milliseconds.
  static double milliseconds(std::uint64_t UncachedPromptTokens,
                             double OutputTokens) {
    return static_cast<double>(UncachedPromptTokens) /
               PromptTokensPerMillisecond +
           OutputTokens * MillisecondsPerOutputToken;
  }
};

} // namespace Routing

#endif
