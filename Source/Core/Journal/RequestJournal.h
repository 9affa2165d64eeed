#ifndef SYCAMOREREACH_JOURNAL_REQUESTJOURNAL_H
#define SYCAMOREREACH_JOURNAL_REQUESTJOURNAL_H

#include "Journal/JournalCommand.h"

#include <map>
#include <set>

namespace Journal {

/// Tracks every non-repeatable request through its states. Usual transitions:
/// Accepted -> Claimed -> Completed or Unknown, or Accepted -> NotRun. In
/// addition, a release returns Claimed to Accepted, a late response turns
/// Unknown into Completed, and a new call with the same key turns NotRun into
/// Accepted.
/// The journal is replicated state: it changes only by commands from the log,
/// and its time is the commands' timestamps.
class RequestJournal {
public:
  /// Maximum number of requests, with or without a response. When it is
  /// reached, new requests are refused instead of old ones being evicted.
  static constexpr std::size_t MaxRequests = 200'000;
  /// Maximum size of a response body, in bytes; larger responses are not
  /// retained for repeated requests.
  static constexpr std::size_t MaxResponseBytes = 256u << 10;
  /// A TakeOverCommand moves no more requests once its result lists this many,
  /// including those that earlier commands moved.
  static constexpr std::size_t MaxTakeOverBatch = 64;
  /// A request is retained this many times as long as its response.
  static constexpr std::uint64_t RequestRetentionFactor = 30;

  /// Advances the journal's time and removes expired entries; called with the
  /// timestamp of every command.
  void advance(Common::WallTime Timestamp);

  JournalResult apply(const AcceptCommand &Command);
  JournalResult apply(const ClaimCommand &Command);
  JournalResult apply(const ReleaseCommand &Command);
  JournalResult apply(const CompleteCommand &Command);
  JournalResult apply(const MarkUnknownCommand &Command);
  JournalResult apply(const WithdrawCommand &Command);
  TakeOverResult apply(const TakeOverCommand &Command);

  JournalResult find(const RequestKey &Key) const;

  /// Statistics for the metrics.
  struct Counts {
    std::size_t Requests = 0;
    std::size_t Unfinished = 0;
    std::size_t ResponseBytes = 0;
  };
  Counts counts() const;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Now, this->Requests, this->Unfinished, this->Expiries,
       this->ResponseBytes);
  }

private:
  struct Request {
    RequestView View;
    RequestContent Content;
    std::uint64_t RetentionMilliseconds = 0;
    /// When the response, or else the request, expires. Entries of Expiries
    /// with another time are outdated and are ignored.
    Common::WallTime ExpiresAt;
    /// The failed entry daemon that the request was taken over from, if any.
    Common::DaemonId TakenOverFrom;

    template <class Archive> void serialize(Archive &Ar) {
      Ar(this->View, this->Content, this->RetentionMilliseconds,
         this->ExpiresAt, this->TakenOverFrom);
    }
  };
  struct Expiry {
    Common::WallTime At;
    RequestKey Key;

    auto operator<=>(const Expiry &) const = default;
    template <class Archive> void serialize(Archive &Ar) {
      Ar(this->At, this->Key);
    }
  };

  Request *lookUp(const RequestKey &Key);
  JournalResult conflict(const Request &Found) const;
  JournalResult done(const Request &Found) const;
  void scheduleExpiry(const RequestKey &Key, Request &Found,
                      std::uint64_t Milliseconds);
  void listTakenOver(const TakeOverCommand &Command,
                     TakeOverResult &Result) const;
  void finish(const RequestKey &Key, Request &Found, RequestState State);
  void dropResponse(Request &Found);

  Common::WallTime Now;
  std::map<RequestKey, Request> Requests;
  /// Accepted and claimed requests by owner.
  std::map<Owner, std::set<RequestKey>> Unfinished;
  /// Expiry times of finished requests: first the response of a request
  /// expires, then the request itself.
  std::set<Expiry> Expiries;
  std::uint64_t ResponseBytes = 0;
};

} // namespace Journal

#endif
