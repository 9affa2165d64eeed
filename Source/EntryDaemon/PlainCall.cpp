#include "EntryDaemon/PlainCall.h"

#include "Common/Hash.h"
#include "Network/Problem.h"

#include <absl/strings/match.h>
#include <array>

namespace EntryDaemon {

namespace {

using Common::Refusal;
using Common::RefusalReason;

constexpr std::string_view Prefix = "/services/";
constexpr Common::Duration ServiceSilence = std::chrono::seconds(30);
constexpr int StatusUnavailable = 503;

constexpr std::array ConnectionHeaders = {
    "connection", "keep-alive",          "transfer-encoding", "te",
    "upgrade",    "proxy-authorization", "trailer",           "content-length",
    "host",       "authorization",       "sycamore-priority"};

} // namespace

Network::HttpHeaders passedOn(const Network::HttpHeaders &Headers) {
  Network::HttpHeaders Result;
  for (const Network::HttpHeader &Each : Headers) {
    bool Drop = false;
    for (const char *Name : ConnectionHeaders)
      Drop = Drop || absl::EqualsIgnoreCase(Each.Name, Name);
    if (!Drop)
      Result.push_back(Each);
  }
  return Result;
}

std::variant<PlainRequest, Refusal>
parsePlainRequest(const Network::HttpRequest &Request,
                  const CallerContext &Caller,
                  const Configuration::Declaration &Declared) {
  const std::string Rest = Request.Target.substr(Prefix.size());
  const std::size_t NameEnd = std::min(Rest.find_first_of("/?"), Rest.size());
  const std::string Name = Rest.substr(0, NameEnd);
  const auto Found = Declared.services().find(Common::ServiceName(Name));
  const bool Plain = Found != Declared.services().end() &&
                     Found->second.Kind == Configuration::ServiceKind::Plain;
  if (!Plain)
    return Refusal{RefusalReason::UnknownService,
                   "no plain service '" + Name + "'"};
  PlainRequest Result;
  Result.Service = Found->first;
  Result.Content.Method = Request.Method;
  Result.Content.Target = Rest.substr(NameEnd);
  if (Result.Content.Target.empty() || Result.Content.Target[0] != '/')
    Result.Content.Target = "/" + Result.Content.Target;
  Result.Content.Headers = passedOn(Request.Headers);
  Result.Content.Headers.push_back({"Sycamore-Caller", Caller.Caller.str()});
  Result.Content.Body = Request.Body;
  Result.Work.Caller = Caller.Caller;
  Result.Work.CallerWeight = Caller.Weight;
  Result.Work.Priority = Caller.Priority;
  Result.Work.Target = Declared.target(Result.Service, Caller.Priority);
  Result.Work.Fingerprint = Common::hashBytes(
      Result.Service.str() + "\n" + Network::httpMethodName(Request.Method) +
      " " + Result.Content.Target + "\n" + Request.Body);
  // All daemons try one content at one server first.
  Result.Work.AffinityKey = Result.Work.Fingerprint | 1;
  return Result;
}

PlainCall::PlainCall(EntryContext &Context, Lanes &Services,
                     ExchangePtr Exchange, PlainRequest Request)
    : Context(Context), Services(Services), Exchange(std::move(Exchange)),
      Request(std::move(Request)), ArrivedAt(Context.Loop.now()) {}

void PlainCall::start(EntryContext &Context, Lanes &Services,
                      const ExchangePtr &Exchange, PlainRequest Request) {
  Request.Work.Id = Context.newRequestId();
  const std::shared_ptr<PlainCall> Call(
      new PlainCall(Context, Services, Exchange, std::move(Request)));
  Call->admit();
}

void PlainCall::admit() {
  const auto Self = this->shared_from_this();
  CallHandlers Handle;
  Handle.OnStart = [Self](const Common::BackendServerId &Chosen) {
    Self->send(Chosen);
  };
  Handle.OnRefuse = [Self](RefusalReason Reason) { Self->refuse(Reason); };
  const auto Refused = this->Services.arrive(
      this->Request.Service, this->Request.Work, std::move(Handle));
  if (Refused) {
    this->refuse(*Refused);
    return;
  }
  std::weak_ptr<PlainCall> Weak = Self;
  this->Exchange->onCallerGone([Weak] {
    if (const auto Call = Weak.lock()) {
      Call->Context.Metrics.recordRefusal(RefusalReason::CallerDisconnected);
      Call->stop();
    }
  });
}

void PlainCall::send(const Common::BackendServerId &Chosen) {
  this->Server = Chosen;
  const auto *Known = this->Context.Registry.find(Chosen);
  if (!Known) {
    this->Services.returned(this->Request.Service, this->Request.Work.Id);
    return;
  }
  Network::HttpCall Call;
  Call.To = Known->Latest.Address;
  Call.Timeout = ServiceSilence;
  Call.Request = this->Request.Content;
  const auto Self = this->shared_from_this();
  Network::HttpCallHandlers Handle;
  Handle.OnDone = [Self](Network::CallResult Result,
                         Network::HttpAnswer Answer) {
    Self->attemptEnds(Result, std::move(Answer));
  };
  this->Attempt = this->Context.Http.start(std::move(Call), std::move(Handle));
}

void PlainCall::attemptEnds(Network::CallResult Result,
                            Network::HttpAnswer Answer) {
  this->Attempt.reset();
  if (this->Ended)
    return;
  const auto &Service = this->Request.Service;
  const Common::RequestId Id = this->Request.Work.Id;
  if (Result == Network::CallResult::NotSent) {
    this->Services.failed(Service, Id, this->Server,
                          Routing::Failure::ConnectFailed);
    return;
  }
  if (Result == Network::CallResult::Lost) {
    this->Services.failed(Service, Id, this->Server,
                          Routing::Failure::ConnectionLost);
    return;
  }
  if (Answer.Status == StatusUnavailable) {
    this->Services.forget(Service, Id);
    this->refuse(RefusalReason::QueueFull);
    return;
  }
  this->Ended = true;
  this->Services.firstToken(Service, Id);
  this->Services.finished(Service, Id);
  this->Context.Metrics.incrementCounter("plain_requests_completed_total");
  this->Context.Metrics.observeSummary(
      "answer_seconds_" + this->Request.Work.Priority.str(),
      this->Context.Loop.now() - this->ArrivedAt);
  Answer.Headers = passedOn(Answer.Headers);
  this->Exchange->reply(Answer);
}

void PlainCall::refuse(RefusalReason Reason) {
  if (this->Ended)
    return;
  this->Ended = true;
  this->Context.Metrics.recordRefusal(Reason);
  this->Exchange->reply(Network::problemAnswer({Reason, ""}));
}

void PlainCall::stop() {
  if (this->Ended)
    return;
  this->Ended = true;
  if (this->Attempt)
    this->Attempt->cancel();
  this->Attempt.reset();
  this->Services.forget(this->Request.Service, this->Request.Work.Id);
}

} // namespace EntryDaemon
