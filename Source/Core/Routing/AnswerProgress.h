#ifndef SYCAMOREREACH_ROUTING_ANSWERPROGRESS_H
#define SYCAMOREREACH_ROUTING_ANSWERPROGRESS_H

#include "Common/Time.h"

#include <algorithm>
#include <optional>

namespace Routing {

/// How far a server has come with writing one answer. A request that crashes
/// the servers that begin to write its answer does so soon after it has begun,
/// so a server that has written for longer has survived the request.
class AnswerProgress {
public:
  /// Records that the head of the answer, or bytes of its body, arrived.
  void recordBytes(Common::TimePoint Now) {
    if (!this->BeganAt)
      this->BeganAt = Now;
    else
      this->WritingTime += std::min(MaxCountedGap, elapsed(*this->LastAt, Now));
    this->LastAt = Now;
  }
  /// Records that the answer is complete by its own framing. An answer that
  /// ends with its connection may have been cut off, so it does not count.
  void recordFramedEnd(Common::TimePoint Now) {
    this->recordBytes(Now);
    this->WritingTime = std::max(this->WritingTime, SurvivalTime);
  }
  const std::optional<Common::TimePoint> &beganAt() const {
    return this->BeganAt;
  }
  bool hasSurvived() const { return this->WritingTime >= SurvivalTime; }

private:
  static constexpr Common::Duration SurvivalTime =
      std::chrono::milliseconds(500);
  /// A longer gap counts as this much: the daemon itself may have been stopped
  /// while the bytes and the end of the connection were waiting for it.
  static constexpr Common::Duration MaxCountedGap =
      std::chrono::milliseconds(100);

  static Common::Duration elapsed(Common::TimePoint From,
                                  Common::TimePoint To) {
    return std::chrono::duration_cast<Common::Duration>(To - From);
  }

  std::optional<Common::TimePoint> BeganAt;
  std::optional<Common::TimePoint> LastAt;
  Common::Duration WritingTime{};
};

} // namespace Routing

#endif
