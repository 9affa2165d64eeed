#include "EntryDaemon/PlainCall.h"

#include "Common/Hash.h"
#include "Network/Problem.h"

#include <absl/strings/match.h>
#include <array>

namespace EntryDaemon {

namespace {

using Common::Refusal;
using Common::RefusalReason;

constexpr std::string_view ServicesPrefix = "/services/";
constexpr Common::Duration ServiceIdleTimeout = std::chrono::seconds(30);
constexpr int StatusUnavailable = 503;

constexpr std::array UnforwardedHeaders = {
    "connection", "keep-alive",          "transfer-encoding", "te",
    "upgrade",    "proxy-authorization", "trailer",           "content-length",
    "host",       "authorization",       "sycamore-priority"};

} // namespace

Network::HttpHeaders forwardedHeaders(const Network::HttpHeaders &Headers) {
  Network::HttpHeaders Result;
  for (const Network::HttpHeader &Each : Headers) {
    bool Excluded = false;
    for (const char *Name : UnforwardedHeaders)
      Excluded = Excluded || absl::EqualsIgnoreCase(Each.Name, Name);
    if (!Excluded)
      Result.push_back(Each);
  }
  return Result;
}

std::variant<PlainRequest, Refusal>
parsePlainRequest(const Network::HttpRequest &Request,
                  const CallerContext &Caller,
                  const Configuration::Declaration &Declared) {
  const std::string Rest = Request.Target.substr(ServicesPrefix.size());
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
  Result.Content.Headers = forwardedHeaders(Request.Headers);
  Result.Content.Headers.push_back({"Sycamore-Caller", Caller.Caller.str()});
  Result.Content.Body = Request.Body;
  Result.Work.Caller = Caller.Caller;
  Result.Work.CallerWeight = Caller.Weight;
  Result.Work.Priority = Caller.Priority;
  Result.Work.Target = Declared.target(Result.Service, Caller.Priority);
  Result.Work.Fingerprint = Common::hashBytes(
      Result.Service.str() + "\n" + Network::httpMethodName(Request.Method) +
      " " + Result.Content.Target + "\n" + Request.Body);
  // All daemons prefer the same server for the same request.
  Result.Work.AffinityKey = Result.Work.Fingerprint | 1;
  return Result;
}

RefusalReason reasonAfterRun(RefusalReason Reason) {
  const bool PromisesNotRun =
      Common::refusalInfo(Reason).Outcome == Common::Outcome::NotExecuted;
  // A quarantined content must be changed, whatever it did before.
  return PromisesNotRun && Reason != RefusalReason::Quarantined
             ? RefusalReason::BackendServerFailed
             : Reason;
}

PlainCall::PlainCall(EntryContext &Context, ServiceDispatchers &Dispatchers,
                     ExchangePtr Exchange, PlainRequest Request)
    : Context(Context), Dispatchers(Dispatchers), Exchange(std::move(Exchange)),
      Request(std::move(Request)), ArrivedAt(Context.Loop.now()) {}

void PlainCall::start(EntryContext &Context, ServiceDispatchers &Dispatchers,
                      const ExchangePtr &Exchange, PlainRequest Request) {
  Request.Work.Id = Context.newRequestId();
  const std::shared_ptr<PlainCall> Call(
      new PlainCall(Context, Dispatchers, Exchange, std::move(Request)));
  Call->admit();
}

void PlainCall::admit() {
  const auto Self = this->shared_from_this();
  CallHandlers Handlers;
  Handlers.OnStart = [Self](const Common::BackendServerId &Chosen) {
    Self->send(Chosen);
  };
  Handlers.CancelIfUnsent = [Self] {
    if (!Self->Attempt || !Self->Attempt->cancelIfUnsent())
      return false;
    Self->Attempt.reset();
    return true;
  };
  Handlers.OnRefuse = [Self](RefusalReason Reason) { Self->refuse(Reason); };
  const auto Refused = this->Dispatchers.submit(
      this->Request.Service, this->Request.Work, std::move(Handlers));
  if (Refused) {
    this->refuse(*Refused);
    return;
  }
  std::weak_ptr<PlainCall> Weak = Self;
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

void PlainCall::send(const Common::BackendServerId &Chosen) {
  this->Server = Chosen;
  const auto *RegistryEntry = this->Context.Registry.find(Chosen);
  if (!RegistryEntry) {
    this->Dispatchers.requeue(this->Request.Service, this->Request.Work.Id);
    return;
  }
  Network::HttpCall Call;
  Call.To = RegistryEntry->Latest.Address;
  Call.Timeout = ServiceIdleTimeout;
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
  this->Attempt =
      this->Context.Http.start(std::move(Call), std::move(Handlers));
}

void PlainCall::attemptEnded(Network::HttpCallResult Result,
                             Network::HttpResponse Answer) {
  this->Attempt.reset();
  if (this->Finished)
    return;
  const auto &Service = this->Request.Service;
  const Common::RequestId Id = this->Request.Work.Id;
  if (Result == Network::HttpCallResult::NotSent) {
    this->Dispatchers.onFailed(Service, Id, this->Server,
                               Routing::Failure::ConnectFailed);
    return;
  }
  if (Result != Network::HttpCallResult::Complete) {
    this->MayHaveRun = true;
    this->Dispatchers.onFailed(Service, Id, this->Server,
                               Result == Network::HttpCallResult::Malformed
                                   ? Routing::Failure::InvalidAnswer
                                   : Routing::Failure::ConnectionLost);
    return;
  }
  if (Answer.Status == StatusUnavailable) {
    this->Dispatchers.remove(Service, Id);
    this->refuse(RefusalReason::QueueFull);
    return;
  }
  this->Finished = true;
  this->Dispatchers.onFirstToken(Service, Id);
  this->Dispatchers.onFinished(Service, Id);
  this->Context.Metrics.incrementCounter("plain_requests_completed_total");
  this->Context.Metrics.observeSummary(
      "answer_seconds_" + this->Request.Work.Priority.str(),
      this->Context.Loop.now() - this->ArrivedAt);
  Answer.Headers = forwardedHeaders(Answer.Headers);
  this->Exchange->reply(Answer);
}

void PlainCall::refuse(RefusalReason Reason) {
  if (this->Finished)
    return;
  this->Finished = true;
  if (this->MayHaveRun)
    Reason = reasonAfterRun(Reason);
  this->Context.Metrics.recordRefusal(Reason);
  this->Exchange->reply(Network::problemResponse(this->Dispatchers.refusal(
      this->Request.Service, this->Request.Work.Priority, Reason, "")));
}

void PlainCall::interrupt() {
  const bool Unknown = this->MayHaveRun || this->Attempt;
  this->withdraw();
  this->refuse(Unknown ? RefusalReason::Interrupted
                       : RefusalReason::ShuttingDown);
}

void PlainCall::stop() {
  if (this->Finished)
    return;
  this->Finished = true;
  this->withdraw();
}

void PlainCall::withdraw() {
  if (this->Attempt)
    this->Attempt->cancel();
  this->Attempt.reset();
  this->Dispatchers.remove(this->Request.Service, this->Request.Work.Id);
}

} // namespace EntryDaemon
