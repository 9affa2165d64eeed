#ifndef SYCAMOREREACH_ROUTING_RETRYSHARE_H
#define SYCAMOREREACH_ROUTING_RETRYSHARE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

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
///
/// The part is held like a lease, as other daemons get bigger parts once the
/// leader no longer counts this one. It may be used only for a short time after
/// the latest answered poll, and only if it has been held for a window, so that
/// what an earlier process or the others have used of it is in no common window
/// with new retries. A smaller count of daemons takes effect as late, a larger
/// one at once.
class RetryShare {
public:
  /// The part may be used for this long after an answered poll was sent. The
  /// leader counts a daemon for longer than that after receiving its poll.
  static constexpr Common::Duration PartValidity =
      std::chrono::milliseconds(2500);

  explicit RetryShare(RetryShareOptions Options) : Options(Options) {}

  /// Takes the number of daemons that the leader counts, from the answer to a
  /// poll that was sent at SentAt.
  void updateDaemons(std::size_t Count, Common::TimePoint SentAt,
                     Common::TimePoint Now) {
    if (!this->PolledAt || SentAt - *this->PolledAt > MaxPollGap)
      this->HeldSince = Now;
    this->PolledAt = std::max(this->PolledAt.value_or(SentAt), SentAt);
    // Decreasing counts, so that the first one is the highest.
    while (!this->Counts.empty() && this->Counts.back().Count <= Count)
      this->Counts.pop_back();
    this->Counts.push_back({std::max<std::size_t>(Count, 1), Now});
    // The latest count that included a daemon may be a poll gap older than the
    // end of the part of that daemon.
    while (Now - this->Counts.front().ReceivedAt >
           this->settleTime() + MaxPollGap)
      this->Counts.pop_front();
  }
  /// Number of daemons among which the extra retries are shared, or 0 while
  /// this daemon has no part in them.
  std::size_t sharingDaemons(Common::TimePoint Now) const {
    if (!this->PolledAt || Now - *this->PolledAt > PartValidity ||
        Now - this->HeldSince <= this->settleTime())
      return 0;
    return this->Counts.front().Count;
  }
  void recordRequest(const Common::ServiceName &Service,
                     Common::TimePoint Now) {
    History &Recent = this->Services[Service];
    removeOlder(Recent.Requests, Now - this->Options.Window);
    Recent.Requests.push_back(Now);
  }
  /// Consumes one retry; returns false if this daemon's share for the window is
  /// exhausted.
  bool tryConsume(const Common::ServiceName &Service, Common::TimePoint Now) {
    History &Recent = this->Services[Service];
    removeOlder(Recent.Requests, Now - this->Options.Window);
    removeOlder(Recent.Retries, Now - this->Options.Window - MaxWriteDelay);
    const std::size_t Sharing = this->sharingDaemons(Now);
    const double Part =
        Sharing == 0 ? 0 : this->Options.Extra / static_cast<double>(Sharing);
    const double Allowed =
        SafetyFactor *
        (this->Options.Ratio * static_cast<double>(Recent.Requests.size()) +
         Part);
    if (static_cast<double>(Recent.Retries.size()) + 1 > Allowed)
      return false;
    Recent.Retries.push_back(Now);
    return true;
  }

private:
  /// Keeps the total below the budget while daemons join and leave and their
  /// windows are not aligned.
  static constexpr double SafetyFactor = 0.8;
  /// A retry is written up to this long after it was decided, as it may wait
  /// for connections to several unreachable servers in turn.
  static constexpr Common::Duration MaxWriteDelay = std::chrono::seconds(1);
  /// Time from when the leader last answered a daemon until no retry of its
  /// part is written any more: PartValidity, MaxWriteDelay, and the time for
  /// which a leader that is cut off still answers.
  static constexpr Common::Duration PartEndTime = std::chrono::seconds(4);
  /// With a longer time between answered polls, the others may have taken up
  /// bigger parts. Longer than the change of a leader takes.
  static constexpr Common::Duration MaxPollGap = std::chrono::seconds(5);

  struct History {
    std::deque<Common::TimePoint> Requests;
    std::deque<Common::TimePoint> Retries;
  };
  struct DaemonCount {
    std::size_t Count;
    Common::TimePoint ReceivedAt;
  };
  /// Time after which the retries of a part that has ended are in no common
  /// window with new ones.
  Common::Duration settleTime() const {
    return this->Options.Window + PartEndTime;
  }
  static void removeOlder(std::deque<Common::TimePoint> &Times,
                          Common::TimePoint Than) {
    while (!Times.empty() && Times.front() < Than)
      Times.pop_front();
  }

  RetryShareOptions Options;
  std::optional<Common::TimePoint> PolledAt;
  Common::TimePoint HeldSince;
  std::deque<DaemonCount> Counts;
  std::map<Common::ServiceName, History> Services;
};

} // namespace Routing

#endif
