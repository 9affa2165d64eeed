#include "Common/Refusal.h"

#include <array>

namespace Common {

namespace {

using std::chrono::seconds;

constexpr std::array<RefusalInfo, RefusalReasonCount> RefusalTable = {{
    {RefusalReason::UnknownRoute, "unknown_route", 404, Outcome::NotExecuted,
     seconds(0), "check the path against the interface in docs/OPERATING.md"},
    {RefusalReason::MethodNotAllowed, "method_not_allowed", 405,
     Outcome::NotExecuted, seconds(0),
     "use the method that this path documents"},
    {RefusalReason::MissingCallerKey, "missing_caller_key", 401,
     Outcome::NotExecuted, seconds(0),
     "send 'Authorization: Bearer KEY' with the caller's key"},
    {RefusalReason::UnknownCallerKey, "unknown_caller_key", 401,
     Outcome::NotExecuted, seconds(0),
     "use a key whose hash is declared, or declare the caller"},
    {RefusalReason::WrongOperatorToken, "wrong_operator_token", 401,
     Outcome::NotExecuted, seconds(0),
     "send 'Authorization: Bearer TOKEN' with the operators' token"},
    {RefusalReason::WrongBackendToken, "wrong_backend_token", 401,
     Outcome::NotExecuted, seconds(0),
     "send 'Authorization: Bearer TOKEN' with the backend servers' token"},
    {RefusalReason::BodyTooLarge, "body_too_large", 413, Outcome::NotExecuted,
     seconds(0), "send a smaller body"},
    {RefusalReason::BadJson, "bad_json", 400, Outcome::NotExecuted, seconds(0),
     "send one valid JSON object"},
    {RefusalReason::BadField, "bad_field", 400, Outcome::NotExecuted,
     seconds(0), "correct the named field"},
    {RefusalReason::UnknownModel, "unknown_model", 404, Outcome::NotExecuted,
     seconds(0), "use a declared model service; see 'show services'"},
    {RefusalReason::UnknownService, "unknown_service", 404,
     Outcome::NotExecuted, seconds(0),
     "use a declared service; see 'show services'"},
    {RefusalReason::UnknownPriority, "unknown_priority", 400,
     Outcome::NotExecuted, seconds(0),
     "use a declared priority; see 'show priorities'"},
    {RefusalReason::PriorityNotAllowed, "priority_not_allowed", 403,
     Outcome::NotExecuted, seconds(0),
     "ask for the caller's own priority or a less urgent one"},
    {RefusalReason::MissingIdempotencyKey, "missing_idempotency_key", 400,
     Outcome::NotExecuted, seconds(0),
     "send an Idempotency-Key header; the same key repeats safely"},
    {RefusalReason::BadIdempotencyKey, "bad_idempotency_key", 400,
     Outcome::NotExecuted, seconds(0),
     "use 1 to 128 visible ASCII characters as the key"},
    {RefusalReason::IdempotencyKeyReused, "idempotency_key_reused", 422,
     Outcome::NotExecuted, seconds(0), "use a new key for a different request"},
    {RefusalReason::RequestNotFound, "request_not_found", 404,
     Outcome::NotExecuted, seconds(0),
     "send the request; no request with this key was accepted"},
    {RefusalReason::AnswerExpired, "answer_expired", 410, Outcome::Unknown,
     seconds(0),
     "ask the service itself; the request was accepted before and its "
     "answer is no longer kept"},
    {RefusalReason::NoConfiguration, "no_configuration", 503,
     Outcome::NotExecuted, seconds(1),
     "retry soon; this daemon has not received a configuration"},
    {RefusalReason::ShuttingDown, "shutting_down", 503, Outcome::NotExecuted,
     seconds(1), "retry; another entry host takes the request"},
    {RefusalReason::QueueFull, "queue_full", 503, Outcome::NotExecuted,
     seconds(2), "retry after the given time, or declare more capacity"},
    {RefusalReason::TargetUnreachable, "target_unreachable", 503,
     Outcome::NotExecuted, seconds(2),
     "retry after the given time, or use a priority with a longer target"},
    {RefusalReason::WaitedTooLong, "waited_too_long", 503, Outcome::NotExecuted,
     seconds(2), "retry after the given time; the request was never started"},
    {RefusalReason::NoBackendServer, "no_backend_server", 503,
     Outcome::NotExecuted, seconds(2),
     "retry; no backend server announces this service now"},
    {RefusalReason::ServersResting, "servers_resting", 503,
     Outcome::NotExecuted, seconds(2),
     "retry after the given time; until then, all backend servers of the "
     "service have asked for no requests"},
    {RefusalReason::NotAccepted, "not_accepted", 503, Outcome::NotExecuted,
     seconds(1),
     "retry with the same key; no quorum of state hosts is "
     "reachable from here"},
    {RefusalReason::AcceptanceUnknown, "acceptance_unknown", 503,
     Outcome::Unknown, seconds(1),
     "send it again with the same key, or ask GET /v1/requests/KEY"},
    {RefusalReason::JournalFull, "journal_full", 503, Outcome::NotExecuted,
     seconds(30), "retry later, or declare a shorter 'keep' time"},
    {RefusalReason::Quarantined, "quarantined", 422, Outcome::NotExecuted,
     seconds(0), "change the request; it crashed several servers"},
    {RefusalReason::RetriesExhausted, "retries_exhausted", 502,
     Outcome::Unknown, seconds(2), "retry later; several servers failed"},
    {RefusalReason::BackendServerFailed, "backend_server_failed", 502,
     Outcome::Unknown, seconds(1), "retry if the call may be repeated"},
    {RefusalReason::AnswerLost, "answer_lost", 502, Outcome::Unknown,
     seconds(0),
     "ask GET /v1/requests/KEY later, then the service itself; it is not "
     "sent again"},
    {RefusalReason::Interrupted, "interrupted", 502, Outcome::Unknown,
     seconds(1),
     "retry if the call may be repeated; the daemon stopped before the answer "
     "was complete"},
    {RefusalReason::CallerDisconnected, "caller_disconnected", 499,
     Outcome::Unknown, seconds(0), "keep the connection open for the answer"},
    {RefusalReason::BadAnnouncement, "bad_announcement", 400,
     Outcome::NotExecuted, seconds(0),
     "correct the named field of the announcement"},
    {RefusalReason::StaleAnnouncement, "stale_announcement", 409,
     Outcome::NotExecuted, seconds(0),
     "raise the sequence, or the incarnation after a restart"},
    {RefusalReason::BadStatement, "bad_statement", 400, Outcome::NotExecuted,
     seconds(0), "type 'help' for the statements"},
    {RefusalReason::VersionConflict, "version_conflict", 409,
     Outcome::NotExecuted, seconds(0),
     "look at the current configuration, then change it again"},
    {RefusalReason::ChangeRefused, "change_refused", 409, Outcome::NotExecuted,
     seconds(0), "correct the named value"},
    {RefusalReason::NoLeader, "no_leader", 503, Outcome::Unknown, seconds(1),
     "send the same command id again; no state leader answered in time"},
    {RefusalReason::StaleFencingNumber, "stale_fencing_number", 409,
     Outcome::NotExecuted, seconds(0), "acquire the lease again"},
    {RefusalReason::DamagedFrame, "damaged_frame", 400, Outcome::NotExecuted,
     seconds(0), "check the sender's version and the network"},
    {RefusalReason::ForeignFrame, "foreign_frame", 401, Outcome::NotExecuted,
     seconds(0), "give all daemons the same SYCAMORE_CLUSTER_KEY"},
    {RefusalReason::OversizedFrame, "oversized_frame", 413,
     Outcome::NotExecuted, seconds(0),
     "check the sender's version; the frame exceeds the size limit"},
    {RefusalReason::UndecodableFrame, "undecodable_frame", 400,
     Outcome::NotExecuted, seconds(0), "run the same version on all daemons"},
}};

constexpr std::array<const char *, RetryReasonCount> RetryReasonNames = {
    "connect_failed",     "connection_lost", "server_error",
    "stream_broken",      "preempted",       "suspect_isolated",
    "state_leader_moved", "state_timeout"};

constexpr bool isRefusalTableOrdered() {
  for (std::size_t I = 0; I < RefusalTable.size(); ++I)
    if (static_cast<std::size_t>(RefusalTable[I].Reason) != I)
      return false;
  return true;
}
static_assert(isRefusalTableOrdered(), "the table is indexed by RefusalReason");

} // namespace

const RefusalInfo &refusalInfo(RefusalReason Reason) {
  return RefusalTable[static_cast<std::size_t>(Reason)];
}

const char *outcomeName(Outcome Value) {
  return Value == Outcome::NotExecuted ? "not_run" : "unknown";
}

std::string Refusal::detail() const {
  const std::string Remedy = refusalInfo(this->Reason).Remedy;
  return this->Details.empty() ? Remedy : this->Details + "; " + Remedy;
}

Outcome Refusal::outcome() const { return refusalInfo(this->Reason).Outcome; }

const char *retryReasonName(RetryReason Reason) {
  return RetryReasonNames[static_cast<std::size_t>(Reason)];
}

} // namespace Common
