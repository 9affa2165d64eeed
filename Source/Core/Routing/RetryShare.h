#ifndef SYCAMOREREACH_ROUTING_RETRYSHARE_H
#define SYCAMOREREACH_ROUTING_RETRYSHARE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <algorithm>
#include <deque>
#include <map>

namespace Routing {

struct RetryShareOptions {
  /// Repeats allowed for each request to a service.
  double Ratio = 0;
  /// Repeats allowed besides, for all daemons together.
  double Extra = 0;
  Common::Duration Window = std::chrono::seconds(10);
};

/// One daemon's part of a retry budget that all entry daemons share: a ratio
/// of its own requests, and an equal part of the extra.
class RetryShare {
public:
  explicit RetryShare(RetryShareOptions Options) : Options(Options) {}

  void setDaemons(std::size_t Count) {
    this->Daemons = std::max<std::size_t>(Count, 1);
  }
  void requestSeen(const Common::ServiceName &Service, Common::TimePoint Now) {
    History &Of = this->Services[Service];
    this->forget(Of.Requests, Now);
    Of.Requests.push_back(Now);
  }
  /// Spends one repeat; false when the window's part is used up.
  bool take(const Common::ServiceName &Service, Common::TimePoint Now) {
    History &Of = this->Services[Service];
    this->forget(Of.Requests, Now);
    this->forget(Of.Repeats, Now);
    const double Allowed =
        SafeShare *
        (this->Options.Ratio * static_cast<double>(Of.Requests.size()) +
         this->Options.Extra / static_cast<double>(this->Daemons));
    if (static_cast<double>(Of.Repeats.size()) + 1 > Allowed)
      return false;
    Of.Repeats.push_back(Now);
    return true;
  }

private:
  /// Kept below the bound, as daemons come and go and windows slide.
  static constexpr double SafeShare = 0.8;
  struct History {
    std::deque<Common::TimePoint> Requests;
    std::deque<Common::TimePoint> Repeats;
  };
  void forget(std::deque<Common::TimePoint> &Of, Common::TimePoint Now) const {
    while (!Of.empty() && Now - Of.front() > this->Options.Window)
      Of.pop_front();
  }

  RetryShareOptions Options;
  std::size_t Daemons = 8;
  std::map<Common::ServiceName, History> Services;
};

} // namespace Routing

#endif
