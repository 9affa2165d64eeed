#include "Network/HttpClient.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace Network {

namespace {

constexpr ev_ssize_t MaxAnswerBytes = 64 << 20;

timeval toTimeval(Common::Duration Span) {
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  timeval Value{};
  Value.tv_sec = Span.count() / MicrosPerSecond;
  Value.tv_usec = Span.count() % MicrosPerSecond;
  return Value;
}

evhttp_cmd_type commandOf(HttpMethod Method) {
  switch (Method) {
  case HttpMethod::Get:
    return EVHTTP_REQ_GET;
  case HttpMethod::Head:
    return EVHTTP_REQ_HEAD;
  case HttpMethod::Post:
    return EVHTTP_REQ_POST;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Patch:
    return EVHTTP_REQ_PATCH;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  case HttpMethod::Options:
    return EVHTTP_REQ_OPTIONS;
  }
  return EVHTTP_REQ_GET;
}

std::string drain(evbuffer *Input) {
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  return Bytes;
}

void readHead(evhttp_request *Raw, HttpAnswer &Answer) {
  Answer.Status = evhttp_request_get_response_code(Raw);
  Answer.Headers.clear();
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  for (const evkeyval *Each = Headers->tqh_first; Each;
       Each = Each->next.tqe_next)
    Answer.Headers.push_back({Each->key, Each->value});
}

} // namespace

struct HttpClient::Connection {
  Address To;
  evhttp_connection *Raw = nullptr;
  /// Whether any byte was queued since the current call began.
  bool ByteQueued = false;

  ~Connection() {
    if (this->Raw)
      evhttp_connection_free(this->Raw);
  }
};

struct HttpAttempt::State {
  HttpClient *Client = nullptr;
  std::unique_ptr<HttpClient::Connection> Connection;
  evhttp_request *Raw = nullptr;
  HttpCallHandlers Handle;
  bool Failed = false;
  HttpAnswer Answer;
};

HttpClient::HttpClient(EventLoop &Loop) : Loop(Loop) {}

HttpClient::~HttpClient() {
  // Freeing a connection ends its requests; their callbacks must not run.
  for (auto &Each : this->Active)
    Each.second->Client = nullptr;
  this->Active.clear();
}

std::unique_ptr<HttpClient::Connection>
HttpClient::takeIdle(const Address &To) {
  auto &Waiting = this->Idle[To];
  if (Waiting.empty())
    return this->open(To);
  auto Taken = std::move(Waiting.back());
  Waiting.pop_back();
  return Taken;
}

std::unique_ptr<HttpClient::Connection> HttpClient::open(const Address &To) {
  auto Opened = std::make_unique<Connection>();
  Opened->To = To;
  Opened->Raw = evhttp_connection_base_new(this->Loop.base(), nullptr,
                                           To.Ip.c_str(), To.Port);
  evhttp_connection_set_retries(Opened->Raw, 0);
  evhttp_connection_set_max_body_size(Opened->Raw, MaxAnswerBytes);
  bufferevent *Socket = evhttp_connection_get_bufferevent(Opened->Raw);
  evbuffer_add_cb(
      bufferevent_get_output(Socket),
      [](evbuffer *, const evbuffer_cb_info *Info, void *Argument) {
        if (Info->n_added > 0)
          static_cast<Connection *>(Argument)->ByteQueued = true;
      },
      Opened.get());
  return Opened;
}

void HttpClient::release(std::unique_ptr<Connection> Used, bool Reusable) {
  auto &Waiting = this->Idle[Used->To];
  if (Reusable && Waiting.size() < MaxIdlePerAddress) {
    Waiting.push_back(std::move(Used));
    return;
  }
  // evhttp may be in a callback of this connection.
  this->Loop.defer([Old = std::shared_ptr<Connection>(std::move(Used))] {});
}

void HttpClient::complete(const std::shared_ptr<HttpAttempt::State> &Attempt,
                          CallResult Result, HttpAnswer Answer) {
  this->Active.erase(Attempt.get());
  Attempt->Raw = nullptr;
  const bool Reusable = Result == CallResult::Answered;
  this->release(std::move(Attempt->Connection), Reusable);
  if (Attempt->Handle.OnDone)
    Attempt->Handle.OnDone(Result, std::move(Answer));
}

HttpAttempt HttpClient::start(HttpCall Call, HttpCallHandlers Handle) {
  auto State = std::make_shared<HttpAttempt::State>();
  State->Client = this;
  State->Handle = std::move(Handle);
  const bool Fresh = Call.Use == ConnectionUse::Fresh;
  State->Connection = Fresh ? this->open(Call.To) : this->takeIdle(Call.To);
  State->Connection->ByteQueued = false;
  const timeval Timeout = toTimeval(Call.Timeout);
  evhttp_connection_set_timeout_tv(State->Connection->Raw, &Timeout);

  State->Raw = evhttp_request_new(
      [](evhttp_request *Raw, void *Argument) {
        auto *Self = static_cast<HttpAttempt::State *>(Argument);
        if (!Self->Client)
          return;
        HttpClient *Client = Self->Client;
        const auto Keep = Client->Active.at(Self);
        const bool Whole =
            Raw && !Self->Failed && evhttp_request_get_response_code(Raw) != 0;
        if (Whole) {
          readHead(Raw, Self->Answer);
          const std::string Rest = drain(evhttp_request_get_input_buffer(Raw));
          if (Self->Handle.OnChunk && !Rest.empty())
            Self->Handle.OnChunk(Rest);
          else
            Self->Answer.Body += Rest;
          Client->complete(Keep, CallResult::Answered, std::move(Self->Answer));
          return;
        }
        const bool Sent = Self->Connection->ByteQueued;
        Client->complete(Keep, Sent ? CallResult::Lost : CallResult::NotSent,
                         {});
      },
      State.get());
  evhttp_request_set_error_cb(
      State->Raw, [](evhttp_request_error, void *Argument) {
        static_cast<HttpAttempt::State *>(Argument)->Failed = true;
      });
  evhttp_request_set_header_cb(
      State->Raw, [](evhttp_request *Raw, void *Argument) {
        auto *Self = static_cast<HttpAttempt::State *>(Argument);
        readHead(Raw, Self->Answer);
        if (Self->Handle.OnStart)
          Self->Handle.OnStart(Self->Answer);
        return 0;
      });
  if (State->Handle.OnChunk)
    evhttp_request_set_chunked_cb(
        State->Raw, [](evhttp_request *Raw, void *Argument) {
          auto *Self = static_cast<HttpAttempt::State *>(Argument);
          const auto OnChunk = Self->Handle.OnChunk;
          OnChunk(drain(evhttp_request_get_input_buffer(Raw)));
        });

  evkeyvalq *Headers = evhttp_request_get_output_headers(State->Raw);
  for (const HttpHeader &Header : Call.Request.Headers)
    evhttp_add_header(Headers, Header.Name.c_str(), Header.Value.c_str());
  evhttp_add_header(Headers, "Host", Call.To.str().c_str());
  if (Fresh)
    evhttp_add_header(Headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(State->Raw),
               Call.Request.Body.data(), Call.Request.Body.size());

  this->Active[State.get()] = State;
  HttpAttempt Attempt(State);
  const int Made = evhttp_make_request(State->Connection->Raw, State->Raw,
                                       commandOf(Call.Request.Method),
                                       Call.Request.Target.c_str());
  if (Made != 0 && this->Active.count(State.get()) != 0) {
    // evhttp has freed the request without running its callback.
    this->Loop.defer([this, State] {
      if (this->Active.count(State.get()) != 0)
        this->complete(State, CallResult::NotSent, {});
    });
  }
  return Attempt;
}

void HttpAttempt::cancel() {
  State &Attempt = *this->Held;
  if (!Attempt.Client || !Attempt.Raw)
    return;
  evhttp_request *Raw = Attempt.Raw;
  Attempt.Raw = nullptr;
  const auto Keep = this->Held;
  Attempt.Client->Active.erase(&Attempt);
  evhttp_cancel_request(Raw);
  Attempt.Client->release(std::move(Attempt.Connection), false);
  Attempt.Client = nullptr;
}

} // namespace Network
