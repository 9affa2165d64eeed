#include "Network/Http1Server.h"

#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

namespace Network {

namespace {

/// How often kept connections are checked against their limits.
constexpr Common::Duration IdleCheckPeriod = std::chrono::milliseconds(500);
/// Input that is held back while a request is being answered.
constexpr std::size_t MaxHeldInput = 64u << 10;
/// How long the rest of a rejected request is read and discarded.
constexpr Common::Duration LingerTime = std::chrono::seconds(1);
/// Connections waiting to be accepted.
constexpr int ListenBacklog = 1024;

const char *reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

} // namespace

namespace detail {

class Http1ServerConnection {
public:
  Http1ServerConnection(Http1Server &Server, int Descriptor);
  ~Http1ServerConnection();

  void read();
  void closed();
  void startAnswer(int Status, const HttpHeaders &Headers,
                   std::string_view Framing);
  void write(std::string_view Bytes);
  void finish(bool Reusable);
  /// Closes once everything written has left.
  void closeWhenSent();
  void sent();
  void close();
  std::size_t unsent() const;
  bool idleFor(Common::TimePoint Now, Common::Duration Limit) const;
  bool headLate(Common::TimePoint Now) const;
  void reject(Http1Server::Rejection Why);

private:
  void parse();

  Http1Server &Server;
  bufferevent *Socket = nullptr;
  Http1Reader Reader;
  std::string RequestBody;
  std::shared_ptr<Http1Exchange> Current;
  Common::TimePoint QuietSince;
  bool Draining = false;
  /// The answer has left; what the caller still sends is discarded, since
  /// closing on unread bytes would reset the connection under the answer.
  bool Lingering = false;
  bool Parsing = false;
};

Http1ServerConnection::Http1ServerConnection(Http1Server &Server,
                                             int Descriptor)
    : Server(Server),
      Reader(Http1Reader::Kind::Requests,
             {Server.Bounds.MaxHeaderBytes, Server.Bounds.MaxBodyBytes}),
      QuietSince(Server.Loop.now()) {
  const int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  this->Socket = bufferevent_socket_new(Server.Loop.base(), Descriptor,
                                        BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      this->Socket,
      [](bufferevent *, void *Self) {
        static_cast<Http1ServerConnection *>(Self)->read();
      },
      [](bufferevent *, void *Argument) {
        static_cast<Http1ServerConnection *>(Argument)->sent();
      },
      [](bufferevent *, short, void *Self) {
        static_cast<Http1ServerConnection *>(Self)->closed();
      },
      this);
  bufferevent_enable(this->Socket, EV_READ | EV_WRITE);
}

Http1ServerConnection::~Http1ServerConnection() {
  if (this->Current) {
    this->Current->Connection = nullptr;
    --this->Server.Open;
  }
  bufferevent_free(this->Socket);
}

void Http1ServerConnection::read() {
  if (this->Lingering) {
    evbuffer *Input = bufferevent_get_input(this->Socket);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    return;
  }
  if (this->Current || this->Draining) {
    // The next request waits until this one is answered.
    if (evbuffer_get_length(bufferevent_get_input(this->Socket)) > MaxHeldInput)
      bufferevent_disable(this->Socket, EV_READ);
    return;
  }
  this->parse();
}

void Http1ServerConnection::parse() {
  evbuffer *Input = bufferevent_get_input(this->Socket);
  this->Parsing = true;
  while (!this->Current && !this->Draining && evbuffer_get_length(Input) != 0) {
    evbuffer_iovec Piece{};
    evbuffer_peek(Input, -1, nullptr, &Piece, 1);
    if (!this->Reader.started())
      this->QuietSince = this->Server.Loop.now();
    const std::size_t Taken = this->Reader.feed(std::string_view(
        static_cast<const char *>(Piece.iov_base), Piece.iov_len));
    evbuffer_drain(Input, Taken);
    this->RequestBody += this->Reader.takeBody();
    switch (this->Reader.state()) {
    case Http1Reader::State::NeedsMore:
      if (Taken == 0)
        this->reject(Http1Server::Rejection::Malformed);
      break;
    case Http1Reader::State::Malformed:
      this->reject(Http1Server::Rejection::Malformed);
      break;
    case Http1Reader::State::HeadersTooLarge:
      this->reject(Http1Server::Rejection::HeadersTooLarge);
      break;
    case Http1Reader::State::BodyTooLarge:
      this->reject(Http1Server::Rejection::BodyTooLarge);
      break;
    case Http1Reader::State::Complete: {
      auto Exchange = std::make_shared<Http1Exchange>();
      Exchange->Connection = this;
      Exchange->Head = this->Reader.head();
      Exchange->Body = std::move(this->RequestBody);
      this->RequestBody.clear();
      this->Reader.reset();
      this->Current = Exchange;
      ++this->Server.Open;
      // The handler may answer, and so close this connection, at once.
      this->Server.Loop.defer([Exchange, Run = this->Server.Handle.OnRequest] {
        if (Exchange->open())
          Run(Exchange);
      });
      break;
    }
    }
  }
  this->Parsing = false;
}

void Http1ServerConnection::reject(Http1Server::Rejection Why) {
  int Status = 400;
  if (Why == Http1Server::Rejection::HeadersTooLarge)
    Status = 431;
  else if (Why == Http1Server::Rejection::BodyTooLarge)
    Status = 413;
  else if (Why == Http1Server::Rejection::HeaderTimeout)
    Status = 408;
  if (this->Server.Handle.OnRejected)
    this->Server.Handle.OnRejected(Why);
  this->write(absl::StrCat("HTTP/1.1 ", Status, " ", reasonPhrase(Status),
                           "\r\nContent-Length: 0\r\nConnection: close\r\n"
                           "\r\n"));
  this->closeWhenSent();
}

void Http1ServerConnection::closed() {
  const auto Held = this->Current;
  if (Held) {
    this->Current.reset();
    Held->Connection = nullptr;
    --this->Server.Open;
    if (Held->CallerGone) {
      const auto Run = std::move(Held->CallerGone);
      Held->CallerGone = nullptr;
      Run();
    }
  }
  this->close();
}

void Http1ServerConnection::close() { this->Server.erase(this); }

void Http1ServerConnection::closeWhenSent() {
  this->Draining = true;
  if (this->unsent() == 0) {
    this->Server.Loop.defer(
        [Server = &this->Server, Self = this] { Server->erase(Self); });
  }
}

void Http1ServerConnection::sent() {
  if (!this->Draining || this->Lingering)
    return;
  evbuffer *Input = bufferevent_get_input(this->Socket);
  const bool MidRequest =
      this->Reader.started() || evbuffer_get_length(Input) != 0;
  if (!MidRequest) {
    this->close();
    return;
  }
  this->Lingering = true;
  this->QuietSince = this->Server.Loop.now();
  evbuffer_drain(Input, evbuffer_get_length(Input));
  bufferevent_enable(this->Socket, EV_READ);
  shutdown(bufferevent_getfd(this->Socket), SHUT_WR);
}

void Http1ServerConnection::startAnswer(int Status, const HttpHeaders &Headers,
                                        std::string_view Framing) {
  std::string Head =
      absl::StrCat("HTTP/1.1 ", Status, " ", reasonPhrase(Status), "\r\n");
  for (const HttpHeader &Each : Headers)
    absl::StrAppend(&Head, Each.Name, ": ", Each.Value, "\r\n");
  Head.append(Framing);
  if (this->Server.Closing || !this->Current->Head.KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  this->write(Head);
}

void Http1ServerConnection::write(std::string_view Bytes) {
  bufferevent_write(this->Socket, Bytes.data(), Bytes.size());
}

void Http1ServerConnection::finish(bool Reusable) {
  const auto Held = std::move(this->Current);
  this->Current.reset();
  Held->Connection = nullptr;
  Held->CallerGone = nullptr;
  --this->Server.Open;
  this->QuietSince = this->Server.Loop.now();
  if (!Reusable || !Held->Head.KeepAlive || this->Server.Closing) {
    this->closeWhenSent();
    return;
  }
  bufferevent_enable(this->Socket, EV_READ);
  if (!this->Parsing)
    this->parse();
}

std::size_t Http1ServerConnection::unsent() const {
  return evbuffer_get_length(bufferevent_get_output(this->Socket));
}

bool Http1ServerConnection::idleFor(Common::TimePoint Now,
                                    Common::Duration Limit) const {
  if (this->Lingering)
    return Now - this->QuietSince > LingerTime;
  return !this->Current && !this->Reader.started() && !this->Draining &&
         Now - this->QuietSince > Limit;
}

bool Http1ServerConnection::headLate(Common::TimePoint Now) const {
  return !this->Current && this->Reader.started() &&
         !this->Reader.headComplete() && !this->Draining &&
         Now - this->QuietSince > this->Server.Bounds.HeaderTime;
}

} // namespace detail

std::string Http1Exchange::path() const {
  return this->Head.Target.substr(0, this->Head.Target.find('?'));
}

void Http1Exchange::reply(int Status, const HttpHeaders &Headers,
                          std::string_view Body) {
  if (!this->Connection || this->Streaming)
    return;
  const bool Head = this->Head.Method == "HEAD";
  const std::string Framing =
      hasNoBody(Status) ? ""
                        : absl::StrCat("Content-Length: ", Body.size(), "\r\n");
  this->Connection->startAnswer(Status, Headers, Framing);
  if (!Head && !hasNoBody(Status))
    this->Connection->write(Body);
  this->Connection->finish(true);
}

void Http1Exchange::startStream(int Status, const HttpHeaders &Headers) {
  if (!this->Connection || this->Streaming)
    return;
  this->Streaming = true;
  this->Connection->startAnswer(Status, Headers,
                                "Transfer-Encoding: chunked\r\n");
}

void Http1Exchange::sendChunk(std::string_view Bytes) {
  if (!this->Connection || !this->Streaming || Bytes.empty())
    return;
  std::string Chunk = absl::StrCat(absl::Hex(Bytes.size()), "\r\n");
  Chunk.append(Bytes);
  Chunk += "\r\n";
  this->Connection->write(Chunk);
}

void Http1Exchange::endStream() {
  if (!this->Connection || !this->Streaming)
    return;
  this->Connection->write("0\r\n\r\n");
  this->Connection->finish(true);
}

void Http1Exchange::abort() {
  if (!this->Connection)
    return;
  detail::Http1ServerConnection *Used = this->Connection;
  Used->finish(false);
}

std::size_t Http1Exchange::unsentBytes() const {
  return this->Connection ? this->Connection->unsent() : 0;
}

Http1Server::Http1Server(EventLoop &Loop, Handlers Handle)
    : Loop(Loop), Handle(std::move(Handle)) {}

absl::StatusOr<std::unique_ptr<Http1Server>>
Http1Server::create(EventLoop &Loop, const Address &Listen, Handlers Handle) {
  std::unique_ptr<Http1Server> Server(new Http1Server(Loop, std::move(Handle)));
  const sockaddr_in Where = toSocketAddress(Listen);
  Server->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) { static_cast<Http1Server *>(Self)->accept(Descriptor); },
      Server.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
      reinterpret_cast<const sockaddr *>(&Where), sizeof(Where));
  if (!Server->Listener)
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", Listen.str(), "; free the port or change it"));
  Server->IdleCheck = Loop.callEvery(
      IdleCheckPeriod, [Raw = Server.get()] { Raw->checkIdle(); });
  return Server;
}

absl::StatusOr<std::unique_ptr<Http1Server>>
Http1Server::serveText(EventLoop &Loop, const Address &Listen,
                       std::function<std::string()> Text) {
  Handlers Shown;
  Shown.OnRequest =
      [Text = std::move(Text)](const std::shared_ptr<Http1Exchange> &Exchange) {
        Exchange->reply(200, {{"Content-Type", "text/plain"}}, Text());
      };
  return create(Loop, Listen, std::move(Shown));
}

Http1Server::~Http1Server() {
  this->Connections.clear();
  if (this->Listener)
    evconnlistener_free(this->Listener);
}

void Http1Server::accept(int Descriptor) {
  auto Accepted =
      std::make_unique<detail::Http1ServerConnection>(*this, Descriptor);
  detail::Http1ServerConnection *Raw = Accepted.get();
  this->Connections[Raw] = std::move(Accepted);
}

void Http1Server::erase(detail::Http1ServerConnection *Gone) {
  this->Connections.erase(Gone);
}

void Http1Server::checkIdle() {
  const Common::TimePoint Now = this->Loop.now();
  std::vector<detail::Http1ServerConnection *> Idle;
  std::vector<detail::Http1ServerConnection *> Late;
  for (const auto &Each : this->Connections) {
    if (Each.first->idleFor(Now, this->Bounds.IdleTime))
      Idle.push_back(Each.first);
    else if (Each.first->headLate(Now))
      Late.push_back(Each.first);
  }
  for (detail::Http1ServerConnection *Each : Idle)
    Each->close();
  for (detail::Http1ServerConnection *Each : Late)
    Each->reject(Rejection::HeaderTimeout);
}

void Http1Server::startClosing(Common::Duration IdleLimit) {
  this->Closing = true;
  this->Bounds.IdleTime = IdleLimit;
}

} // namespace Network
