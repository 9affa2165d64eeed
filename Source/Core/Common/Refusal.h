#ifndef SYCAMOREREACH_COMMON_REFUSAL_H
#define SYCAMOREREACH_COMMON_REFUSAL_H

#include "Common/Time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace Common {

/// Why the system did not do what it was asked. Each value has one counter.
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
  NotAccepted,
  AcceptanceUnknown,
  JournalFull,
  Quarantined,
  RetriesExhausted,
  BackendServerFailed,
  AnswerLost,
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

/// What is known about the refused work.
enum class Outcome {
  NotRun,
  Unknown,
};

/// The fixed properties of a reason.
struct RefusalInfo {
  RefusalReason Reason;
  /// Stable name, used in problem documents and counters.
  const char *Name;
  int HttpStatus;
  Common::Outcome Outcome;
  /// Zero where waiting does not help.
  std::chrono::seconds RetryAfter;
  /// What the reader can do about it.
  const char *Remedy;
};

const RefusalInfo &refusalInfo(RefusalReason Reason);

const char *outcomeName(Outcome Value);

/// A refusal with the particulars of this case.
struct Refusal {
  RefusalReason Reason = RefusalReason::UnknownRoute;
  std::string Particulars;

  /// The particulars followed by the remedy.
  std::string detail() const;
  Common::Outcome outcome() const;
};

/// Why work or a message was sent again. Each value has one counter.
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
