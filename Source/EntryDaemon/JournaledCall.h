#ifndef SYCAMOREREACH_ENTRYDAEMON_JOURNALEDCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_JOURNALEDCALL_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/PlainCall.h"
#include "EntryDaemon/ServiceDispatchers.h"
#include "Journal/JournalCommand.h"
#include "Network/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>

namespace EntryDaemon {

/// A call to a plain service that must not run twice. It is accepted in the
/// replicated journal first, claimed there before the first byte is sent to a
/// backend server, and completed there before the caller gets the answer. It
/// continues after the caller disconnects, until its outcome is in the journal.
class JournaledCall : public std::enable_shared_from_this<JournaledCall> {
public:
  /// Runs when this daemon has finished its work for the call.
  using OnEnd = std::function<void(const Journal::RequestKey &)>;

  /// Accepts and runs a new call. The exchange always gets an answer.
  static std::shared_ptr<JournaledCall>
  start(EntryContext &Context, ServiceDispatchers &Dispatchers,
        const std::shared_ptr<Network::HttpExchange> &Exchange,
        const Common::IdempotencyKey &Key, PlainRequest Request,
        OnEnd NotifyEnd);

  /// Runs a request taken over from a failed entry daemon. No caller waits for
  /// its answer.
  static std::shared_ptr<JournaledCall>
  resume(EntryContext &Context, ServiceDispatchers &Dispatchers,
         const Journal::TakenOverRequest &TakenOver, OnEnd NotifyEnd);

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  JournaledCall(EntryContext &Context, ServiceDispatchers &Dispatchers,
                OnEnd NotifyEnd);

  void accept();
  Journal::AcceptCommand acceptCommand() const;
  void accepted(const Journal::JournalResult &Result);
  void enqueue();
  void enqueueLater();
  void dispatchRefused(Common::RefusalReason Reason);
  void withdraw(Common::RefusalReason Reason);
  void claim(const Common::BackendServerId &Server);
  void claimed(const Journal::JournalResult &Result);
  void send();
  void attemptEnded(Network::HttpCallResult Result,
                    Network::HttpResponse Answer);
  /// Releases the claim of a request that was not sent. The request is then
  /// queued again, for another server if this one failed.
  void release(bool ServerFailed);
  void complete(const Network::HttpResponse &Answer);
  void markUnknown();
  /// Polls the journal for the outcome of a request that another daemon runs.
  void pollOutcome();
  void handleRequestState(const Journal::RequestView &View);

  /// Submits a command to the journal, and retries until it is committed.
  void submitCommand(
      const State::CommandBody &Body,
      const std::function<void(const Journal::JournalResult &)> &Done);
  /// Sets what the caller is told if the daemon stops first. The journal holds
  /// the request, so that another daemon continues it.
  void replyIfInterrupted(std::function<void(JournaledCall &)> Reply);
  void replyRefusal(Common::RefusalReason Reason,
                    const std::string &Detail = "");
  void replyAnswer(const Network::HttpResponse &Answer);
  void finish();

  EntryContext &Context;
  ServiceDispatchers &Dispatchers;
  OnEnd NotifyEnd;
  ExchangePtr Exchange;
  Journal::RequestKey Key;
  PlainRequest Request;
  std::string Fingerprint;
  std::uint64_t KeepMilliseconds = 0;
  Journal::Attempt Attempt;
  Common::BackendServerId Server;
  /// While the request is sent and answered.
  std::optional<Network::HttpAttempt> Sending;
  Common::TimePoint ArrivedAt;
  bool Finished = false;
  Network::EventHandle RetryTimer;
  Network::EventHandle ReplyTimer;
};

} // namespace EntryDaemon

#endif
