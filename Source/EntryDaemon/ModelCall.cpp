#include "EntryDaemon/ModelCall.h"

#include "Network/Problem.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace EntryDaemon {

namespace {

using Common::RefusalReason;
namespace Events = Telemetry::Events;

/// Longest silence of an engine before its stream counts as broken.
constexpr Common::Duration EngineSilence = std::chrono::seconds(30);
constexpr int StatusOk = 200;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;
constexpr int FirstServerError = 500;

} // namespace

ModelCall::ModelCall(EntryContext &Context, Lanes &Services,
                     ExchangePtr Exchange, ModelRequest Request)
    : Context(Context), Services(Services), Exchange(std::move(Exchange)),
      Request(std::move(Request)), ArrivedAt(Context.Loop.now()) {}

void ModelCall::start(EntryContext &Context, Lanes &Services,
                      const ExchangePtr &Exchange, ModelRequest Request) {
  Request.Work.Id = Context.newRequestId();
  const std::shared_ptr<ModelCall> Call(
      new ModelCall(Context, Services, Exchange, std::move(Request)));
  Call->admit();
}

void ModelCall::admit() {
  const auto Self = this->shared_from_this();
  CallHandlers Handle;
  Handle.OnStart = [Self](const Common::BackendServerId &Chosen) {
    Self->send(Chosen);
  };
  Handle.OnPreempt = [Self] {
    Self->Attempt->cancel();
    Self->Attempt.reset();
  };
  Handle.OnRefuse = [Self](RefusalReason Reason) { Self->refuse(Reason, ""); };
  const auto Refused = this->Services.arrive(
      this->Request.Service, this->Request.Work, std::move(Handle));
  if (Refused) {
    this->refuse(*Refused, "");
    return;
  }
  std::weak_ptr<ModelCall> Weak = Self;
  this->Exchange->onCallerGone([Weak] {
    if (const auto Call = Weak.lock()) {
      Call->Context.Metrics.recordRefusal(RefusalReason::CallerDisconnected);
      Call->stop();
    }
  });
}

void ModelCall::send(const Common::BackendServerId &Chosen) {
  this->Server = Chosen;
  const auto *Known = this->Context.Registry.find(Chosen);
  if (!Known) {
    this->Services.returned(this->Request.Service, this->Request.Work.Id);
    return;
  }
  this->Reader = Network::EventStreamReader();
  this->Status = 0;
  this->ErrorBody.clear();
  this->Resumed = this->Received.Tokens > 0;
  Network::HttpCall Call;
  Call.To = Known->Latest.Address;
  Call.Timeout = EngineSilence;
  Call.Request.Method = Network::HttpMethod::Post;
  Call.Request.Target = modelApiPath(this->Request.Api);
  Call.Request.Headers = {
      {"Content-Type", "application/json"},
      {"Sycamore-Priority", this->Request.Work.Priority.str()}};
  Call.Request.Body = engineBody(this->Request, this->Received);
  const auto Self = this->shared_from_this();
  Network::HttpCallHandlers Handle;
  Handle.OnStart = [Self](const Network::HttpAnswer &Head) {
    Self->answerStarts(Head);
  };
  Handle.OnChunk = [Self](const std::string &Bytes) { Self->receive(Bytes); };
  Handle.OnDone = [Self](Network::CallResult Result,
                         const Network::HttpAnswer &Answer) {
    Self->attemptEnds(Result, Answer);
  };
  this->Attempt = this->Context.Http.start(std::move(Call), std::move(Handle));
}

void ModelCall::answerStarts(const Network::HttpAnswer &Head) {
  this->Status = Head.Status;
}

void ModelCall::receive(const std::string &Bytes) {
  if (this->Ended)
    return;
  if (this->Status != StatusOk) {
    this->ErrorBody += Bytes;
    return;
  }
  const bool First = this->Received.Tokens == 0;
  for (const std::string &Data : this->Reader.feed(Bytes)) {
    const std::string Event =
        takeEvent(this->Request, Data, this->Resumed, this->Received);
    if (!Event.empty() && this->Request.Stream)
      this->passOn(Event);
  }
  this->Services.progress(this->Request.Service, this->Request.Work.Id,
                          this->Received.Tokens);
  if (this->Received.Tokens == 0)
    return;
  this->Services.firstToken(this->Request.Service, this->Request.Work.Id);
  if (First)
    this->Context.Metrics.observeSummary(
        "first_token_seconds_" + this->Request.Work.Priority.str(),
        this->Context.Loop.now() - this->ArrivedAt);
}

void ModelCall::passOn(const std::string &Event) {
  if (!this->Exchange->streaming())
    this->Exchange->startStream(
        StatusOk,
        {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
  this->Exchange->sendChunk(Network::eventOf(Event));
}

void ModelCall::attemptEnds(Network::CallResult Result,
                            const Network::HttpAnswer &Answer) {
  this->Attempt.reset();
  if (this->Ended)
    return;
  const auto &Service = this->Request.Service;
  const Common::RequestId Id = this->Request.Work.Id;
  if (this->Received.Complete) {
    this->complete();
    return;
  }
  if (Result == Network::CallResult::NotSent) {
    this->Services.failed(Service, Id, this->Server,
                          Routing::Failure::ConnectFailed);
    return;
  }
  const bool Busy =
      Result == Network::CallResult::Answered &&
      (Answer.Status == StatusTooMany || Answer.Status == StatusUnavailable);
  if (Busy) {
    // Overload is never retried: it would grow.
    this->Services.forget(Service, Id);
    this->refuse(RefusalReason::QueueFull, "the backend server is full");
    return;
  }
  if (Result == Network::CallResult::Answered &&
      Answer.Status >= FirstServerError) {
    this->Services.failed(Service, Id, this->Server,
                          Routing::Failure::ServerError);
    return;
  }
  if (Result == Network::CallResult::Answered && Answer.Status != StatusOk) {
    this->Services.finished(Service, Id);
    this->Ended = true;
    this->Exchange->reply({Answer.Status,
                           {{"Content-Type", "application/json"}},
                           this->ErrorBody});
    return;
  }
  const bool Began = this->Received.Tokens > 0;
  this->Services.failed(Service, Id, this->Server,
                        Began ? Routing::Failure::StreamBroken
                              : Routing::Failure::ConnectionLost);
}

void ModelCall::complete() {
  this->Ended = true;
  this->Services.finished(this->Request.Service, this->Request.Work.Id);
  this->Context.Metrics.incrementCounter("model_requests_completed_total");
  this->Context.Metrics.incrementCounter("model_tokens_total",
                                         this->Received.Tokens);
  if (this->Request.Stream) {
    this->Exchange->endStream();
    return;
  }
  Network::HttpAnswer Answer;
  Answer.Status = StatusOk;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  Answer.Body = wholeAnswer(this->Request, this->Received);
  this->Exchange->reply(Answer);
}

void ModelCall::refuse(RefusalReason Reason, const std::string &Particulars) {
  if (this->Ended)
    return;
  this->Ended = true;
  this->Context.Metrics.recordRefusal(Reason);
  const Common::Refusal Refusal{Reason, Particulars};
  Telemetry::log(Events::ModelCallRefused, Common::refusalInfo(Reason).Name,
                 this->Request.Work.Id.Value, this->Request.Work.Caller.str());
  if (!this->Exchange->streaming()) {
    this->Exchange->reply(Network::problemAnswer(Refusal));
    return;
  }
  // The answer has begun: the error goes into the stream.
  this->Exchange->sendChunk(
      Network::eventOf("{\"error\":" + Network::problemJson(Refusal) + "}"));
  this->Exchange->endStream();
}

void ModelCall::stop() {
  if (this->Ended)
    return;
  this->Ended = true;
  if (this->Attempt)
    this->Attempt->cancel();
  this->Attempt.reset();
  this->Services.forget(this->Request.Service, this->Request.Work.Id);
}

} // namespace EntryDaemon
