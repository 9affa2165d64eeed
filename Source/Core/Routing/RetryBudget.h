#ifndef SYCAMOREREACH_ROUTING_RETRYBUDGET_H
#define SYCAMOREREACH_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace Routing {

/// Lets retries be at most a share of the traffic, so that failing servers
/// do not cause a storm.
class RetryBudget {
public:
  static constexpr double RetryRatio = 0.1;
  /// Retries that are possible before any traffic was seen.
  static constexpr double InitialTokens = 10;

  void recordRequest() {
    this->Tokens = std::min(this->Tokens + RetryRatio, MaxTokens);
  }
  /// False when the budget is used up.
  bool tryConsume() {
    if (this->Tokens < 1)
      return false;
    this->Tokens -= 1;
    return true;
  }
  double tokens() const { return this->Tokens; }

private:
  static constexpr double MaxTokens = 100;
  double Tokens = InitialTokens;
};

} // namespace Routing

#endif
