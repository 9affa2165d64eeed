#ifndef SYCAMOREREACH_TELEMETRY_LOGEVENTS_H
#define SYCAMOREREACH_TELEMETRY_LOGEVENTS_H

#include "Telemetry/Log.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <cstddef>
#include <string>

namespace Telemetry {

/// A log event: its level, its name and the names of its fields.
template <std::size_t Count> struct LogEvent {
  LogLevel Level;
  const char *Name;
  std::array<const char *, Count> Fields;
};

/// Writes one line with a value for each of the event's fields, in their order.
/// A call with a missing or an extra value does not compile. Lines beyond the
/// event's rate limit are suppressed; the next line written reports their
/// number as lines_left_out.
template <std::size_t Count, typename... Value>
requires(sizeof...(Value) == Count) void log(const LogEvent<Count> &Event,
                                             const Value &...Values) {
  std::uint64_t SuppressedLines = 0;
  if (!detail::tryConsumeLine(Event.Level, Event.Name, SuppressedLines))
    return;
  std::string Line = absl::StrCat("event=", Event.Name);
  std::size_t FieldIndex = 0;
  ((Line += formatLogField(Event.Fields[FieldIndex++], absl::StrCat(Values))),
   ...);
  if (SuppressedLines != 0)
    Line += formatLogField("lines_left_out", absl::StrCat(SuppressedLines));
  detail::writeLine(Event.Level, Line);
}

/// The log events of all programs. docs/OPERATIONS.md explains them.
namespace Events {

// Requests handled by an entry daemon.
inline constexpr LogEvent<13> RequestSent{
    LogLevel::Info,
    "request_sent",
    {"request", "route", "team", "tokens", "version", "server", "attempts",
     "expected_ms", "uncached", "own", "others", "announced_ms_ago",
     "left_ms"}};
inline constexpr LogEvent<4> RequestServed{
    LogLevel::Info,
    "request_served",
    {"request", "status", "attempts", "after_ms"}};
inline constexpr LogEvent<9> RequestFailed{LogLevel::Warning,
                                           "request_failed",
                                           {"request", "route", "reason",
                                            "status", "attempts", "team",
                                            "tokens", "after_ms", "version"}};
inline constexpr LogEvent<1> RequestUnreadable{
    LogLevel::Info, "request_unreadable", {"reason"}};
inline constexpr LogEvent<7> LoadShed{LogLevel::Warning,
                                      "load_shed",
                                      {"stalled", "largest", "slow_readers",
                                       "responses", "connections", "held_bytes",
                                       "open"}};
inline constexpr LogEvent<5> AttemptFailed{
    LogLevel::Warning,
    "attempt_failed",
    {"request", "server", "reason", "attempts", "retry"}};
inline constexpr LogEvent<6> RequestRepeated{
    LogLevel::Info,
    "request_repeated",
    {"request", "server", "attempts", "connection", "use", "waited_ms"}};
inline constexpr LogEvent<7> RequestRejected{LogLevel::Info,
                                             "request_rejected",
                                             {"request", "server", "connection",
                                              "use", "status", "answer_id",
                                              "sent_ms_ago"}};
inline constexpr LogEvent<7> ForeignAnswer{LogLevel::Warning,
                                           "foreign_answer",
                                           {"request", "answer_id", "server",
                                            "connection", "use", "status",
                                            "not_executed"}};
inline constexpr LogEvent<4> MalformedAnswer{
    LogLevel::Warning,
    "malformed_answer",
    {"request", "server", "connection", "use"}};
inline constexpr LogEvent<11> RunLost{
    LogLevel::Warning,
    "run_lost",
    {"request", "server", "started", "route", "content", "parts", "sent_ms_ago",
     "head_ms_ago", "output_ms_ago", "events", "framing"}};
inline constexpr LogEvent<8> AllowanceShort{LogLevel::Warning,
                                            "allowance_short",
                                            {"request", "team", "tokens",
                                             "number", "rate", "burst",
                                             "waited_ms", "retry_after_ms"}};
inline constexpr LogEvent<9> AdmissionRefused{
    LogLevel::Warning,
    "admission_refused",
    {"request", "service", "rank", "level_rank", "share", "fraction", "by",
     "work_ms", "retry_after_ms"}};
inline constexpr LogEvent<8> AdmissionLevelChanged{
    LogLevel::Warning,
    "admission_level",
    {"service", "rank", "share", "limit_ms", "offered_ms", "served_ms",
     "without_room", "retry_after_ms"}};
inline constexpr LogEvent<5> TokensRefused{
    LogLevel::Warning,
    "tokens_refused",
    {"entry", "number", "team", "tokens", "retry_after_ms"}};
inline constexpr LogEvent<3> ServerSilent{
    LogLevel::Warning, "server_silent", {"request", "server", "silent_ms"}};
inline constexpr LogEvent<4> ServerSpeed{
    LogLevel::Info, "server_speed", {"server", "started", "prefill", "decode"}};
inline constexpr LogEvent<5> Takeover{
    LogLevel::Info, "takeover", {"request", "from", "to", "step", "reason"}};
inline constexpr LogEvent<7> RestRequested{LogLevel::Info,
                                           "rest_requested",
                                           {"request", "server", "started",
                                            "status", "not_executed",
                                            "asked_ms", "sent_ms_ago"}};
inline constexpr LogEvent<6> ServerCondition{
    LogLevel::Info,
    "server_condition",
    {"server", "started", "condition", "source", "request", "for_ms"}};
inline constexpr LogEvent<3> RetryAfterInvalid{
    LogLevel::Warning, "retry_after_invalid", {"request", "server", "detail"}};
inline constexpr LogEvent<3> RequestWrittenLate{
    LogLevel::Info, "request_written_late", {"request", "server", "waited_ms"}};
inline constexpr LogEvent<2> StreamBroken{
    LogLevel::Warning, "stream_broken", {"request", "last_event"}};
inline constexpr LogEvent<1> StreamOutOfTime{
    LogLevel::Warning, "stream_out_of_time", {"request"}};
inline constexpr LogEvent<7> ConnectionCut{LogLevel::Warning,
                                           "connection_cut",
                                           {"request", "reason", "response",
                                            "unsent_bytes", "unread_input",
                                            "after_ms", "shutdown_ms"}};
inline constexpr LogEvent<2> CallerGone{
    LogLevel::Info, "caller_gone", {"request", "after_ms"}};
inline constexpr LogEvent<3> ModelCallRefused{
    LogLevel::Info, "refused", {"reason", "request", "caller"}};
inline constexpr LogEvent<3> JournaledCallRefused{
    LogLevel::Info, "refused", {"reason", "key", "caller"}};

// A daemon's knowledge of backend servers, contents and allowances.
inline constexpr LogEvent<4> ServerKnown{
    LogLevel::Info, "server_known", {"server", "phase", "started", "sequence"}};
inline constexpr LogEvent<3> ServerRecordMissing{
    LogLevel::Warning,
    "server_record_missing",
    {"server", "started", "sequence"}};
inline constexpr LogEvent<4> ServerSetAside{
    LogLevel::Warning,
    "server_set_aside",
    {"server", "service", "address", "started"}};
inline constexpr LogEvent<8> ServerChanged{LogLevel::Info,
                                           "server_changed",
                                           {"server", "service", "datacentre",
                                            "address", "phase", "started",
                                            "sequence", "reclaimable"}};
inline constexpr LogEvent<5> ServerEndDecided{
    LogLevel::Info,
    "server_end_decided",
    {"server", "started", "phase", "outcome", "waited_ms"}};
inline constexpr LogEvent<2> DeregistrationRefused{
    LogLevel::Warning, "deregistration_refused", {"server", "detail"}};
inline constexpr LogEvent<2> HeartbeatRefused{
    LogLevel::Warning, "heartbeat_refused", {"server", "detail"}};
inline constexpr LogEvent<2> ReclaimNotice{
    LogLevel::Info, "reclaim_notice", {"reclaimed_host", "servers"}};
inline constexpr LogEvent<2> ContentRefused{
    LogLevel::Warning, "content_refused", {"content", "servers"}};
inline constexpr LogEvent<5> CrashReported{
    LogLevel::Info,
    "crash_reported",
    {"entry", "content", "server", "started", "servers"}};
inline constexpr LogEvent<5> LostRunReported{
    LogLevel::Info,
    "lost_run_reported",
    {"entry", "server", "started", "causes", "lost_ms_ago"}};
inline constexpr LogEvent<2> CrashDisproved{
    LogLevel::Info, "crash_disproved", {"server", "started"}};
inline constexpr LogEvent<3> PromptRefused{
    LogLevel::Warning,
    "prompt_refused",
    {"causes", "crashes", "first_crash_ms_ago"}};
inline constexpr LogEvent<3> RefusalEnded{
    LogLevel::Info, "refusal_ended", {"causes", "narrowed", "answer_ms_ago"}};
inline constexpr LogEvent<3> RefusalProbed{
    LogLevel::Info, "refusal_probed", {"causes", "entry", "probe"}};
inline constexpr LogEvent<2> RefusalKnown{
    LogLevel::Info, "refusal_known", {"causes", "change"}};
inline constexpr LogEvent<2> ProbeSent{
    LogLevel::Info, "probe_sent", {"request", "route"}};
inline constexpr LogEvent<2> AllowancesLearned{
    LogLevel::Info, "allowances_learned", {"entries", "expected"}};

// Declarations.
inline constexpr LogEvent<1> DeclarationInForce{
    LogLevel::Info, "declaration_in_force", {"version"}};
inline constexpr LogEvent<5> DeclarationReceived{
    LogLevel::Info,
    "declaration_received",
    {"version", "source", "bytes", "outcome", "handling_ms"}};
inline constexpr LogEvent<2> DeclarationDecided{
    LogLevel::Info, "declaration_decided", {"version", "outcome"}};
inline constexpr LogEvent<2> DeclarationNotNewer{
    LogLevel::Info, "declaration_not_newer", {"version", "held"}};
inline constexpr LogEvent<2> DeclarationVersionCorrected{
    LogLevel::Warning,
    "declaration_version_corrected",
    {"stored", "corrected"}};
inline constexpr LogEvent<1> DeclarationRefused{
    LogLevel::Warning, "declaration_refused", {"detail"}};
inline constexpr LogEvent<2> DeclarationUnreadable{
    LogLevel::Error, "declaration_unreadable", {"version", "detail"}};
inline constexpr LogEvent<1> ConfigurationInForce{
    LogLevel::Info, "configuration_in_force", {"version"}};

// The state daemons' consensus group and the connections between daemons.
inline constexpr LogEvent<1> LeadershipGained{
    LogLevel::Info, "leadership_gained", {"term"}};
inline constexpr LogEvent<1> LeadershipLost{
    LogLevel::Info, "leadership_lost", {"term"}};
inline constexpr LogEvent<1> LeaseAcquired{
    LogLevel::Info, "lease_acquired", {"fencing"}};
inline constexpr LogEvent<3> MembersChange{
    LogLevel::Info, "members_change", {"what", "replica", "outcome"}};
inline constexpr LogEvent<1> ProtocolLevelRaised{
    LogLevel::Info, "protocol_level_raised", {"level"}};
inline constexpr LogEvent<4> ReplicaOpened{
    LogLevel::Info, "replica_opened", {"replica", "term", "last", "members"}};
inline constexpr LogEvent<3> StateDaemonJoins{
    LogLevel::Info, "state_daemon_joins", {"replica", "address", "outcome"}};
inline constexpr LogEvent<1> PeerConnected{
    LogLevel::Info, "peer_connected", {"peer"}};
inline constexpr LogEvent<1> PeerLost{LogLevel::Warning, "peer_lost", {"peer"}};
inline constexpr LogEvent<1> EntryConnected{
    LogLevel::Info, "entry_connected", {"entry"}};
inline constexpr LogEvent<1> StateDaemonConnected{
    LogLevel::Info, "state_daemon_connected", {"address"}};
inline constexpr LogEvent<1> StateDaemonLost{
    LogLevel::Warning, "state_daemon_lost", {"address"}};
inline constexpr LogEvent<2> StateDaemonChanged{
    LogLevel::Warning, "state_daemon_changed", {"from", "reason"}};
inline constexpr LogEvent<1> FrameUndecodable{
    LogLevel::Error, "frame_undecodable", {"detail"}};

// Rollouts, at an entry daemon.
inline constexpr LogEvent<9> VersionStanding{LogLevel::Info,
                                             "version_standing",
                                             {"service", "version", "standing",
                                              "rollout", "revision", "target",
                                              "share", "valid", "stopped"}};
inline constexpr LogEvent<4> RolloutStoppedLocally{
    LogLevel::Warning,
    "rollout_stopped_locally",
    {"service", "version", "rollout", "revision"}};
inline constexpr LogEvent<3> StreamMoved{
    LogLevel::Info, "stream_moved", {"request", "server", "last_event"}};
// Rollouts.
inline constexpr LogEvent<5> RolloutOrdered{
    LogLevel::Info,
    "rollout_ordered",
    {"service", "rollout", "target", "duration_ms", "outcome"}};
inline constexpr LogEvent<1> RolloutRefused{
    LogLevel::Warning, "rollout_refused", {"detail"}};
inline constexpr LogEvent<10> RolloutShare{
    LogLevel::Info,
    "rollout_share",
    {"service", "rollout", "target", "phase", "share", "trial_servers",
     "target_requests", "requests", "finding", "figures"}};
inline constexpr LogEvent<6> RolloutEnded{
    LogLevel::Warning,
    "rollout_ended",
    {"service", "rollout", "target", "result", "cause", "figures"}};

// Duties, which only one daemon at a time performs.
inline constexpr LogEvent<2> UsageReport{
    LogLevel::Info, "usage_report", {"window", "status"}};
inline constexpr LogEvent<5> ServersOrdered{
    LogLevel::Info,
    "servers_ordered",
    {"service", "datacentre", "reclaimable", "servers", "status"}};
inline constexpr LogEvent<1> Drain{LogLevel::Info, "drain", {"drained_host"}};

// Life cycle of a process, and its disk.
inline constexpr LogEvent<2> EntryDaemonStarted{
    LogLevel::Info, "started", {"http", "peer"}};
inline constexpr LogEvent<1> GatewayStarted{
    LogLevel::Info, "started", {"http"}};
inline constexpr LogEvent<2> ControllerStarted{
    LogLevel::Info, "started", {"http", "first_start"}};
inline constexpr LogEvent<2> StateDaemonStarted{
    LogLevel::Info, "started", {"replica", "listen"}};
inline constexpr LogEvent<1> FleetDaemonStarted{
    LogLevel::Info, "started", {"holder"}};
inline constexpr LogEvent<1> Reload{LogLevel::Info, "reload", {"changed"}};
inline constexpr LogEvent<1> ReloadFailed{
    LogLevel::Error, "reload_failed", {"detail"}};
inline constexpr LogEvent<1> Readiness{LogLevel::Info, "readiness", {"ready"}};
inline constexpr LogEvent<0> ProcessWasStopped{
    LogLevel::Warning, "process_was_stopped", {}};
inline constexpr LogEvent<1> DiskFailure{
    LogLevel::Error, "disk_failure", {"detail"}};
inline constexpr LogEvent<1> TornLogEndCut{
    LogLevel::Warning, "torn_log_end_cut", {"bytes"}};
inline constexpr LogEvent<0> ShuttingDown{LogLevel::Info, "shutting_down", {}};
inline constexpr LogEvent<1> GatewayShuttingDown{
    LogLevel::Info, "shutting_down", {"open"}};
inline constexpr LogEvent<3> Stopped{
    LogLevel::Info, "stopped", {"open", "reason", "after_ms"}};

} // namespace Events

} // namespace Telemetry

#endif
