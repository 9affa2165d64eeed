#ifndef SYCAMOREREACH_JOURNAL_REQUESTJOURNAL_H
#define SYCAMOREREACH_JOURNAL_REQUESTJOURNAL_H

#include "Journal/JournalCommand.h"

#include <map>
#include <set>

namespace Journal {

/// The life of every request that may not be repeated:
/// Accepted -> Claimed -> Completed | Unknown, or Accepted -> NotRun.
/// It is replicated state: all changes come from the log, and time comes
/// with the commands.
class RequestJournal {
public:
  /// Requests remembered, with or without answers. Beyond it new requests
  /// are refused rather than old ones forgotten.
  static constexpr std::size_t MaxRequests = 200'000;
  /// Answers larger than this are not kept for repeats.
  static constexpr std::size_t MaxAnswerBytes = 256u << 10;
  /// Requests moved by one take-over command.
  static constexpr std::size_t MaxTakenAtOnce = 64;
  /// A request is remembered this many times longer than its answer.
  static constexpr std::uint64_t RememberFactor = 30;

  /// Forgets what has expired; called with the stamp of every command.
  void advance(Common::WallTime Stamp);

  JournalResult apply(const AcceptCommand &Command);
  JournalResult apply(const ClaimCommand &Command);
  JournalResult apply(const ReleaseCommand &Command);
  JournalResult apply(const CompleteCommand &Command);
  JournalResult apply(const MarkUnknownCommand &Command);
  JournalResult apply(const WithdrawCommand &Command);
  TakeOverResult apply(const TakeOverCommand &Command);

  JournalResult find(const RequestKey &Key) const;

  /// Numbers for operators.
  struct Counts {
    std::size_t Requests = 0;
    std::size_t Unfinished = 0;
    std::size_t AnswerBytes = 0;
  };
  Counts counts() const;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Now, this->Requests, this->Unfinished, this->Expiries,
       this->AnswerBytes);
  }

private:
  struct Request {
    RequestView View;
    CallContent Content;
    std::uint64_t KeepMilliseconds = 0;
    /// Only this expiry of the request counts.
    Common::WallTime ExpiresAt;
    /// The dead entry daemon that it came from, if any.
    Common::DaemonId TakenFrom;

    template <class Archive> void serialize(Archive &Ar) {
      Ar(this->View, this->Content, this->KeepMilliseconds, this->ExpiresAt,
         this->TakenFrom);
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
  void expireAfter(const RequestKey &Key, Request &Found,
                   std::uint64_t Milliseconds);
  void listTaken(const TakeOverCommand &Command, TakeOverResult &Result) const;
  void finish(const RequestKey &Key, Request &Found, RequestState State);
  void dropAnswer(Request &Found);

  Common::WallTime Now;
  std::map<RequestKey, Request> Requests;
  /// Accepted and claimed requests by the entry daemon that has them.
  std::map<Owner, std::set<RequestKey>> Unfinished;
  /// First the answer of a finished request expires, then the request.
  std::set<Expiry> Expiries;
  std::uint64_t AnswerBytes = 0;
};

} // namespace Journal

#endif
