#include "EntryDaemon/JournaledCall.h"

#include "Common/Hash.h"
#include "Network/Problem.h"
#include "Telemetry/LogEvents.h"

namespace EntryDaemon {

namespace {

using Common::RefusalReason;
namespace Events = Telemetry::Events;

/// Time limit for the journal to accept a request, and for one query of a
/// request's outcome.
constexpr Common::Duration JournalResponseTimeout = std::chrono::seconds(3);
/// Time limit of one attempt to commit a command to the journal.
constexpr Common::Duration CommandTimeout = std::chrono::seconds(5);
constexpr Common::Duration CommandRetryDelay = std::chrono::milliseconds(100);
/// The answer counts as lost if the server sends nothing for this long.
constexpr Common::Duration ServiceIdleTimeout = std::chrono::seconds(60);
/// Longest time for which an answer is held back until it is in the journal.
constexpr Common::Duration MaxReplyDelay = std::chrono::seconds(2);
constexpr Common::Duration EnqueueRetryDelay = std::chrono::milliseconds(200);
constexpr Common::Duration OutcomePollInterval = std::chrono::milliseconds(50);
/// How long a caller is kept waiting for the outcome of a request that runs
/// elsewhere, before it gets acceptance_unknown.
constexpr Common::Duration OutcomePollTimeout = std::chrono::seconds(30);

std::string fingerprintOf(const PlainRequest &Request) {
  return Common::sha256Hex(Request.Service.str() + "\n" +
                           Network::httpMethodName(Request.Content.Method) +
                           " " + Request.Content.Target + "\n" +
                           Request.Content.Body);
}

/// The journal's result; null if the state daemons did not return one.
const Journal::JournalResult *
journalResult(const State::RequestResult &Result) {
  const auto *Answer = std::get_if<State::ResponseBody>(&Result);
  const auto *Reply =
      Answer ? std::get_if<State::CommandResult>(Answer) : nullptr;
  return Reply ? std::get_if<Journal::JournalResult>(Reply) : nullptr;
}

PlainRequest plainRequestOf(const Journal::TakenOverRequest &TakenOver,
                            const Configuration::Declaration &Declared) {
  PlainRequest Result;
  const Journal::RequestContent &Content = TakenOver.Content;
  Result.Service = Content.Service;
  Result.Content.Method = Network::parseHttpMethod(Content.Method)
                              .value_or(Network::HttpMethod::Post);
  Result.Content.Target = Content.Target;
  Result.Content.Headers = Content.Headers;
  Result.Content.Body = Content.Body;
  Result.Work.Caller = TakenOver.Key.Caller;
  Result.Work.Priority = Content.Priority;
  Result.Work.Target = Declared.target(Content.Service, Content.Priority);
  Result.Work.Fingerprint = Common::hashBytes(fingerprintOf(Result));
  return Result;
}

} // namespace

JournaledCall::JournaledCall(EntryContext &Context,
                             ServiceDispatchers &Dispatchers, OnEnd NotifyEnd)
    : Context(Context), Dispatchers(Dispatchers),
      NotifyEnd(std::move(NotifyEnd)), ArrivedAt(Context.Loop.now()) {}

std::shared_ptr<JournaledCall>
JournaledCall::start(EntryContext &Context, ServiceDispatchers &Dispatchers,
                     const ExchangePtr &Exchange,
                     const Common::IdempotencyKey &Key, PlainRequest Request,
                     OnEnd NotifyEnd) {
  std::shared_ptr<JournaledCall> Call(
      new JournaledCall(Context, Dispatchers, std::move(NotifyEnd)));
  Call->Exchange = Exchange;
  Call->replyIfInterrupted([](JournaledCall &Interrupted) {
    Interrupted.replyRefusal(RefusalReason::AcceptanceUnknown);
  });
  Call->Key = Journal::RequestKey{Request.Work.Caller, Key};
  Call->Request = std::move(Request);
  Call->Request.Work.Id = Context.newRequestId();
  Call->Fingerprint = fingerprintOf(Call->Request);
  const auto &ConfiguredServices = Context.Declared.services();
  Call->KeepMilliseconds =
      ConfiguredServices.at(Call->Request.Service).ResponseRetention.Value;
  Call->accept();
  return Call;
}

std::shared_ptr<JournaledCall>
JournaledCall::resume(EntryContext &Context, ServiceDispatchers &Dispatchers,
                      const Journal::TakenOverRequest &TakenOver,
                      OnEnd NotifyEnd) {
  std::shared_ptr<JournaledCall> Call(
      new JournaledCall(Context, Dispatchers, std::move(NotifyEnd)));
  Call->Key = TakenOver.Key;
  Call->Request = plainRequestOf(TakenOver, Context.Declared);
  Call->Request.Work.Id = Context.newRequestId();
  Call->Attempt = TakenOver.Attempt;
  Call->enqueue();
  return Call;
}

void JournaledCall::accept() {
  // An accepted request is never refused for lack of capacity, so admission is
  // checked before.
  const auto Refusal = this->Dispatchers.checkAdmission(this->Request.Service,
                                                        this->Request.Work);
  if (Refusal) {
    this->replyRefusal(*Refusal);
    this->finish();
    return;
  }
  const Journal::AcceptCommand Command = this->acceptCommand();
  const auto Self = this->shared_from_this();
  this->Context.State.sendToLeader(
      State::CommandBody(Command), JournalResponseTimeout,
      [Self, Command](const State::RequestResult &Result) {
        if (const auto *Outcome = journalResult(Result)) {
          Self->accepted(*Outcome);
          return;
        }
        const auto *Failure = std::get_if<State::RequestFailure>(&Result);
        const bool NotCommitted =
            Failure && *Failure == State::RequestFailure::NotExecuted;
        Self->replyRefusal(NotCommitted ? RefusalReason::NotAccepted
                                        : RefusalReason::AcceptanceUnknown);
        if (NotCommitted) {
          Self->finish();
          return;
        }
        // The command may have been committed. In that case this daemon owns
        // the request and must run it.
        Self->submitCommand(Command,
                            [Self](const Journal::JournalResult &Outcome) {
                              Self->accepted(Outcome);
                            });
      });
}

Journal::AcceptCommand JournaledCall::acceptCommand() const {
  Journal::AcceptCommand Command;
  Command.Key = this->Key;
  Command.Fingerprint = this->Fingerprint;
  Command.Owner = this->Context.Self;
  Command.CallId = this->Request.Work.Id;
  Command.RetentionMilliseconds = this->KeepMilliseconds;
  Command.Content.Service = this->Request.Service;
  Command.Content.Priority = this->Request.Work.Priority;
  Command.Content.Method =
      Network::httpMethodName(this->Request.Content.Method);
  Command.Content.Target = this->Request.Content.Target;
  Command.Content.Headers = this->Request.Content.Headers;
  Command.Content.Body = this->Request.Content.Body;
  return Command;
}

void JournaledCall::accepted(const Journal::JournalResult &Result) {
  switch (Result.Status) {
  case Journal::JournalStatus::Done:
    this->Attempt = Result.View->Attempt;
    this->Context.Metrics.observeSummary(
        "accept_seconds", this->Context.Loop.now() - this->ArrivedAt);
    this->enqueue();
    return;
  case Journal::JournalStatus::Existing:
    this->handleRequestState(*Result.View);
    return;
  case Journal::JournalStatus::KeyReused:
    this->replyRefusal(RefusalReason::IdempotencyKeyReused);
    break;
  case Journal::JournalStatus::Full:
    this->replyRefusal(RefusalReason::JournalFull);
    break;
  default:
    this->replyRefusal(RefusalReason::AcceptanceUnknown);
    break;
  }
  this->finish();
}

void JournaledCall::enqueue() {
  const auto Self = this->shared_from_this();
  CallHandlers Handlers;
  Handlers.OnStart = [Self](const Common::BackendServerId &Chosen) {
    Self->claim(Chosen);
  };
  Handlers.CancelIfUnsent = [Self] {
    if (Self->Sending && Self->Sending->cancelIfUnsent()) {
      Self->Sending.reset();
      Self->release(false);
    }
    // The request is queued again once its claim is released.
    return false;
  };
  Handlers.OnRefuse = [Self](RefusalReason Reason) {
    Self->dispatchRefused(Reason);
  };
  const bool Enqueued = this->Dispatchers.readmit(
      this->Request.Service, this->Request.Work, std::move(Handlers));
  if (!Enqueued)
    this->enqueueLater();
}

void JournaledCall::enqueueLater() {
  const auto Self = this->shared_from_this();
  this->RetryTimer = this->Context.Loop.callAfter(EnqueueRetryDelay,
                                                  [Self] { Self->enqueue(); });
}

void JournaledCall::dispatchRefused(RefusalReason Reason) {
  // An accepted request is withdrawn only if it is quarantined and so must not
  // run at all. Other refusals are temporary.
  if (Reason == RefusalReason::Quarantined)
    this->withdraw(Reason);
  else
    this->enqueueLater();
}

void JournaledCall::withdraw(RefusalReason Reason) {
  const auto Self = this->shared_from_this();
  this->submitCommand(Journal::WithdrawCommand{this->Key, this->Context.Self},
                      [Self, Reason](const Journal::JournalResult &Result) {
                        if (Result.Status != Journal::JournalStatus::Done) {
                          Self->pollOutcome();
                          return;
                        }
                        Self->replyRefusal(Reason);
                        Self->finish();
                      });
}

void JournaledCall::submitCommand(
    const State::CommandBody &Body,
    const std::function<void(const Journal::JournalResult &)> &Done) {
  const auto Self = this->shared_from_this();
  this->Context.State.sendToLeader(
      Body, CommandTimeout,
      [Self, Body, Done](const State::RequestResult &Result) {
        if (const auto *Outcome = journalResult(Result)) {
          Done(*Outcome);
          return;
        }
        Self->RetryTimer =
            Self->Context.Loop.callAfter(CommandRetryDelay, [Self, Body, Done] {
              Self->submitCommand(Body, Done);
            });
      });
}

void JournaledCall::claim(const Common::BackendServerId &Chosen) {
  this->Server = Chosen;
  this->Attempt = Journal::Attempt{this->Attempt.Value + 1};
  const auto Self = this->shared_from_this();
  this->submitCommand(
      Journal::ClaimCommand{this->Key, this->Context.Self, this->Attempt,
                            this->Request.Work.Id, Chosen},
      [Self](const Journal::JournalResult &Result) { Self->claimed(Result); });
}

void JournaledCall::claimed(const Journal::JournalResult &Result) {
  if (Result.Status != Journal::JournalStatus::Done) {
    // Another daemon has taken over the request.
    this->Dispatchers.remove(this->Request.Service, this->Request.Work.Id);
    this->pollOutcome();
    return;
  }
  this->send();
}

void JournaledCall::send() {
  // The server may have left while the claim was being committed.
  if (!this->Dispatchers.isUsable(this->Request.Service, this->Server)) {
    this->release(true);
    return;
  }
  // It may also have asked for rest.
  if (!this->Dispatchers.mayWrite(this->Request.Service,
                                  this->Request.Work.Id)) {
    this->release(false);
    return;
  }
  Network::HttpCall Call;
  Call.To = this->Context.Registry.find(this->Server)->Latest.Address;
  Call.Timeout = ServiceIdleTimeout;
  Call.Policy = Network::ConnectionPolicy::Dedicated;
  Call.Request = this->Request.Content;
  const auto Self = this->shared_from_this();
  Network::HttpCallHandlers Handlers;
  Handlers.OnHead = [Self](const Network::HttpResponse &Head) {
    Self->Dispatchers.onResponseHead(Self->Request.Service,
                                     Self->Request.Work.Id, Head);
  };
  Handlers.OnDone = [Self](Network::HttpCallResult Result,
                           Network::HttpResponse Answer) {
    Self->attemptEnded(Result, std::move(Answer));
  };
  this->Sending =
      this->Context.Http.start(std::move(Call), std::move(Handlers));
}

void JournaledCall::attemptEnded(Network::HttpCallResult Result,
                                 Network::HttpResponse Answer) {
  this->Sending.reset();
  if (Result == Network::HttpCallResult::NotSent) {
    this->release(true);
    return;
  }
  const auto &Service = this->Request.Service;
  if (Result != Network::HttpCallResult::Complete) {
    // A crash would have ended the connection.
    if (Result != Network::HttpCallResult::Malformed)
      this->Dispatchers.reportCrash(Service, this->Server);
    this->Dispatchers.remove(Service, this->Request.Work.Id);
    this->markUnknown();
    return;
  }
  this->Dispatchers.onFirstToken(Service, this->Request.Work.Id);
  this->Dispatchers.onFinished(Service, this->Request.Work.Id);
  Answer.Headers = forwardedHeaders(Answer.Headers);
  this->complete(Answer);
}

void JournaledCall::release(bool ServerFailed) {
  const auto Self = this->shared_from_this();
  this->submitCommand(
      Journal::ReleaseCommand{this->Key, this->Context.Self, this->Attempt},
      [Self, ServerFailed](const Journal::JournalResult &Result) {
        const auto &Service = Self->Request.Service;
        if (Result.Status != Journal::JournalStatus::Done) {
          Self->Dispatchers.remove(Service, Self->Request.Work.Id);
          Self->pollOutcome();
          return;
        }
        if (ServerFailed)
          Self->Dispatchers.onFailed(Service, Self->Request.Work.Id,
                                     Self->Server,
                                     Routing::Failure::ConnectFailed);
        else
          Self->Dispatchers.requeue(Service, Self->Request.Work.Id);
      });
}

void JournaledCall::complete(const Network::HttpResponse &Answer) {
  const auto Self = this->shared_from_this();
  // The answer is known, so slow state daemons must not hold it back for long.
  this->ReplyTimer = this->Context.Loop.callAfter(
      MaxReplyDelay, [Self, Answer] { Self->replyAnswer(Answer); });
  this->replyIfInterrupted([Answer](JournaledCall &Interrupted) {
    Interrupted.replyAnswer(Answer);
  });
  this->submitCommand(
      Journal::CompleteCommand{this->Key, this->Attempt, Answer},
      [Self, Answer](const Journal::JournalResult &) {
        Self->replyAnswer(Answer);
        Self->Context.Metrics.incrementCounter(
            "journaled_requests_completed_total");
        Self->finish();
      });
}

void JournaledCall::markUnknown() {
  this->replyIfInterrupted([](JournaledCall &Interrupted) {
    Interrupted.replyRefusal(RefusalReason::AnswerLost);
  });
  const auto Self = this->shared_from_this();
  this->submitCommand(Journal::MarkUnknownCommand{this->Key, this->Attempt},
                      [Self](const Journal::JournalResult &) {
                        Self->replyRefusal(RefusalReason::AnswerLost);
                        Self->finish();
                      });
}

void JournaledCall::pollOutcome() {
  if (!this->Exchange || !this->Exchange->isOpen()) {
    this->finish();
    return;
  }
  if (this->Context.Loop.now() - this->ArrivedAt > OutcomePollTimeout) {
    // The outcome is not known yet; the caller may ask again with the same key.
    this->replyRefusal(RefusalReason::AcceptanceUnknown);
    this->finish();
    return;
  }
  const auto Self = this->shared_from_this();
  this->RetryTimer = this->Context.Loop.callAfter(OutcomePollInterval, [Self] {
    Self->Context.State.sendToLeader(
        State::FindJournaledRequest{Self->Key}, JournalResponseTimeout,
        [Self](const State::RequestResult &Result) {
          const auto *Outcome = journalResult(Result);
          if (Outcome && Outcome->View)
            Self->handleRequestState(*Outcome->View);
          else
            Self->pollOutcome();
        });
  });
}

void JournaledCall::handleRequestState(const Journal::RequestView &View) {
  switch (View.State) {
  case Journal::RequestState::Accepted:
  case Journal::RequestState::Claimed:
    this->pollOutcome();
    return;
  case Journal::RequestState::Completed:
    if (View.Response)
      this->replyAnswer(*View.Response);
    else
      this->replyRefusal(RefusalReason::AnswerExpired);
    break;
  case Journal::RequestState::Unknown:
    this->replyRefusal(RefusalReason::AnswerLost);
    break;
  case Journal::RequestState::NotRun:
    this->replyRefusal(RefusalReason::NotAccepted);
    break;
  }
  this->finish();
}

void JournaledCall::replyIfInterrupted(
    std::function<void(JournaledCall &)> Reply) {
  if (!this->Exchange)
    return;
  this->Exchange->onInterrupted(
      [Weak = this->weak_from_this(), Reply = std::move(Reply)] {
        if (const auto Call = Weak.lock())
          Reply(*Call);
      });
}

void JournaledCall::replyRefusal(RefusalReason Reason,
                                 const std::string &Detail) {
  this->Context.Metrics.recordRefusal(Reason);
  Telemetry::log(Events::JournaledCallRefused, Common::refusalInfo(Reason).Name,
                 this->Key.Key.str(), this->Key.Caller.str());
  if (this->Exchange)
    this->Exchange->reply(Network::problemResponse(this->Dispatchers.refusal(
        this->Request.Service, this->Request.Work.Priority, Reason, Detail)));
}

void JournaledCall::replyAnswer(const Network::HttpResponse &Answer) {
  this->ReplyTimer.cancel();
  if (!this->Exchange || !this->Exchange->isOpen())
    return;
  this->Context.Metrics.observeSummary(
      "answer_seconds_" + this->Request.Work.Priority.str(),
      this->Context.Loop.now() - this->ArrivedAt);
  this->Exchange->reply(Answer);
}

void JournaledCall::finish() {
  if (this->Finished)
    return;
  this->Finished = true;
  this->RetryTimer.cancel();
  if (this->NotifyEnd)
    this->NotifyEnd(this->Key);
}

} // namespace EntryDaemon
