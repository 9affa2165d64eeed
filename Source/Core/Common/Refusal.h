#ifndef SYCAMOREREACH_COMMON_REFUSAL_H
#define SYCAMOREREACH_COMMON_REFUSAL_H

#include "Common/Time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Common {

/// Why a request or message was refused. Each value has a counter.
enum class RefusalReason {
  UnknownRoute,
  MethodNotAllowed,
  MissingCallerKey,
  UnknownCallerKey,
  WrongOperatorToken,
  WrongBackendToken,
  BodyTooLarge,
  BadJson,
  BadField,
  UnknownModel,
  UnknownService,
  UnknownPriority,
  PriorityNotAllowed,
  MissingIdempotencyKey,
  BadIdempotencyKey,
  IdempotencyKeyReused,
  RequestNotFound,
  AnswerExpired,
  NoConfiguration,
  ShuttingDown,
  QueueFull,
  TargetUnreachable,
  WaitedTooLong,
  NoBackendServer,
  ServersResting,
  NotAccepted,
  AcceptanceUnknown,
  JournalFull,
  Quarantined,
  RetriesExhausted,
  BackendServerFailed,
  AnswerLost,
  Interrupted,
  CallerDisconnected,
  BadAnnouncement,
  StaleAnnouncement,
  BadStatement,
  VersionConflict,
  ChangeRefused,
  NoLeader,
  StaleFencingNumber,
  DamagedFrame,
  ForeignFrame,
  OversizedFrame,
  UndecodableFrame,
};

inline constexpr std::size_t RefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::UndecodableFrame) + 1;

/// Whether the refused request was executed.
enum class Outcome {
  NotExecuted,
  /// It may have been executed.
  Unknown,
};

/// The properties of a refusal reason.
struct RefusalInfo {
  RefusalReason Reason;
  /// Stable name in problem documents and metrics.
  const char *Name;
  int HttpStatus;
  Common::Outcome Outcome;
  /// When to retry; zero if retrying does not help.
  std::chrono::seconds RetryAfter;
  /// What the caller or operator can do about it.
  const char *Remedy;
};

const RefusalInfo &refusalInfo(RefusalReason Reason);

const char *outcomeName(Outcome Value);

/// A refusal of one request or message.
struct Refusal {
  RefusalReason Reason = RefusalReason::UnknownRoute;
  /// Specific to this refusal; may be empty.
  std::string Details;
  /// When to retry, if more is known than the reason's RetryAfter.
  std::optional<Common::Duration> RetryAfter = std::nullopt;

  /// The details, if any, followed by the remedy.
  std::string detail() const;
  Common::Outcome outcome() const;
};

/// Why a request or message was retried. Each value has a counter.
enum class RetryReason {
  ConnectFailed,
  ConnectionLost,
  ServerError,
  StreamBroken,
  Preempted,
  SuspectIsolated,
  StateLeaderMoved,
  StateTimeout,
};

inline constexpr std::size_t RetryReasonCount =
    static_cast<std::size_t>(RetryReason::StateTimeout) + 1;

const char *retryReasonName(RetryReason Reason);

} // namespace Common

#endif
