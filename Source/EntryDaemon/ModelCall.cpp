#include "EntryDaemon/ModelCall.h"

#include "EntryDaemon/PlainCall.h"
#include "Network/Problem.h"
#include "Network/RetryAfter.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace EntryDaemon {

namespace {

using Common::RefusalReason;
namespace Events = Telemetry::Events;

/// The stream counts as broken if the engine sends nothing for this long.
constexpr Common::Duration EngineIdleTimeout = std::chrono::seconds(30);
constexpr int StatusOk = 200;
constexpr int FirstServerError = 500;

} // namespace

ModelCall::ModelCall(EntryContext &Context, ServiceDispatchers &Dispatchers,
                     ExchangePtr Exchange, ModelRequest Request)
    : Context(Context), Dispatchers(Dispatchers), Exchange(std::move(Exchange)),
      Request(std::move(Request)), ArrivedAt(Context.Loop.now()) {}

void ModelCall::start(EntryContext &Context, ServiceDispatchers &Dispatchers,
                      const ExchangePtr &Exchange, ModelRequest Request) {
  Request.Work.Id = Context.newRequestId();
  const std::shared_ptr<ModelCall> Call(
      new ModelCall(Context, Dispatchers, Exchange, std::move(Request)));
  Call->admit();
}

void ModelCall::admit() {
  const auto Self = this->shared_from_this();
  CallHandlers Handlers;
  Handlers.OnStart = [Self](const Common::BackendServerId &Chosen) {
    Self->send(Chosen);
  };
  Handlers.OnPreempt = [Self] {
    Self->Attempt->cancel();
    Self->Attempt.reset();
    Self->MayHaveRun = true;
  };
  Handlers.CancelIfUnsent = [Self] {
    if (!Self->Attempt || !Self->Attempt->cancelIfUnsent())
      return false;
    Self->Attempt.reset();
    return true;
  };
  Handlers.OnRefuse = [Self](RefusalReason Reason) {
    Self->refuse(Reason, "");
  };
  const auto Refused = this->Dispatchers.submit(
      this->Request.Service, this->Request.Work, std::move(Handlers));
  if (Refused) {
    this->refuse(*Refused, "");
    return;
  }
  std::weak_ptr<ModelCall> Weak = Self;
  this->Exchange->onCallerDisconnected([Weak] {
    if (const auto Call = Weak.lock()) {
      Call->Context.Metrics.recordRefusal(RefusalReason::CallerDisconnected);
      Call->stop();
    }
  });
  this->Exchange->onInterrupted([Weak] {
    if (const auto Call = Weak.lock())
      Call->interrupt();
  });
}

void ModelCall::send(const Common::BackendServerId &Chosen) {
  this->Server = Chosen;
  const auto *RegistryEntry = this->Context.Registry.find(Chosen);
  if (!RegistryEntry) {
    this->Dispatchers.requeue(this->Request.Service, this->Request.Work.Id);
    return;
  }
  this->Reader = Network::EventStreamReader();
  this->Status = 0;
  this->ErrorBody.clear();
  this->Resumed = this->Received.Tokens > 0;
  Network::HttpCall Call;
  Call.To = RegistryEntry->Latest.Address;
  Call.Timeout = EngineIdleTimeout;
  Call.Request.Method = Network::HttpMethod::Post;
  Call.Request.Target = modelApiPath(this->Request.Api);
  Call.Request.Headers = {
      {"Content-Type", "application/json"},
      {"Sycamore-Priority", this->Request.Work.Priority.str()}};
  Call.Request.Body = buildEngineBody(this->Request, this->Received);
  const auto Self = this->shared_from_this();
  Network::HttpCallHandlers Handlers;
  Handlers.OnHead = [Self](const Network::HttpResponse &Head) {
    Self->answerStarted(Head);
  };
  Handlers.OnBody = [Self](const std::string &Bytes) {
    Self->receiveChunk(Bytes);
  };
  Handlers.OnDone = [Self](Network::HttpCallResult Result,
                           const Network::HttpResponse &Answer) {
    Self->attemptEnded(Result, Answer);
  };
  this->Attempt =
      this->Context.Http.start(std::move(Call), std::move(Handlers));
}

void ModelCall::answerStarted(const Network::HttpResponse &Head) {
  this->Status = Head.Status;
  this->Dispatchers.onResponseHead(this->Request.Service, this->Request.Work.Id,
                                   Head);
}

void ModelCall::receiveChunk(const std::string &Bytes) {
  if (this->Finished)
    return;
  if (this->Status != StatusOk) {
    this->ErrorBody += Bytes;
    return;
  }
  const bool First = this->Received.Tokens == 0;
  for (const std::string &Data : this->Reader.feed(Bytes)) {
    const std::string Event =
        processEvent(this->Request, Data, this->Resumed, this->Received);
    if (!Event.empty() && this->Request.Stream)
      this->forwardEvent(Event);
  }
  this->Dispatchers.onProgress(this->Request.Service, this->Request.Work.Id,
                               this->Received.Tokens);
  if (this->Received.Tokens == 0)
    return;
  this->Dispatchers.onFirstToken(this->Request.Service, this->Request.Work.Id);
  if (First)
    this->Context.Metrics.observeSummary(
        "first_token_seconds_" + this->Request.Work.Priority.str(),
        this->Context.Loop.now() - this->ArrivedAt);
}

void ModelCall::forwardEvent(const std::string &Event) {
  if (!this->Exchange->isStreaming())
    this->Exchange->startStream(
        StatusOk,
        {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
  this->Exchange->sendChunk(Network::formatEvent(Event));
}

void ModelCall::attemptEnded(Network::HttpCallResult Result,
                             const Network::HttpResponse &Answer) {
  this->Attempt.reset();
  if (this->Finished)
    return;
  const auto &Service = this->Request.Service;
  const Common::RequestId Id = this->Request.Work.Id;
  if (this->Received.Complete) {
    this->complete();
    return;
  }
  if (Result == Network::HttpCallResult::NotSent) {
    this->Dispatchers.onFailed(Service, Id, this->Server,
                               Routing::Failure::ConnectFailed);
    return;
  }
  if (Result == Network::HttpCallResult::Complete &&
      Network::isRejection(Answer.Status)) {
    // Not retried, since retries would add to the overload.
    this->Dispatchers.remove(Service, Id);
    this->refuse(RefusalReason::QueueFull,
                 "the backend server has no free capacity");
    return;
  }
  this->MayHaveRun = true;
  if (Result == Network::HttpCallResult::Complete &&
      Answer.Status >= FirstServerError) {
    this->Dispatchers.onFailed(Service, Id, this->Server,
                               Routing::Failure::ServerError);
    return;
  }
  if (Result == Network::HttpCallResult::Complete &&
      Answer.Status != StatusOk) {
    this->Dispatchers.onFinished(Service, Id);
    if (this->Exchange->isStreaming()) {
      // The server refused to resume a stream whose head has been sent.
      this->refuse(RefusalReason::BackendServerFailed,
                   "the backend server refused to resume the stream");
      return;
    }
    this->Finished = true;
    this->Exchange->reply({Answer.Status,
                           {{"Content-Type", "application/json"}},
                           this->ErrorBody});
    return;
  }
  if (Result == Network::HttpCallResult::Malformed) {
    this->Dispatchers.onFailed(Service, Id, this->Server,
                               Routing::Failure::InvalidAnswer);
    return;
  }
  const bool StreamStarted = this->Received.Tokens > 0;
  this->Dispatchers.onFailed(Service, Id, this->Server,
                             StreamStarted ? Routing::Failure::StreamBroken
                                           : Routing::Failure::ConnectionLost);
}

void ModelCall::complete() {
  this->Finished = true;
  this->Dispatchers.onFinished(this->Request.Service, this->Request.Work.Id);
  this->Context.Metrics.incrementCounter("model_requests_completed_total");
  this->Context.Metrics.incrementCounter("model_tokens_total",
                                         this->Received.Tokens);
  if (this->Request.Stream) {
    this->Exchange->endStream();
    return;
  }
  Network::HttpResponse Answer;
  Answer.Status = StatusOk;
  Answer.Headers.push_back({"Content-Type", "application/json"});
  Answer.Body = buildAnswer(this->Request, this->Received);
  this->Exchange->reply(Answer);
}

void ModelCall::refuse(RefusalReason Reason, const std::string &Detail) {
  if (this->Finished)
    return;
  this->Finished = true;
  if (this->MayHaveRun)
    Reason = reasonAfterRun(Reason);
  this->Context.Metrics.recordRefusal(Reason);
  const Common::Refusal Refusal = this->Dispatchers.refusal(
      this->Request.Service, this->Request.Work.Priority, Reason, Detail);
  Telemetry::log(Events::ModelCallRefused, Common::refusalInfo(Reason).Name,
                 this->Request.Work.Id.Value, this->Request.Work.Caller.str());
  if (!this->Exchange->isStreaming()) {
    this->Exchange->reply(Network::problemResponse(Refusal));
    return;
  }
  // The answer has started, so the error is sent as an event of the stream.
  this->Exchange->sendChunk(Network::formatEvent(
      "{\"error\":" + Network::problemJson(Refusal) + "}"));
  this->Exchange->endStream();
}

void ModelCall::interrupt() {
  const bool Unknown = this->MayHaveRun || this->Attempt;
  this->withdraw();
  this->refuse(
      Unknown ? RefusalReason::Interrupted : RefusalReason::ShuttingDown, "");
}

void ModelCall::stop() {
  if (this->Finished)
    return;
  this->Finished = true;
  this->withdraw();
}

void ModelCall::withdraw() {
  if (this->Attempt)
    this->Attempt->cancel();
  this->Attempt.reset();
  this->Dispatchers.remove(this->Request.Service, this->Request.Work.Id);
}

} // namespace EntryDaemon
