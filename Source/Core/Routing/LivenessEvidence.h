#ifndef SYCAMOREREACH_ROUTING_LIVENESSEVIDENCE_H
#define SYCAMOREREACH_ROUTING_LIVENESSEVIDENCE_H

#include "Common/Time.h"
#include "Routing/ServerIncarnation.h"

#include <deque>
#include <map>

namespace Routing {

/// What one entry daemon's answers prove about whether a server process ran at
/// a time. Unlike an announcement, which may arrive seconds late, bytes of an
/// answer prove it by the time of their request: a process that crashed in
/// between would have ended the answer.
class LivenessEvidence {
public:
  /// Records that bytes of the answer to a request that was sent at SentAt
  /// arrived.
  void recordBytes(const ServerIncarnation &Server, Common::TimePoint SentAt,
                   Common::TimePoint Now);
  /// Whether the server process is proved to have run on after the time Time at
  /// which another answer of it broke off.
  bool hasSurvived(const ServerIncarnation &Server,
                   Common::TimePoint Time) const;
  void removeExpired(Common::TimePoint Now);

private:
  /// Bytes that arrive sooner after a crash may have been sent before it.
  static constexpr Common::Duration MessageDelay =
      std::chrono::milliseconds(300);
  /// A request that is sent later than this after a crash may be answered by
  /// the next process with the same id, which takes seconds to start.
  static constexpr Common::Duration MaxRequestDelay =
      std::chrono::milliseconds(700);
  static constexpr Common::Duration Retention = std::chrono::seconds(12);
  static constexpr std::size_t MaxAnswersPerServer = 16;

  struct Answer {
    Common::TimePoint SentAt;
    Common::TimePoint LastBytesAt;
  };
  /// The answers with the latest bytes, in ascending order of their requests'
  /// times.
  std::map<ServerIncarnation, std::deque<Answer>> Answers;
};

} // namespace Routing

#endif
