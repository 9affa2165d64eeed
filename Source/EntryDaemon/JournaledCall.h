#ifndef SYCAMOREREACH_ENTRYDAEMON_JOURNALEDCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_JOURNALEDCALL_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/Lanes.h"
#include "EntryDaemon/PlainCall.h"
#include "Journal/JournalCommand.h"
#include "Network/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>

namespace EntryDaemon {

/// One call that may not be repeated. It is accepted in the journal before
/// anything else, claimed before the first byte leaves for a backend server,
/// and completed before the caller hears the answer. It goes on without its
/// caller until its fate is in the journal.
class JournaledCall : public std::enable_shared_from_this<JournaledCall> {
public:
  /// Runs when the call needs nothing more from this daemon.
  using OnEnd = std::function<void(const Journal::RequestKey &)>;

  /// Answers the exchange in any case.
  static std::shared_ptr<JournaledCall>
  start(EntryContext &Context, Lanes &Services,
        const std::shared_ptr<Network::HttpExchange> &Exchange,
        const Common::IdempotencyKey &Key, PlainRequest Request, OnEnd End);

  /// Runs a request of a dead entry daemon; nobody waits for its answer.
  static std::shared_ptr<JournaledCall>
  resume(EntryContext &Context, Lanes &Services,
         const Journal::TakenRequest &Taken, OnEnd End);

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  JournaledCall(EntryContext &Context, Lanes &Services, OnEnd End);

  void accept();
  Journal::AcceptCommand acceptCommand() const;
  void accepted(const Journal::JournalResult &Result);
  void enterLane();
  void waitAndEnterLane();
  void refusedByLane(Common::RefusalReason Reason);
  void withdraw(Common::RefusalReason Reason);
  void claim(const Common::BackendServerId &Server);
  void claimed(const Journal::JournalResult &Result);
  void send();
  void attemptEnds(Network::HttpCallResult Result,
                   Network::HttpResponse Answer);
  void release();
  void complete(const Network::HttpResponse &Answer);
  void markUnknown();
  /// Watches a request that another daemon runs.
  void follow();
  void report(const Journal::RequestView &View);

  /// Puts a command into the journal, however long that takes.
  void command(const State::CommandBody &Body,
               const std::function<void(const Journal::JournalResult &)> &Done);
  void replyRefusal(Common::RefusalReason Reason,
                    const std::string &Particulars = "");
  void replyAnswer(const Network::HttpResponse &Answer);
  void end();

  EntryContext &Context;
  Lanes &Services;
  OnEnd End;
  ExchangePtr Exchange;
  Journal::RequestKey Key;
  PlainRequest Request;
  std::string Fingerprint;
  std::uint64_t KeepMilliseconds = 0;
  Journal::Attempt Attempt;
  Common::BackendServerId Server;
  Common::TimePoint ArrivedAt;
  bool Ended = false;
  Network::EventHandle Timer;
  Network::EventHandle ReplyTimer;
};

} // namespace EntryDaemon

#endif
