#include "EntryDaemon/JournaledCall.h"

#include "Common/Hash.h"
#include "Network/Problem.h"
#include "Telemetry/LogEvents.h"

namespace EntryDaemon {

namespace {

using Common::RefusalReason;
namespace Events = Telemetry::Events;

/// How long acceptance may take before the caller is told.
constexpr Common::Duration AcceptLimit = std::chrono::seconds(3);
/// One round of trying to put a command into the journal.
constexpr Common::Duration CommandRound = std::chrono::seconds(5);
constexpr Common::Duration CommandPause = std::chrono::milliseconds(100);
/// A service that is silent for longer has lost the answer.
constexpr Common::Duration ServiceSilence = std::chrono::seconds(60);
/// A caller with an answer waits this long for its place in the journal.
constexpr Common::Duration ReplyGrace = std::chrono::seconds(2);
constexpr Common::Duration LanePause = std::chrono::milliseconds(200);
constexpr Common::Duration FollowPause = std::chrono::milliseconds(50);
/// A caller that follows a request is told to come back after this time.
constexpr Common::Duration FollowLimit = std::chrono::seconds(30);

std::string fingerprintOf(const PlainRequest &Request) {
  return Common::sha256Hex(Request.Service.str() + "\n" +
                           Network::httpMethodName(Request.Content.Method) +
                           " " + Request.Content.Target + "\n" +
                           Request.Content.Body);
}

/// The journal's answer to a command, if that is what arrived.
const Journal::JournalResult *journalResult(const State::AskResult &Result) {
  const auto *Answer = std::get_if<State::AnswerBody>(&Result);
  const auto *Reply =
      Answer ? std::get_if<State::CommandResult>(Answer) : nullptr;
  return Reply ? std::get_if<Journal::JournalResult>(Reply) : nullptr;
}

PlainRequest requestOf(const Journal::TakenRequest &Taken,
                       const Configuration::Declaration &Declared) {
  PlainRequest Result;
  const Journal::CallContent &Content = Taken.Content;
  Result.Service = Content.Service;
  Result.Content.Method = Network::parseHttpMethod(Content.Method)
                              .value_or(Network::HttpMethod::Post);
  Result.Content.Target = Content.Target;
  Result.Content.Headers = Content.Headers;
  Result.Content.Body = Content.Body;
  Result.Work.Caller = Taken.Key.Caller;
  Result.Work.Priority = Content.Priority;
  Result.Work.Target = Declared.target(Content.Service, Content.Priority);
  Result.Work.Fingerprint = Common::hashBytes(fingerprintOf(Result));
  return Result;
}

} // namespace

JournaledCall::JournaledCall(EntryContext &Context, Lanes &Services, OnEnd End)
    : Context(Context), Services(Services), End(std::move(End)),
      ArrivedAt(Context.Loop.now()) {}

std::shared_ptr<JournaledCall> JournaledCall::start(
    EntryContext &Context, Lanes &Services, const ExchangePtr &Exchange,
    const Common::IdempotencyKey &Key, PlainRequest Request, OnEnd End) {
  std::shared_ptr<JournaledCall> Call(
      new JournaledCall(Context, Services, std::move(End)));
  Call->Exchange = Exchange;
  Call->Key = Journal::RequestKey{Request.Work.Caller, Key};
  Call->Request = std::move(Request);
  Call->Request.Work.Id = Context.newRequestId();
  Call->Fingerprint = fingerprintOf(Call->Request);
  const auto &Declared = Context.Declared.services();
  Call->KeepMilliseconds = Declared.at(Call->Request.Service).Keep.Value;
  Call->accept();
  return Call;
}

std::shared_ptr<JournaledCall>
JournaledCall::resume(EntryContext &Context, Lanes &Services,
                      const Journal::TakenRequest &Taken, OnEnd End) {
  std::shared_ptr<JournaledCall> Call(
      new JournaledCall(Context, Services, std::move(End)));
  Call->Key = Taken.Key;
  Call->Request = requestOf(Taken, Context.Declared);
  Call->Request.Work.Id = Context.newRequestId();
  Call->Attempt = Taken.Attempt;
  Call->enterLane();
  return Call;
}

void JournaledCall::accept() {
  // Once accepted it is never refused, so the lane is asked before.
  const auto Refused =
      this->Services.refusalOf(this->Request.Service, this->Request.Work);
  if (Refused) {
    this->replyRefusal(*Refused);
    this->end();
    return;
  }
  const Journal::AcceptCommand Command = this->acceptCommand();
  const auto Self = this->shared_from_this();
  this->Context.State.ask(
      State::CommandBody(Command), AcceptLimit,
      [Self, Command](const State::AskResult &Result) {
        if (const auto *Known = journalResult(Result)) {
          Self->accepted(*Known);
          return;
        }
        const auto *Failure = std::get_if<State::AskFailure>(&Result);
        const bool Nothing =
            Failure && *Failure == State::AskFailure::NothingDone;
        Self->replyRefusal(Nothing ? RefusalReason::NotAccepted
                                   : RefusalReason::AcceptanceUnknown);
        if (Nothing) {
          Self->end();
          return;
        }
        // If it did commit, this daemon owns it and must run it.
        Self->command(Command, [Self](const Journal::JournalResult &Known) {
          Self->accepted(Known);
        });
      });
}

Journal::AcceptCommand JournaledCall::acceptCommand() const {
  Journal::AcceptCommand Command;
  Command.Key = this->Key;
  Command.Fingerprint = this->Fingerprint;
  Command.Owner = this->Context.Self;
  Command.Runner = this->Request.Work.Id;
  Command.KeepMilliseconds = this->KeepMilliseconds;
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
  switch (Result.Verdict) {
  case Journal::JournalVerdict::Done:
    this->Attempt = Result.View->Attempt;
    this->Context.Metrics.observeSummary(
        "accept_seconds", this->Context.Loop.now() - this->ArrivedAt);
    this->enterLane();
    return;
  case Journal::JournalVerdict::Existing:
    this->report(*Result.View);
    return;
  case Journal::JournalVerdict::KeyReused:
    this->replyRefusal(RefusalReason::IdempotencyKeyReused);
    break;
  case Journal::JournalVerdict::Full:
    this->replyRefusal(RefusalReason::JournalFull);
    break;
  default:
    this->replyRefusal(RefusalReason::AcceptanceUnknown);
    break;
  }
  this->end();
}

void JournaledCall::enterLane() {
  const auto Self = this->shared_from_this();
  CallHandlers Handle;
  Handle.OnStart = [Self](const Common::BackendServerId &Chosen) {
    Self->claim(Chosen);
  };
  Handle.OnRefuse = [Self](RefusalReason Reason) {
    Self->refusedByLane(Reason);
  };
  const bool Entered = this->Services.readmit(
      this->Request.Service, this->Request.Work, std::move(Handle));
  if (!Entered)
    this->waitAndEnterLane();
}

void JournaledCall::waitAndEnterLane() {
  const auto Self = this->shared_from_this();
  this->Timer =
      this->Context.Loop.callAfter(LanePause, [Self] { Self->enterLane(); });
}

void JournaledCall::refusedByLane(RefusalReason Reason) {
  // An accepted request is given up only where it must not run at all.
  if (Reason == RefusalReason::Quarantined)
    this->withdraw(Reason);
  else
    this->waitAndEnterLane();
}

void JournaledCall::withdraw(RefusalReason Reason) {
  const auto Self = this->shared_from_this();
  this->command(Journal::WithdrawCommand{this->Key, this->Context.Self},
                [Self, Reason](const Journal::JournalResult &Result) {
                  if (Result.Verdict != Journal::JournalVerdict::Done) {
                    Self->follow();
                    return;
                  }
                  Self->replyRefusal(Reason);
                  Self->end();
                });
}

void JournaledCall::command(
    const State::CommandBody &Body,
    const std::function<void(const Journal::JournalResult &)> &Done) {
  const auto Self = this->shared_from_this();
  this->Context.State.ask(
      Body, CommandRound, [Self, Body, Done](const State::AskResult &Result) {
        if (const auto *Known = journalResult(Result)) {
          Done(*Known);
          return;
        }
        Self->Timer = Self->Context.Loop.callAfter(
            CommandPause, [Self, Body, Done] { Self->command(Body, Done); });
      });
}

void JournaledCall::claim(const Common::BackendServerId &Chosen) {
  this->Server = Chosen;
  this->Attempt = Journal::Attempt{this->Attempt.Value + 1};
  const auto Self = this->shared_from_this();
  this->command(
      Journal::ClaimCommand{this->Key, this->Context.Self, this->Attempt,
                            this->Request.Work.Id, Chosen},
      [Self](const Journal::JournalResult &Result) { Self->claimed(Result); });
}

void JournaledCall::claimed(const Journal::JournalResult &Result) {
  if (Result.Verdict != Journal::JournalVerdict::Done) {
    // Another daemon has taken the request over.
    this->Services.forget(this->Request.Service, this->Request.Work.Id);
    this->follow();
    return;
  }
  this->send();
}

void JournaledCall::send() {
  // The claim took time; a server that left meanwhile gets nothing more.
  if (!this->Services.usable(this->Request.Service, this->Server)) {
    this->release();
    return;
  }
  Network::HttpCall Call;
  Call.To = this->Context.Registry.find(this->Server)->Latest.Address;
  Call.Timeout = ServiceSilence;
  Call.Use = Network::ConnectionUse::Fresh;
  Call.Request = this->Request.Content;
  const auto Self = this->shared_from_this();
  Network::HttpCallHandlers Handle;
  Handle.OnDone = [Self](Network::CallResult Result,
                         Network::HttpAnswer Answer) {
    Self->attemptEnds(Result, std::move(Answer));
  };
  this->Context.Http.start(std::move(Call), std::move(Handle));
}

void JournaledCall::attemptEnds(Network::CallResult Result,
                                Network::HttpAnswer Answer) {
  if (Result == Network::CallResult::NotSent) {
    this->release();
    return;
  }
  const auto &Service = this->Request.Service;
  if (Result == Network::CallResult::Lost) {
    this->Services.reportCrash(Service, this->Server);
    this->Services.forget(Service, this->Request.Work.Id);
    this->markUnknown();
    return;
  }
  this->Services.firstToken(Service, this->Request.Work.Id);
  this->Services.finished(Service, this->Request.Work.Id);
  Answer.Headers = passedOn(Answer.Headers);
  this->complete(Answer);
}

void JournaledCall::release() {
  const auto Self = this->shared_from_this();
  this->command(
      Journal::ReleaseCommand{this->Key, this->Context.Self, this->Attempt},
      [Self](const Journal::JournalResult &Result) {
        const auto &Service = Self->Request.Service;
        if (Result.Verdict != Journal::JournalVerdict::Done) {
          Self->Services.forget(Service, Self->Request.Work.Id);
          Self->follow();
          return;
        }
        Self->Services.failed(Service, Self->Request.Work.Id, Self->Server,
                              Routing::Failure::ConnectFailed);
      });
}

void JournaledCall::complete(const Network::HttpAnswer &Answer) {
  const auto Self = this->shared_from_this();
  // The answer is known; a state group that is slow must not withhold it.
  this->ReplyTimer = this->Context.Loop.callAfter(
      ReplyGrace, [Self, Answer] { Self->replyAnswer(Answer); });
  this->command(Journal::CompleteCommand{this->Key, this->Attempt, Answer},
                [Self, Answer](const Journal::JournalResult &) {
                  Self->replyAnswer(Answer);
                  Self->Context.Metrics.incrementCounter(
                      "journaled_requests_completed_total");
                  Self->end();
                });
}

void JournaledCall::markUnknown() {
  const auto Self = this->shared_from_this();
  this->command(Journal::MarkUnknownCommand{this->Key, this->Attempt},
                [Self](const Journal::JournalResult &) {
                  Self->replyRefusal(RefusalReason::AnswerLost);
                  Self->end();
                });
}

void JournaledCall::follow() {
  if (!this->Exchange || !this->Exchange->open()) {
    this->end();
    return;
  }
  if (this->Context.Loop.now() - this->ArrivedAt > FollowLimit) {
    this->replyRefusal(RefusalReason::AcceptanceUnknown);
    this->end();
    return;
  }
  const auto Self = this->shared_from_this();
  this->Timer = this->Context.Loop.callAfter(FollowPause, [Self] {
    Self->Context.State.ask(State::FindRequest{Self->Key}, AcceptLimit,
                            [Self](const State::AskResult &Result) {
                              const auto *Known = journalResult(Result);
                              if (Known && Known->View)
                                Self->report(*Known->View);
                              else
                                Self->follow();
                            });
  });
}

void JournaledCall::report(const Journal::RequestView &View) {
  switch (View.State) {
  case Journal::RequestState::Accepted:
  case Journal::RequestState::Claimed:
    this->follow();
    return;
  case Journal::RequestState::Completed:
    if (View.Answer)
      this->replyAnswer(*View.Answer);
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
  this->end();
}

void JournaledCall::replyRefusal(RefusalReason Reason,
                                 const std::string &Particulars) {
  this->Context.Metrics.recordRefusal(Reason);
  Telemetry::log(Events::JournaledCallRefused, Common::refusalInfo(Reason).Name,
                 this->Key.Key.str(), this->Key.Caller.str());
  if (this->Exchange)
    this->Exchange->reply(Network::problemAnswer({Reason, Particulars}));
}

void JournaledCall::replyAnswer(const Network::HttpAnswer &Answer) {
  this->ReplyTimer.cancel();
  if (!this->Exchange || !this->Exchange->open())
    return;
  this->Context.Metrics.observeSummary(
      "answer_seconds_" + this->Request.Work.Priority.str(),
      this->Context.Loop.now() - this->ArrivedAt);
  this->Exchange->reply(Answer);
}

void JournaledCall::end() {
  if (this->Ended)
    return;
  this->Ended = true;
  this->Timer.cancel();
  if (this->End)
    this->End(this->Key);
}

} // namespace EntryDaemon
