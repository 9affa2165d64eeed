#include "Network/HttpClient.h"

#include "Network/HttpSyntax.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <iterator>

namespace Network {

namespace {

constexpr std::size_t MaxResponseBytes = 64u << 20;

/// Copies the fields that HTTP can carry.
HttpHeaders writableHeaders(const HttpHeaders &Headers) {
  HttpHeaders Result;
  std::copy_if(Headers.begin(), Headers.end(), std::back_inserter(Result),
               isWritable);
  return Result;
}

HttpHeaders withoutTrailingSpace(HttpHeaders Headers) {
  for (HttpHeader &Each : Headers)
    absl::StripTrailingAsciiWhitespace(&Each.Value);
  return Headers;
}

HttpCallResult toHttpCallResult(Http1CallResult Result) {
  switch (Result) {
  case Http1CallResult::Complete:
    return HttpCallResult::Complete;
  case Http1CallResult::NotSent:
  case Http1CallResult::Withheld:
    return HttpCallResult::NotSent;
  case Http1CallResult::NoResponse:
  case Http1CallResult::Truncated:
    return HttpCallResult::Incomplete;
  case Http1CallResult::Malformed:
    return HttpCallResult::Malformed;
  }
  return HttpCallResult::Incomplete;
}

} // namespace

struct HttpAttempt::State {
  HttpCallHandlers Handlers;
  /// Kept alive by the client until it ends.
  std::weak_ptr<Http1Client::ActiveCall> Call;
  bool Sent = false;
  std::size_t BodyBytes = 0;
  HttpResponse Response;

  void receive(std::string Bytes) {
    this->BodyBytes += Bytes.size();
    if (this->BodyBytes > MaxResponseBytes) {
      Http1Client::cancel(this->Call.lock());
      this->end(HttpCallResult::Malformed);
    } else if (this->Handlers.OnBody) {
      this->Handlers.OnBody(std::move(Bytes));
    } else {
      this->Response.Body += Bytes;
    }
  }

  void end(HttpCallResult Result) {
    this->Call.reset();
    HttpResponse Received = std::move(this->Response);
    if (Result != HttpCallResult::Complete)
      Received = HttpResponse();
    const auto Run = std::move(this->Handlers.OnDone);
    if (Run)
      Run(Result, std::move(Received));
  }
};

HttpAttempt HttpClient::start(HttpCall Call, HttpCallHandlers Handlers) {
  auto State = std::make_shared<HttpAttempt::State>();
  State->Handlers = std::move(Handlers);
  const bool Dedicated = Call.Policy == ConnectionPolicy::Dedicated;
  Http1Call Request;
  Request.To = Call.To;
  Request.Method = httpMethodName(Call.Request.Method);
  Request.Target = std::move(Call.Request.Target);
  Request.Headers = writableHeaders(Call.Request.Headers);
  Request.Headers.push_back({"Host", Call.To.str()});
  if (Dedicated)
    Request.Headers.push_back({"Connection", "close"});
  Request.Body = std::move(Call.Request.Body);
  Request.ConnectTimeout = Call.Timeout;
  Request.IdleTimeout = Call.Timeout;
  Request.AcknowledgementTimeout = Call.Timeout;
  Request.OwnConnection = Dedicated;
  Request.ResetOnClose = Dedicated;

  Http1CallHandlers CallHandlers;
  CallHandlers.OnSent = [State] { State->Sent = true; };
  CallHandlers.OnHead = [State](const Http1Head &Head) {
    State->Response.Status = Head.Status;
    State->Response.Headers = withoutTrailingSpace(Head.Headers);
    if (State->Handlers.OnHead)
      State->Handlers.OnHead(State->Response);
    return true;
  };
  CallHandlers.OnBody = [State](std::string Bytes) {
    State->receive(std::move(Bytes));
  };
  CallHandlers.OnDone = [State](Http1CallResult Result) {
    State->end(toHttpCallResult(Result));
  };
  State->Call = this->Client.start(std::move(Request), std::move(CallHandlers));
  return HttpAttempt(State);
}

bool HttpAttempt::cancelIfUnsent() {
  if (this->SharedState->Call.expired() || this->SharedState->Sent)
    return false;
  this->cancel();
  return true;
}

void HttpAttempt::cancel() {
  Http1Client::cancel(this->SharedState->Call.lock());
  this->SharedState->Call.reset();
}

} // namespace Network
