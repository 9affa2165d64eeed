#include "Routing/ServerCondition.h"

#include <algorithm>

namespace Routing {

namespace {

/// Initial and maximum time for which an unreachable server is avoided.
constexpr Common::Duration InitialBackoff = std::chrono::milliseconds(400);
constexpr Common::Duration MaxBackoff = std::chrono::milliseconds(3200);
/// How long a server counts as full after it rejected a request; about the time
/// after which the loads of the other daemons are known.
constexpr Common::Duration FullDuration = std::chrono::milliseconds(400);

} // namespace

std::optional<Common::TimePoint>
ServerCondition::recordRetryAfter(Common::Duration Asked,
                                  Common::TimePoint Now) {
  if (Asked <= Common::Duration::zero())
    return std::nullopt;
  this->AwaitsProbe = true;
  this->AskedUntil = std::max(this->AskedUntil, Now + Asked);
  const Common::TimePoint Until = Now + std::min(Asked, this->RestLimit);
  if (Until <= this->RestUntil)
    return std::nullopt;
  this->RestUntil = Until;
  // The probe has its answer, or was sent before this one came.
  this->ProbeSentAt.reset();
  return Until;
}

void ServerCondition::recordRejection(Common::TimePoint Now) {
  this->FullUntil = std::max(this->FullUntil, Now + FullDuration);
}

void ServerCondition::recordUnreachable(Common::TimePoint Now) {
  ++this->ConsecutiveFailures;
  this->BackoffUntil =
      Now + std::min(MaxBackoff,
                     InitialBackoff *
                         (1 << std::min(this->ConsecutiveFailures - 1, 3u)));
}

bool ServerCondition::recordAnswer(Common::TimePoint SentAt) {
  const bool IsProbe = this->ProbeSentAt == SentAt;
  if (!this->AwaitsProbe || (!IsProbe && SentAt < this->RestUntil))
    return false;
  this->AwaitsProbe = false;
  this->ProbeSentAt.reset();
  this->RestUntil = {};
  this->AskedUntil = {};
  this->RestLimit = MaxRest;
  return true;
}

bool ServerCondition::recordSent(Common::TimePoint Now) {
  if (!this->AwaitsProbe || this->isResting(Now))
    return false;
  this->ProbeSentAt = Now;
  if (Now >= this->AskedUntil) {
    this->RestLimit = MaxRest;
    return true;
  }
  // Whether or not the probe is answered, the server has asked for longer.
  this->RestLimit *= MaxRestGrowth;
  this->RestUntil = std::min(this->AskedUntil, Now + this->RestLimit);
  return true;
}

void ServerCondition::recordEnd(Common::TimePoint SentAt) {
  if (this->ProbeSentAt == SentAt)
    this->ProbeSentAt.reset();
}

bool ServerCondition::acceptsRequests(Common::TimePoint Now) const {
  if (this->isResting(Now))
    return false;
  return !this->AwaitsProbe || !this->ProbeSentAt ||
         Now - *this->ProbeSentAt >= ProbeTimeout;
}

} // namespace Routing
