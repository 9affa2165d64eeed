#include "Network/HttpServer.h"

#include "Network/HttpSyntax.h"

#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>
#include <utility>
#include <vector>

namespace Network {

namespace {

constexpr unsigned AllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

HttpMethod toHttpMethod(evhttp_request *RawRequest) {
  switch (evhttp_request_get_command(RawRequest)) {
  case EVHTTP_REQ_POST:
    return HttpMethod::Post;
  case EVHTTP_REQ_HEAD:
    return HttpMethod::Head;
  case EVHTTP_REQ_PUT:
    return HttpMethod::Put;
  case EVHTTP_REQ_DELETE:
    return HttpMethod::Delete;
  case EVHTTP_REQ_OPTIONS:
    return HttpMethod::Options;
  case EVHTTP_REQ_PATCH:
    return HttpMethod::Patch;
  default:
    return HttpMethod::Get;
  }
}

HttpRequest readRequest(evhttp_request *RawRequest) {
  HttpRequest Request;
  Request.Method = toHttpMethod(RawRequest);
  Request.Target = evhttp_request_get_uri(RawRequest);
  const evkeyvalq *Headers = evhttp_request_get_input_headers(RawRequest);
  for (const evkeyval *Each = Headers->tqh_first; Each;
       Each = Each->next.tqe_next)
    Request.Headers.push_back({Each->key, Each->value});
  evbuffer *Input = evhttp_request_get_input_buffer(RawRequest);
  Request.Body.resize(evbuffer_get_length(Input));
  evbuffer_remove(Input, Request.Body.data(), Request.Body.size());
  return Request;
}

} // namespace

HttpExchange::~HttpExchange() = default;

void HttpExchange::watchConnection() {
  this->Connection = evhttp_request_get_connection(this->RawRequest);
  // evhttp detects a disconnect only while it reads or writes, so the socket is
  // watched too. Whichever detects it first frees the connection, upon which
  // evhttp runs the close callback.
  evhttp_connection_set_closecb(
      this->Connection,
      [](evhttp_connection *, void *Self) {
        static_cast<HttpExchange *>(Self)->handleDisconnect();
      },
      this);
  bufferevent *Socket = evhttp_connection_get_bufferevent(this->Connection);
  this->PeerClosedEvent =
      this->Loop->onPeerClosed(bufferevent_getfd(Socket), [this] {
        evhttp_connection_free(this->Connection);
      });
}

void HttpExchange::handleDisconnect() {
  const auto Self = this->shared_from_this();
  const bool Unanswered = this->isOpen();
  this->finish();
  if (Unanswered && this->DisconnectHandler)
    this->DisconnectHandler();
}

evhttp_request *HttpExchange::takeRequest() {
  this->PeerClosedEvent.cancel();
  evhttp_request_set_on_complete_cb(
      this->RawRequest,
      [](evhttp_request *, void *Self) {
        static_cast<HttpExchange *>(Self)->finish();
      },
      this);
  return std::exchange(this->RawRequest, nullptr);
}

void HttpExchange::finish() {
  if (!this->SelfWhileOpen)
    return;
  this->RawRequest = nullptr;
  this->PeerClosedEvent.cancel();
  evhttp_connection_set_closecb(this->Connection, nullptr, nullptr);
  this->Server->OpenExchanges.erase(this);
  // Deferred, since this may be the last reference and a method of this object
  // is still running.
  this->Loop->defer([Retained = std::move(this->SelfWhileOpen)] {});
}

void HttpExchange::addResponseHeaders(const HttpHeaders &Headers) {
  evkeyvalq *Output = evhttp_request_get_output_headers(this->RawRequest);
  for (const HttpHeader &Header : Headers)
    evhttp_add_header(Output, Header.Name.c_str(), Header.Value.c_str());
  if (this->Server->ShuttingDown)
    evhttp_add_header(Output, "Connection", "close");
}

void HttpExchange::reply(const HttpResponse &Response) {
  if (!this->RawRequest)
    return;
  if (!isWritableHead(Response.Status, Response.Headers)) {
    this->reply({UnwritableHeadStatus, {}, ""});
    return;
  }
  this->addResponseHeaders(Response.Headers);
  evhttp_request *RawRequest = this->takeRequest();
  evbuffer *Body = evbuffer_new();
  evbuffer_add(Body, Response.Body.data(), Response.Body.size());
  evhttp_send_reply(RawRequest, Response.Status, nullptr, Body);
  evbuffer_free(Body);
}

void HttpExchange::startStream(int Status, const HttpHeaders &Headers) {
  if (!this->RawRequest || this->Streaming)
    return;
  if (!isWritableHead(Status, Headers)) {
    this->reply({UnwritableHeadStatus, {}, ""});
    return;
  }
  this->Streaming = true;
  this->addResponseHeaders(Headers);
  evhttp_send_reply_start(this->RawRequest, Status, nullptr);
}

void HttpExchange::sendChunk(std::string_view Bytes) {
  if (!this->RawRequest || Bytes.empty())
    return;
  evbuffer *Chunk = evbuffer_new();
  evbuffer_add(Chunk, Bytes.data(), Bytes.size());
  evhttp_send_reply_chunk(this->RawRequest, Chunk);
  evbuffer_free(Chunk);
}

void HttpExchange::endStream() {
  if (!this->RawRequest)
    return;
  evhttp_send_reply_end(this->takeRequest());
}

void HttpExchange::onCallerDisconnected(std::function<void()> Run) {
  this->DisconnectHandler = std::move(Run);
}

void HttpExchange::onInterrupted(std::function<void()> Run) {
  this->InterruptHandler = std::move(Run);
}

HttpServer::HttpServer(EventLoop &Loop, Handler OnRequest)
    : Loop(Loop), OnRequest(std::move(OnRequest)) {}

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::create(EventLoop &Loop, const Address &Listen,
                   const Limits &ServerLimits, Handler OnRequest) {
  std::unique_ptr<HttpServer> Result(
      new HttpServer(Loop, std::move(OnRequest)));
  Result->Server = evhttp_new(Loop.base());
  evhttp_set_allowed_methods(Result->Server, AllowedMethods);
  evhttp_set_max_headers_size(
      Result->Server, static_cast<ev_ssize_t>(ServerLimits.MaxHeaderBytes));
  evhttp_set_max_body_size(Result->Server,
                           static_cast<ev_ssize_t>(ServerLimits.MaxBodyBytes));
  evhttp_set_default_content_type(Result->Server, nullptr);
  evhttp_set_gencb(
      Result->Server,
      [](evhttp_request *RawRequest, void *Self) {
        static_cast<HttpServer *>(Self)->handleRequest(RawRequest);
      },
      Result.get());
  Result->Listener = evhttp_bind_socket_with_handle(
      Result->Server, Listen.Ip.c_str(), Listen.Port);
  if (!Result->Listener)
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", Listen.str(), "; free the port or change it"));
  return Result;
}

HttpServer::~HttpServer() {
  if (this->Server)
    evhttp_free(this->Server);
}

void HttpServer::startShutdown() { this->State->ShuttingDown = true; }

void HttpServer::interruptExchanges() {
  std::vector<std::shared_ptr<HttpExchange>> Incomplete;
  for (HttpExchange *Each : this->State->OpenExchanges)
    if (Each->isOpen())
      Incomplete.push_back(Each->shared_from_this());
  for (const auto &Each : Incomplete) {
    if (!Each->isOpen())
      continue;
    if (Each->InterruptHandler)
      Each->InterruptHandler();
    else
      evhttp_connection_free(Each->Connection);
  }
}

bool HttpServer::hasWaitingConnections() const {
  pollfd Listening{evhttp_bound_socket_get_fd(this->Listener), POLLIN, 0};
  return poll(&Listening, 1, 0) > 0;
}

void HttpServer::stopAccepting() {
  if (!this->Listener)
    return;
  if (this->hasWaitingConnections()) {
    // The close of the listener would reset them, so they are accepted first.
    this->StopAcceptingTimer = this->Loop.callAfter(
        Common::Duration::zero(), [this] { this->stopAccepting(); });
    return;
  }
  evhttp_del_accept_socket(this->Server, this->Listener);
  this->Listener = nullptr;
}

void HttpServer::handleRequest(evhttp_request *RawRequest) {
  std::shared_ptr<HttpExchange> Exchange(new HttpExchange());
  Exchange->Loop = &this->Loop;
  Exchange->RawRequest = RawRequest;
  Exchange->Server = this->State;
  Exchange->Request = readRequest(RawRequest);
  Exchange->SelfWhileOpen = Exchange;
  this->State->OpenExchanges.insert(Exchange.get());
  Exchange->watchConnection();
  this->OnRequest(Exchange);
}

} // namespace Network
