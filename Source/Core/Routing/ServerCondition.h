#ifndef SYCAMOREREACH_ROUTING_SERVERCONDITION_H
#define SYCAMOREREACH_ROUTING_SERVERCONDITION_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <optional>

namespace Routing {

/// Whether one lifetime of a backend server takes requests from this daemon, by
/// what the server said in its answers and how requests to it ended. A rest
/// that the server asked for forbids requests; a full or unreachable server is
/// only avoided. What is learnt about a lifetime ends with it.
class ServerCondition {
public:
  /// A server that asks for longer, in error or not, is probed with a single
  /// request after this time, so that a wrong value does not take it out for
  /// long.
  static constexpr Common::Duration MaxRest = std::chrono::seconds(60);
  /// Factor on that time for each further probe within the time that the server
  /// asked for. No more than two probes reach it in an hour.
  static constexpr int MaxRestGrowth = 8;
  /// A probe that is not answered for this long does not hold back others.
  static constexpr Common::Duration ProbeTimeout = std::chrono::seconds(1);

  explicit ServerCondition(Common::Incarnation Lifetime)
      : ServerLifetime(Lifetime) {}

  Common::Incarnation lifetime() const { return this->ServerLifetime; }

  /// The server asked to get no requests for a time. Returns the end of the
  /// rest if this changed it.
  std::optional<Common::TimePoint> recordRetryAfter(Common::Duration Asked,
                                                    Common::TimePoint Now);
  /// The server rejected a request.
  void recordRejection(Common::TimePoint Now);
  /// The server could not be reached or broke its connection.
  void recordUnreachable(Common::TimePoint Now);
  /// The server began to answer a request that was sent at SentAt and was not
  /// rejected. Returns whether this ended a rest or the probing after it.
  bool recordAnswer(Common::TimePoint SentAt);
  /// The server completed an answer, so it is reachable.
  void recordCompleteAnswer() { this->ConsecutiveFailures = 0; }
  /// A request is sent. Returns whether it is a probe after a rest.
  bool recordSent(Common::TimePoint Now);
  /// A request that was sent at SentAt ended, in whatever way.
  void recordEnd(Common::TimePoint SentAt);

  /// Whether the server has asked for no requests now.
  bool isResting(Common::TimePoint Now) const { return Now < this->RestUntil; }
  /// Whether the server may be chosen for a request. After a rest, requests are
  /// sent one at a time until one is not rejected.
  bool acceptsRequests(Common::TimePoint Now) const;
  /// Whether the request for which the server was chosen at SentAt may still be
  /// written to it.
  bool mayWrite(Common::TimePoint SentAt, Common::TimePoint Now) const {
    return !this->isResting(Now) || this->ProbeSentAt == SentAt;
  }
  Common::TimePoint restEnd() const { return this->RestUntil; }
  bool isFull(Common::TimePoint Now) const { return Now < this->FullUntil; }
  bool isInBackoff(Common::TimePoint Now) const {
    return Now < this->BackoffUntil;
  }

private:
  Common::Incarnation ServerLifetime;
  Common::TimePoint RestUntil;
  /// The end of the time that the server asked for; later than RestUntil if
  /// that is limited.
  Common::TimePoint AskedUntil;
  Common::Duration RestLimit = MaxRest;
  /// The server has asked for rest and has taken no request since its end.
  bool AwaitsProbe = false;
  /// While a probe has no answer.
  std::optional<Common::TimePoint> ProbeSentAt;
  /// Until when the server counts as full after it rejected a request.
  Common::TimePoint FullUntil;
  Common::TimePoint BackoffUntil;
  std::uint32_t ConsecutiveFailures = 0;
};

} // namespace Routing

#endif
