#include "Network/HttpServer.h"

#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace Network {

namespace {

constexpr unsigned AllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

HttpMethod methodOf(evhttp_request *Raw) {
  switch (evhttp_request_get_command(Raw)) {
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

HttpRequest readRequest(evhttp_request *Raw) {
  HttpRequest Request;
  Request.Method = methodOf(Raw);
  Request.Target = evhttp_request_get_uri(Raw);
  const evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  for (const evkeyval *Each = Headers->tqh_first; Each;
       Each = Each->next.tqe_next)
    Request.Headers.push_back({Each->key, Each->value});
  evbuffer *Input = evhttp_request_get_input_buffer(Raw);
  Request.Body.resize(evbuffer_get_length(Input));
  evbuffer_remove(Input, Request.Body.data(), Request.Body.size());
  return Request;
}

void addHeaders(evhttp_request *Raw, const HttpHeaders &Headers) {
  evkeyvalq *Output = evhttp_request_get_output_headers(Raw);
  for (const HttpHeader &Header : Headers)
    evhttp_add_header(Output, Header.Name.c_str(), Header.Value.c_str());
}

} // namespace

HttpExchange::~HttpExchange() = default;

void HttpExchange::watchCaller() {
  this->Connection = evhttp_request_get_connection(this->Raw);
  // evhttp notices a close only while it reads or writes. Whoever notices
  // it first frees the connection, and evhttp then runs the close callback.
  evhttp_connection_set_closecb(
      this->Connection,
      [](evhttp_connection *, void *Self) {
        static_cast<HttpExchange *>(Self)->callerClosed();
      },
      this);
  bufferevent *Socket = evhttp_connection_get_bufferevent(this->Connection);
  this->Closed = this->Loop->onPeerClosed(bufferevent_getfd(Socket), [this] {
    evhttp_connection_free(this->Connection);
  });
}

void HttpExchange::callerClosed() {
  const auto Self = this->shared_from_this();
  this->finish();
  if (this->CallerGone)
    this->CallerGone();
}

void HttpExchange::finish() {
  if (!this->Raw)
    return;
  this->Raw = nullptr;
  this->Closed.cancel();
  evhttp_connection_set_closecb(this->Connection, nullptr, nullptr);
  --*this->OpenCount;
  // The last owner may be the caller of this method.
  this->Loop->defer([Keep = std::move(this->SelfWhileOpen)] {});
}

void HttpExchange::reply(const HttpAnswer &Answer) {
  if (!this->Raw)
    return;
  evhttp_request *Target = this->Raw;
  this->finish();
  addHeaders(Target, Answer.Headers);
  evbuffer *Body = evbuffer_new();
  evbuffer_add(Body, Answer.Body.data(), Answer.Body.size());
  evhttp_send_reply(Target, Answer.Status, nullptr, Body);
  evbuffer_free(Body);
}

void HttpExchange::startStream(int Status, const HttpHeaders &Headers) {
  if (!this->Raw || this->Streaming)
    return;
  this->Streaming = true;
  addHeaders(this->Raw, Headers);
  evhttp_send_reply_start(this->Raw, Status, nullptr);
}

void HttpExchange::sendChunk(std::string_view Bytes) {
  if (!this->Raw || Bytes.empty())
    return;
  evbuffer *Chunk = evbuffer_new();
  evbuffer_add(Chunk, Bytes.data(), Bytes.size());
  evhttp_send_reply_chunk(this->Raw, Chunk);
  evbuffer_free(Chunk);
}

void HttpExchange::endStream() {
  if (!this->Raw)
    return;
  evhttp_request *Target = this->Raw;
  this->finish();
  evhttp_send_reply_end(Target);
}

void HttpExchange::onCallerGone(std::function<void()> Run) {
  this->CallerGone = std::move(Run);
}

HttpServer::HttpServer(EventLoop &Loop, Handler Handle)
    : Loop(Loop), Handle(std::move(Handle)) {}

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::create(EventLoop &Loop, const Address &Listen, const Limits &Bounds,
                   Handler Handle) {
  std::unique_ptr<HttpServer> Result(new HttpServer(Loop, std::move(Handle)));
  Result->Server = evhttp_new(Loop.base());
  evhttp_set_allowed_methods(Result->Server, AllowedMethods);
  evhttp_set_max_headers_size(Result->Server,
                              static_cast<ev_ssize_t>(Bounds.MaxHeaderBytes));
  evhttp_set_max_body_size(Result->Server,
                           static_cast<ev_ssize_t>(Bounds.MaxBodyBytes));
  evhttp_set_default_content_type(Result->Server, nullptr);
  evhttp_set_gencb(
      Result->Server,
      [](evhttp_request *Raw, void *Self) {
        static_cast<HttpServer *>(Self)->receive(Raw);
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

void HttpServer::stopAccepting() {
  if (this->Listener)
    evhttp_del_accept_socket(this->Server,
                             static_cast<evhttp_bound_socket *>(Listener));
  this->Listener = nullptr;
}

void HttpServer::receive(evhttp_request *Raw) {
  std::shared_ptr<HttpExchange> Exchange(new HttpExchange());
  Exchange->Loop = &this->Loop;
  Exchange->Raw = Raw;
  Exchange->OpenCount = this->OpenCount;
  Exchange->Request = readRequest(Raw);
  Exchange->SelfWhileOpen = Exchange;
  ++*this->OpenCount;
  Exchange->watchCaller();
  this->Handle(Exchange);
}

} // namespace Network
