#ifndef SYCAMOREREACH_ROUTING_RETRYBUDGET_H
#define SYCAMOREREACH_ROUTING_RETRYBUDGET_H

#include <algorithm>

namespace Routing {

/// Limits retries to a fraction of the traffic, so that failing servers do not
/// cause a retry storm.
class RetryBudget {
public:
  static constexpr double RetryRatio = 0.1;
  /// Retries available before any request was seen.
  static constexpr double InitialTokens = 10;

  void recordRequest() {
    this->Tokens = std::min(this->Tokens + RetryRatio, MaxTokens);
  }
  /// Consumes one retry; returns false if the budget is exhausted.
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
