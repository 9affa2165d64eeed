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
/// Commands of the journal of requests that may not be repeated, as they
/// stand in the replicated log, and their results.

namespace Journal {

/// The name of a request. It includes the caller, so that two callers with
/// the same key never meet.
struct RequestKey {
  Common::CallerId Caller;
  Common::IdempotencyKey Key;

  auto operator<=>(const RequestKey &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Caller, this->Key);
  }
};

/// The entry daemon that runs a request, in one of its lives.
struct Owner {
  Common::DaemonId Daemon;
  Common::Incarnation Life;

  auto operator<=>(const Owner &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Daemon, this->Life);
  }
};

/// Counts the claims of one request.
using Attempt = Common::StrongNumber<struct AttemptTag>;

/// What is sent to a backend server.
struct CallContent {
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
  /// Will be run; no byte was sent to any backend server.
  Accepted,
  /// May have been sent to the named backend server.
  Claimed,
  Completed,
  /// Given up before any byte was sent.
  NotRun,
  /// Sent, and the answer was lost; never sent again.
  Unknown,
};

const char *requestStateName(RequestState State);

/// What callers and entry daemons may know of a request.
struct RequestView {
  RequestState State = RequestState::Accepted;
  Journal::Owner Owner;
  Journal::Attempt Attempt;
  /// The call of the owner that runs the request.
  Common::RequestId Runner;
  Common::BackendServerId BackendServer;
  std::string Fingerprint;
  /// Present while a completed answer is kept.
  std::optional<Network::HttpResponse> Answer;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->State, this->Owner, this->Attempt, this->Runner,
       this->BackendServer, this->Fingerprint, this->Answer);
  }
};

struct AcceptCommand {
  RequestKey Key;
  /// SHA-256 over method, target and body.
  std::string Fingerprint;
  CallContent Content;
  Journal::Owner Owner;
  /// Tells a repeat of this command from another call with the same key.
  Common::RequestId Runner;
  /// How long the answer is kept, in milliseconds.
  std::uint64_t KeepMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Fingerprint, this->Content, this->Owner, this->Runner,
       this->KeepMilliseconds);
  }
};

struct ClaimCommand {
  RequestKey Key;
  Journal::Owner Owner;
  /// The attempt that this claim starts.
  Journal::Attempt Attempt;
  /// Tells two calls of one owner apart, of which only one may send.
  Common::RequestId Runner;
  Common::BackendServerId BackendServer;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Owner, this->Attempt, this->Runner,
       this->BackendServer);
  }
};

/// Given only with proof that no byte of the attempt was sent.
struct ReleaseCommand {
  RequestKey Key;
  Journal::Owner Owner;
  Journal::Attempt Attempt;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Owner, this->Attempt);
  }
};

struct CompleteCommand {
  RequestKey Key;
  Journal::Attempt Attempt;
  Network::HttpResponse Answer;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Attempt, this->Answer);
  }
};

struct MarkUnknownCommand {
  RequestKey Key;
  Journal::Attempt Attempt;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Attempt);
  }
};

/// Gives up a request that is accepted and not claimed.
struct WithdrawCommand {
  RequestKey Key;
  Journal::Owner Owner;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Owner);
  }
};

/// Moves the requests of a dead entry daemon: accepted ones get a new owner,
/// claimed ones become unknown.
struct TakeOverCommand {
  Common::DaemonId From;
  /// Lives of From after this one are left alone.
  Common::Incarnation UpTo;
  Journal::Owner To;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->UpTo, this->To);
  }
};

enum class JournalVerdict : std::uint8_t {
  Done,
  /// The key is known with the same content; the view tells its state.
  Existing,
  /// The key is known with other content.
  KeyReused,
  /// The journal holds as many requests as it may.
  Full,
  /// The request is not in the state or the hands that the command needs.
  Conflict,
  NotFound,
};

struct JournalResult {
  JournalVerdict Verdict = JournalVerdict::Done;
  std::optional<RequestView> View;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Verdict, this->View);
  }
};

struct TakenRequest {
  RequestKey Key;
  Journal::Attempt Attempt;
  CallContent Content;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Attempt, this->Content);
  }
};

struct TakeOverResult {
  std::vector<TakenRequest> Taken;
  /// More are left; send the command again.
  bool More = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Taken, this->More);
  }
};

} // namespace Journal

#endif
