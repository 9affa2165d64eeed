#ifndef SYCAMOREREACH_ROUTING_RETRYSHARE_H
#define SYCAMOREREACH_ROUTING_RETRYSHARE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <algorithm>
#include <deque>
#include <map>

namespace Routing {

struct RetryShareOptions {
  /// Retries allowed per request to a service.
  double Ratio = 0;
  /// Retries allowed in addition within a window, for all daemons together.
  double Extra = 0;
  Common::Duration Window = std::chrono::seconds(10);
};

/// One daemon's share of a retry budget that all entry daemons share: a ratio
/// of its own requests plus an equal part of the extra retries.
class RetryShare {
public:
  explicit RetryShare(RetryShareOptions Options) : Options(Options) {}

  void setDaemons(std::size_t Count) {
    this->Daemons = std::max<std::size_t>(Count, 1);
  }
  void recordRequest(const Common::ServiceName &Service,
                     Common::TimePoint Now) {
    History &Recent = this->Services[Service];
    this->removeExpired(Recent.Requests, Now);
    Recent.Requests.push_back(Now);
  }
  /// Consumes one retry; returns false if this daemon's share for the window is
  /// exhausted.
  bool tryConsume(const Common::ServiceName &Service, Common::TimePoint Now) {
    History &Recent = this->Services[Service];
    this->removeExpired(Recent.Requests, Now);
    this->removeExpired(Recent.Retries, Now);
    const double Allowed =
        SafetyFactor *
        (this->Options.Ratio * static_cast<double>(Recent.Requests.size()) +
         this->Options.Extra / static_cast<double>(this->Daemons));
    if (static_cast<double>(Recent.Retries.size()) + 1 > Allowed)
      return false;
    Recent.Retries.push_back(Now);
    return true;
  }

private:
  /// Keeps the total below the budget while daemons join and leave and their
  /// windows are not aligned.
  static constexpr double SafetyFactor = 0.8;
  struct History {
    std::deque<Common::TimePoint> Requests;
    std::deque<Common::TimePoint> Retries;
  };
  void removeExpired(std::deque<Common::TimePoint> &Times,
                     Common::TimePoint Now) const {
    while (!Times.empty() && Now - Times.front() > this->Options.Window)
      Times.pop_front();
  }

  RetryShareOptions Options;
  std::size_t Daemons = 8;
  std::map<Common::ServiceName, History> Services;
};

} // namespace Routing

#endif
