#ifndef SYCAMOREREACH_JOURNAL_JOURNALCOMMAND_H
#define SYCAMOREREACH_JOURNAL_JOURNALCOMMAND_H

#include "Common/Ids.h"
#include "Common/Time.h"
#include "Network/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Commands of the journal of non-repeatable requests, as stored in the
/// replicated log, and their results.

namespace Journal {

/// Identifies a request. Includes the caller, so that equal idempotency keys of
/// two callers do not collide.
struct RequestKey {
  Common::CallerId Caller;
  Common::IdempotencyKey Key;

  auto operator<=>(const RequestKey &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Caller, this->Key);
  }
};

/// The entry daemon process that runs a request.
struct Owner {
  Common::DaemonId Daemon;
  Common::Incarnation Incarnation;

  auto operator<=>(const Owner &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Daemon, this->Incarnation);
  }
};

/// Number of a claim of one request, counted from 1.
using Attempt = Common::StrongNumber<struct AttemptTag>;

/// The request as sent to a backend server.
struct RequestContent {
  Common::ServiceName Service;
  Common::PriorityName Priority;
  std::string Method;
  std::string Target;
  Network::HttpHeaders Headers;
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Priority, this->Method, this->Target, this->Headers,
       this->Body);
  }
};

enum class RequestState : std::uint8_t {
  /// Will be executed; no byte has been sent to any backend server.
  Accepted,
  /// May have been sent to the named backend server.
  Claimed,
  Completed,
  /// Abandoned before any byte was sent.
  NotRun,
  /// May have been sent, and no response was recorded; never sent again.
  Unknown,
};

const char *requestStateName(RequestState State);

/// The part of a request's record that callers and entry daemons may see.
struct RequestView {
  RequestState State = RequestState::Accepted;
  Journal::Owner Owner;
  Journal::Attempt Attempt;
  /// The owner's call that executes the request.
  Common::RequestId CallId;
  Common::BackendServerId BackendServer;
  std::string Fingerprint;
  /// The response of a completed request, while it is retained.
  std::optional<Network::HttpResponse> Response;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->State, this->Owner, this->Attempt, this->CallId,
       this->BackendServer, this->Fingerprint, this->Response);
  }
};

/// Adds a request to the journal.
struct AcceptCommand {
  RequestKey Key;
  /// SHA-256 over method, target and body.
  std::string Fingerprint;
  RequestContent Content;
  Journal::Owner Owner;
  /// Distinguishes a repetition of this command from another call with the same
  /// key.
  Common::RequestId CallId;
  /// How long the response is retained, in milliseconds.
  std::uint64_t RetentionMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Fingerprint, this->Content, this->Owner, this->CallId,
       this->RetentionMilliseconds);
  }
};

/// Reserves a request for one attempt at a backend server, before it is sent.
struct ClaimCommand {
  RequestKey Key;
  Journal::Owner Owner;
  /// The attempt that this claim starts.
  Journal::Attempt Attempt;
  /// Distinguishes two calls of one owner, of which only one may send the
  /// request.
  Common::RequestId CallId;
  Common::BackendServerId BackendServer;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Owner, this->Attempt, this->CallId,
       this->BackendServer);
  }
};

/// Undoes a claim. Issued only if it is certain that no byte of the attempt was
/// sent.
struct ReleaseCommand {
  RequestKey Key;
  Journal::Owner Owner;
  Journal::Attempt Attempt;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Owner, this->Attempt);
  }
};

/// Records the response of a claimed request.
struct CompleteCommand {
  RequestKey Key;
  Journal::Attempt Attempt;
  Network::HttpResponse Response;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Attempt, this->Response);
  }
};

/// Records that a claimed request has no response and may have been executed.
struct MarkUnknownCommand {
  RequestKey Key;
  Journal::Attempt Attempt;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Attempt);
  }
};

/// Abandons a request that is accepted and not claimed.
struct WithdrawCommand {
  RequestKey Key;
  Journal::Owner Owner;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Owner);
  }
};

/// Takes over the requests of a failed entry daemon: accepted requests get a
/// new owner, claimed ones become unknown.
struct TakeOverCommand {
  Common::DaemonId From;
  /// Requests of later incarnations of From are not affected.
  Common::Incarnation MaxIncarnation;
  Journal::Owner To;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->MaxIncarnation, this->To);
  }
};

enum class JournalStatus : std::uint8_t {
  Done,
  /// The key is known with the same content; the view contains its state.
  Existing,
  /// The key is known with other content.
  KeyReused,
  /// The journal holds RequestJournal::MaxRequests requests.
  Full,
  /// The request's state, owner or attempt does not permit the command.
  Conflict,
  NotFound,
};

struct JournalResult {
  JournalStatus Status = JournalStatus::Done;
  std::optional<RequestView> View;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->View);
  }
};

struct TakenOverRequest {
  RequestKey Key;
  Journal::Attempt Attempt;
  RequestContent Content;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Attempt, this->Content);
  }
};

struct TakeOverResult {
  std::vector<TakenOverRequest> Requests;
  /// Whether requests are left over; the command must then be sent again.
  bool HasMore = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Requests, this->HasMore);
  }
};

} // namespace Journal

#endif
