#include "Network/Http1Server.h"

#include "Network/BufferGrowth.h"
#include "Network/HttpSyntax.h"
#include "Network/ResourceGuard.h"
#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

namespace Network {

namespace {

/// How often connections are checked against the idle and header timeouts.
constexpr Common::Duration ExpiryCheckInterval = std::chrono::milliseconds(500);
/// Input buffered while a request is in progress; reading pauses beyond it.
constexpr std::size_t MaxBufferedInputBytes = 16u << 10;
/// How long input is read and discarded after the last response, before the
/// connection is closed.
constexpr Common::Duration LingerTimeout = std::chrono::seconds(1);
/// Input that is discarded at most before the connection is closed; more than
/// is underway when a response arrives at a caller.
constexpr std::size_t MaxLingerBytes = 256u << 10;
/// Buffers of the kernel for each accepted connection. Bytes in them count
/// towards the memory of the host, and would otherwise grow to several MB.
constexpr int ReceiveBufferBytes = 64 << 10;
constexpr int SendBufferBytes = 128 << 10;
/// Charged for a connection itself: its bufferevent, parser and socket.
constexpr std::size_t ConnectionBytes = 4u << 10;
/// Maximum number of connections that wait to be accepted.
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
  case 408:
    return "Request Timeout";
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

Http1Reader::Limits readerLimits(const Http1Server::Limits &Limits) {
  return {Limits.MaxHeaderBytes, Limits.MaxBodyBytes};
}

/// A request body, charged until its last holder releases it.
struct ChargedBody {
  std::string Bytes;
  MemoryAccount Account;
};

} // namespace

namespace detail {

class Http1ServerConnection {
public:
  Http1ServerConnection(Http1Server &Server, int Descriptor);
  ~Http1ServerConnection();

  void handleInput();
  void handleDisconnect();
  void writeHead(int Status, const HttpHeaders &Headers,
                 std::string_view FramingHeaders);
  void write(std::string_view Bytes);
  /// Ends the current exchange; keeps the connection for the next request if
  /// Reusable and the response did not announce the close.
  void finish(bool Reusable);
  /// Ends the current exchange with its response incomplete.
  void abort();
  /// Closes the connection once the output buffer is empty.
  void closeAfterFlush();
  void handleOutputFlushed();
  void close(Http1Server::Closure Reason);
  Http1Server::ClosedConnection describe(Http1Server::Closure Reason) const;
  std::size_t unsentBytes() const;
  /// Whether a request is arriving or a response is not completely written.
  bool isBusy() const {
    return this->CurrentExchange || this->Reader.isStarted() ||
           this->unsentBytes() != 0;
  }
  /// Whether bytes of the caller have arrived that are not parsed.
  bool hasUnreadInput() const;
  /// Whether the connection has been idle for longer than IdleTimeout, has not
  /// sent any of its output for longer than SendTimeout, or has lingered for
  /// longer than LingerTimeout.
  bool isExpired(Common::TimePoint Now) const;
  /// Whether a request head has been incomplete for longer than HeaderTimeout.
  bool isHeadOverdue(Common::TimePoint Now) const;
  /// Sends an error response without running OnRequest, and closes.
  void reject(Http1Server::Rejection Reason);
  /// Whether no byte of a body has arrived for longer than BodyTimeout.
  bool isBodyOverdue(Common::TimePoint Now) const;
  /// Charges the account with what this connection holds.
  void updateCharge() {
    this->Account.charge(this->holder(), this->heldBytes());
  }

private:
  MemoryBudget::Holder holder() const;
  std::size_t heldBytes() const;
  /// Appends to the request body, after its memory has been charged.
  void appendBody(const std::string &Bytes);
  /// Frees what this connection holds, since the process exceeds its limits.
  void giveWay();
  void closeSoon(Http1Server::Closure Reason);
  void parse();
  static void handleOutputChange(evbuffer *, const evbuffer_cb_info *Change,
                                 void *Self);

  Http1Server &Server;
  bufferevent *Socket = nullptr;
  Http1Reader Reader;
  std::string RequestBody;
  std::shared_ptr<Http1Exchange> CurrentExchange;
  /// The last exchange, until its response is written or, if it was aborted,
  /// until the connection is closed.
  std::shared_ptr<Http1Exchange> UnwrittenExchange;
  Http1Server::Closure PlannedClosure = Http1Server::Closure::Complete;
  /// When the connection became idle, started to receive a request or started
  /// to linger, whichever was last.
  Common::TimePoint PhaseStart;
  /// When output was last written to the socket, or added to an empty buffer.
  Common::TimePoint OutputProgressAt;
  /// Whether the head of the last response said that the connection closes.
  bool CloseAnnounced = false;
  bool ClosingAfterFlush = false;
  /// The response is sent and further input is discarded. Closing with unread
  /// input would reset the connection, and the caller could lose the response.
  bool Lingering = false;
  bool Parsing = false;
  bool Rejected = false;
  std::size_t LingerBytes = 0;
  /// When input last arrived.
  Common::TimePoint InputProgressAt;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  MemoryAccount Account;
};

Http1ServerConnection::Http1ServerConnection(Http1Server &Server,
                                             int Descriptor)
    : Server(Server),
      Reader(Http1Reader::Kind::Requests, readerLimits(Server.ServerLimits)),
      PhaseStart(Server.Loop.now()), InputProgressAt(PhaseStart),
      Account(Server.Loop.resources(), MemoryBudget::Holder::Idle, true,
              [this] { this->giveWay(); }) {
  const int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(Descriptor, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes,
             sizeof(SendBufferBytes));
  this->Socket = bufferevent_socket_new(Server.Loop.base(), Descriptor,
                                        BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      this->Socket,
      [](bufferevent *, void *Self) {
        static_cast<Http1ServerConnection *>(Self)->handleInput();
      },
      [](bufferevent *, void *Self) {
        static_cast<Http1ServerConnection *>(Self)->handleOutputFlushed();
      },
      [](bufferevent *, short, void *Self) {
        static_cast<Http1ServerConnection *>(Self)->handleDisconnect();
      },
      this);
  evbuffer_add_cb(bufferevent_get_output(this->Socket), handleOutputChange,
                  this);
  bufferevent_enable(this->Socket, EV_READ | EV_WRITE);
}

Http1ServerConnection::~Http1ServerConnection() {
  if (this->CurrentExchange)
    this->CurrentExchange->Connection = nullptr;
  evbuffer_remove_cb(bufferevent_get_output(this->Socket), handleOutputChange,
                     this);
  bufferevent_free(this->Socket);
}

MemoryBudget::Holder Http1ServerConnection::holder() const {
  if (this->CurrentExchange)
    return MemoryBudget::Holder::Kept;
  if (this->Reader.isStarted())
    return MemoryBudget::Holder::Incoming;
  return this->unsentBytes() != 0 ? MemoryBudget::Holder::Unsent
                                  : MemoryBudget::Holder::Idle;
}

std::size_t Http1ServerConnection::heldBytes() const {
  return ConnectionBytes + this->Reader.headMemory() +
         this->RequestBody.capacity() + this->unsentBytes() +
         evbuffer_get_length(bufferevent_get_input(this->Socket));
}

void Http1ServerConnection::appendBody(const std::string &Bytes) {
  const std::size_t Capacity =
      capacityFor(this->RequestBody, this->RequestBody.size() + Bytes.size());
  if (Capacity != this->RequestBody.capacity()) {
    this->Account.charge(this->holder(), this->heldBytes() + Capacity -
                                             this->RequestBody.capacity());
    if (this->ClosingAfterFlush)
      return;
    growTo(this->RequestBody, Capacity);
  }
  this->RequestBody += Bytes;
}

void Http1ServerConnection::giveWay() {
  const MemoryBudget &Budget = this->Server.Loop.resources().budget();
  const bool TooMany = Budget.connections() > Budget.limits().MaxConnections;
  const bool Arriving = this->Reader.isStarted() && !this->ClosingAfterFlush;
  if (Arriving) {
    const bool Stalled = this->Server.Loop.now() - this->InputProgressAt >=
                             Budget.limits().StallTime &&
                         this->Reader.isHeadComplete();
    this->reject(Stalled ? Http1Server::Rejection::BodyStalled
                         : Http1Server::Rejection::Overloaded);
  }
  if (Arriving && !TooMany) {
    this->Account.credit(MemoryBudget::Holder::Idle, this->heldBytes());
    return;
  }
  // Frees the descriptor, and what a slow caller has not received.
  this->closeSoon(Http1Server::Closure::Expired);
}

void Http1ServerConnection::closeSoon(Http1Server::Closure Reason) {
  this->ClosingAfterFlush = true;
  evbuffer *Output = bufferevent_get_output(this->Socket);
  // The response that was rejected with is sent if the socket accepts it.
  evbuffer_unfreeze(Output, 1);
  if (this->Rejected)
    evbuffer_write(Output, bufferevent_getfd(this->Socket));
  evbuffer_drain(Output, evbuffer_get_length(Output));
  evbuffer_freeze(Output, 1);
  bufferevent_disable(this->Socket, EV_READ | EV_WRITE);
  this->Account.close();
  // Deferred, as a function of this connection may be running.
  this->Server.Loop.defer(
      [this, Reason, Watched = std::weak_ptr<bool>(this->Alive)] {
        if (Watched.lock())
          this->close(Reason);
      });
}

void Http1ServerConnection::handleInput() {
  this->InputProgressAt = this->Server.Loop.now();
  this->Account.recordProgress();
  if (this->Lingering) {
    evbuffer *Input = bufferevent_get_input(this->Socket);
    this->LingerBytes += evbuffer_get_length(Input);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    if (this->LingerBytes > MaxLingerBytes)
      this->closeSoon(this->PlannedClosure);
    return;
  }
  if (this->CurrentExchange || this->ClosingAfterFlush) {
    // Requests on a connection are handled one at a time.
    if (evbuffer_get_length(bufferevent_get_input(this->Socket)) >
        MaxBufferedInputBytes)
      bufferevent_disable(this->Socket, EV_READ);
    this->updateCharge();
    return;
  }
  this->parse();
  this->updateCharge();
}

void Http1ServerConnection::parse() {
  evbuffer *Input = bufferevent_get_input(this->Socket);
  this->Parsing = true;
  while (!this->CurrentExchange && !this->ClosingAfterFlush &&
         evbuffer_get_length(Input) != 0) {
    evbuffer_iovec Segment{};
    evbuffer_peek(Input, -1, nullptr, &Segment, 1);
    if (!this->Reader.isStarted()) {
      this->PhaseStart = this->Server.Loop.now();
      this->Reader.setLimits(readerLimits(this->Server.ServerLimits));
    }
    const std::size_t Consumed = this->Reader.feed(std::string_view(
        static_cast<const char *>(Segment.iov_base), Segment.iov_len));
    evbuffer_drain(Input, Consumed);
    this->appendBody(this->Reader.takeBody());
    if (this->ClosingAfterFlush)
      break;
    switch (this->Reader.state()) {
    case Http1Reader::State::NeedsMore:
      if (Consumed == 0)
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
      Exchange->ReceivedAt = this->Server.Loop.now();
      Exchange->Head = this->Reader.head();
      auto Charged = std::make_shared<ChargedBody>();
      Charged->Bytes = std::move(this->RequestBody);
      this->RequestBody = std::string();
      Charged->Account = MemoryAccount(this->Server.Loop.resources(),
                                       MemoryBudget::Holder::Kept, false, {});
      Charged->Account.credit(MemoryBudget::Holder::Kept,
                              Charged->Bytes.capacity() +
                                  this->Reader.headMemory());
      Exchange->Body =
          std::shared_ptr<const std::string>(Charged, &Charged->Bytes);
      this->Reader.reset();
      this->CurrentExchange = Exchange;
      this->Account.credit(this->holder(), this->heldBytes());
      // Deferred, since the handler may respond at once and so destroy this
      // connection.
      this->Server.Loop.defer(
          [Exchange, Run = this->Server.ServerHandlers.OnRequest] {
            if (Exchange->isOpen())
              Run(Exchange);
          });
      break;
    }
    }
  }
  this->Parsing = false;
}

void Http1ServerConnection::reject(Http1Server::Rejection Reason) {
  int Status = 400;
  if (Reason == Http1Server::Rejection::HeadersTooLarge)
    Status = 431;
  else if (Reason == Http1Server::Rejection::BodyTooLarge)
    Status = 413;
  else if (Reason == Http1Server::Rejection::HeaderTimeout ||
           Reason == Http1Server::Rejection::BodyStalled)
    Status = 408;
  else if (Reason == Http1Server::Rejection::Overloaded)
    Status = 503;
  // What has arrived is of no use, and the connection may linger.
  this->Rejected = true;
  this->RequestBody = std::string();
  this->Reader.reset();
  if (this->Server.ServerHandlers.OnRejected)
    this->Server.ServerHandlers.OnRejected(Reason);
  this->write(absl::StrCat("HTTP/1.1 ", Status, " ", reasonPhrase(Status),
                           "\r\nContent-Length: 0\r\nConnection: close\r\n",
                           Status == 503 ? "Retry-After: 1\r\n" : "", "\r\n"));
  this->Account.credit(this->holder(), this->heldBytes());
  this->closeAfterFlush();
}

void Http1ServerConnection::handleDisconnect() {
  const auto Exchange = this->CurrentExchange;
  if (Exchange) {
    this->CurrentExchange.reset();
    Exchange->Connection = nullptr;
    if (Exchange->DisconnectHandler) {
      const auto Run = std::move(Exchange->DisconnectHandler);
      Exchange->DisconnectHandler = nullptr;
      Run();
    }
  }
  if (Exchange)
    this->UnwrittenExchange = Exchange;
  this->close(this->Lingering ? this->PlannedClosure
                              : Http1Server::Closure::Disconnected);
}

void Http1ServerConnection::close(Http1Server::Closure Reason) {
  this->Server.erase(this, Reason);
}

bool Http1ServerConnection::hasUnreadInput() const {
  char Byte = 0;
  return evbuffer_get_length(bufferevent_get_input(this->Socket)) != 0 ||
         recv(bufferevent_getfd(this->Socket), &Byte, sizeof(Byte),
              MSG_PEEK | MSG_DONTWAIT) > 0;
}

Http1Server::ClosedConnection
Http1ServerConnection::describe(Http1Server::Closure Reason) const {
  return {
      Reason,
      this->CurrentExchange ? this->CurrentExchange : this->UnwrittenExchange,
      this->unsentBytes(),
      Reason != Http1Server::Closure::Disconnected && this->hasUnreadInput()};
}

void Http1ServerConnection::closeAfterFlush() {
  this->ClosingAfterFlush = true;
  // Deferred, as closing destroys this object.
  if (this->unsentBytes() == 0)
    bufferevent_trigger(this->Socket, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

void Http1ServerConnection::handleOutputChange(evbuffer *,
                                               const evbuffer_cb_info *Change,
                                               void *Self) {
  auto *Connection = static_cast<Http1ServerConnection *>(Self);
  if (Change->n_deleted != 0 || Change->orig_size == 0) {
    Connection->OutputProgressAt = Connection->Server.Loop.now();
    Connection->Account.recordProgress();
  }
}

void Http1ServerConnection::handleOutputFlushed() {
  if (this->Lingering)
    return;
  this->Account.credit(this->holder(), this->heldBytes());
  const bool ResponseWritten = this->UnwrittenExchange != nullptr;
  if (this->PlannedClosure != Http1Server::Closure::Aborted)
    this->UnwrittenExchange.reset();
  if (!this->isBusy())
    this->PhaseStart = this->Server.Loop.now();
  if (!this->ClosingAfterFlush) {
    // A response that began before the shutdown did not announce the close, so
    // a request that follows it must be answered.
    if (ResponseWritten && this->Server.ShuttingDown && !this->isBusy() &&
        !this->hasUnreadInput())
      this->close(Http1Server::Closure::Complete);
    return;
  }
  if (!this->Rejected && !this->Reader.isStarted() && !this->hasUnreadInput()) {
    this->close(this->PlannedClosure);
    return;
  }
  this->Lingering = true;
  this->PhaseStart = this->Server.Loop.now();
  evbuffer *Input = bufferevent_get_input(this->Socket);
  evbuffer_drain(Input, evbuffer_get_length(Input));
  bufferevent_enable(this->Socket, EV_READ);
  shutdown(bufferevent_getfd(this->Socket), SHUT_WR);
}

void Http1ServerConnection::writeHead(int Status, const HttpHeaders &Headers,
                                      std::string_view FramingHeaders) {
  std::string Head =
      absl::StrCat("HTTP/1.1 ", Status, " ", reasonPhrase(Status), "\r\n");
  for (const HttpHeader &Header : Headers)
    absl::StrAppend(&Head, Header.Name, ": ", Header.Value, "\r\n");
  Head.append(FramingHeaders);
  this->CloseAnnounced =
      this->Server.ShuttingDown || !this->CurrentExchange->Head.KeepAlive;
  if (this->CloseAnnounced)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  this->write(Head);
}

void Http1ServerConnection::write(std::string_view Bytes) {
  bufferevent_write(this->Socket, Bytes.data(), Bytes.size());
}

void Http1ServerConnection::finish(bool Reusable) {
  const auto Exchange = std::move(this->CurrentExchange);
  this->CurrentExchange.reset();
  Exchange->Connection = nullptr;
  Exchange->DisconnectHandler = nullptr;
  if (this->unsentBytes() != 0 ||
      this->PlannedClosure == Http1Server::Closure::Aborted)
    this->UnwrittenExchange = Exchange;
  this->PhaseStart = this->Server.Loop.now();
  this->Account.credit(this->holder(), this->heldBytes());
  if (!Reusable || this->CloseAnnounced) {
    this->closeAfterFlush();
    return;
  }
  bufferevent_enable(this->Socket, EV_READ);
  if (!this->Parsing)
    this->parse();
  this->updateCharge();
}

void Http1ServerConnection::abort() {
  this->PlannedClosure = Http1Server::Closure::Aborted;
  this->finish(false);
}

std::size_t Http1ServerConnection::unsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(this->Socket));
}

bool Http1ServerConnection::isExpired(Common::TimePoint Now) const {
  if (this->Lingering)
    return Now - this->PhaseStart > LingerTimeout;
  // The owner of an exchange limits its duration.
  if (this->CurrentExchange)
    return false;
  const Http1Server::Limits &Limits = this->Server.ServerLimits;
  if (this->unsentBytes() != 0)
    return Now - this->OutputProgressAt > Limits.SendTimeout;
  // A request may have arrived since the loop last looked for input.
  return !this->Reader.isStarted() && !this->ClosingAfterFlush &&
         Now - this->PhaseStart > Limits.IdleTimeout && !this->hasUnreadInput();
}

bool Http1ServerConnection::isHeadOverdue(Common::TimePoint Now) const {
  return !this->CurrentExchange && this->Reader.isStarted() &&
         !this->Reader.isHeadComplete() && !this->ClosingAfterFlush &&
         Now - this->PhaseStart > this->Server.ServerLimits.HeaderTimeout;
}

bool Http1ServerConnection::isBodyOverdue(Common::TimePoint Now) const {
  return !this->CurrentExchange && this->Reader.isHeadComplete() &&
         !this->ClosingAfterFlush &&
         Now - this->InputProgressAt > this->Server.ServerLimits.BodyTimeout;
}

} // namespace detail

std::string Http1Exchange::path() const {
  return this->Head.Target.substr(0, this->Head.Target.find('?'));
}

void Http1Exchange::reply(int Status, const HttpHeaders &Headers,
                          std::string_view Body) {
  if (!this->Connection || this->Streaming)
    return;
  if (!isWritableHead(Status, Headers)) {
    this->reply(UnwritableHeadStatus, {}, "");
    return;
  }
  const std::string FramingHeaders =
      hasNoBody(Status) ? ""
                        : absl::StrCat("Content-Length: ", Body.size(), "\r\n");
  this->Connection->writeHead(Status, Headers, FramingHeaders);
  if (!this->isHeadRequest() && !hasNoBody(Status))
    this->Connection->write(Body);
  this->Connection->finish(true);
}

void Http1Exchange::startStream(int Status, const HttpHeaders &Headers) {
  if (!this->Connection || this->Streaming)
    return;
  if (!isWritableHead(Status, Headers)) {
    this->reply(UnwritableHeadStatus, {}, "");
    return;
  }
  this->Streaming = true;
  this->Connection->writeHead(Status, Headers,
                              "Transfer-Encoding: chunked\r\n");
}

void Http1Exchange::sendChunk(std::string_view Bytes) {
  if (!this->Connection || !this->Streaming || this->isHeadRequest() ||
      Bytes.empty())
    return;
  std::string Chunk = absl::StrCat(absl::Hex(Bytes.size()), "\r\n");
  Chunk.append(Bytes);
  Chunk += "\r\n";
  this->Connection->write(Chunk);
  this->Connection->updateCharge();
}

void Http1Exchange::endStream() {
  if (!this->Connection || !this->Streaming)
    return;
  if (!this->isHeadRequest())
    this->Connection->write("0\r\n\r\n");
  this->Connection->finish(true);
}

void Http1Exchange::abort() {
  if (!this->Connection)
    return;
  this->Connection->abort();
}

std::size_t Http1Exchange::unsentBytes() const {
  return this->Connection ? this->Connection->unsentBytes() : 0;
}

Http1Server::Http1Server(EventLoop &Loop, Handlers ServerHandlers)
    : Loop(Loop), ServerHandlers(std::move(ServerHandlers)) {}

absl::StatusOr<std::unique_ptr<Http1Server>>
Http1Server::create(EventLoop &Loop, const Address &Listen,
                    Handlers ServerHandlers) {
  std::unique_ptr<Http1Server> Server(
      new Http1Server(Loop, std::move(ServerHandlers)));
  const sockaddr_in ListenAddress = toSocketAddress(Listen);
  Server->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) { static_cast<Http1Server *>(Self)->accept(Descriptor); },
      Server.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
      reinterpret_cast<const sockaddr *>(&ListenAddress),
      sizeof(ListenAddress));
  if (!Server->Listener)
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", Listen.str(), "; free the port or change it"));
  // Accepted sockets inherit it.
  setsockopt(evconnlistener_get_fd(Server->Listener), SOL_SOCKET, SO_RCVBUF,
             &ReceiveBufferBytes, sizeof(ReceiveBufferBytes));
  Server->ExpiryTimer =
      Loop.callEvery(ExpiryCheckInterval, [Self = Server.get()] {
        Self->closeExpiredConnections();
      });
  return Server;
}

absl::StatusOr<std::unique_ptr<Http1Server>>
Http1Server::serveText(EventLoop &Loop, const Address &Listen,
                       std::function<std::string()> Text) {
  Handlers ServerHandlers;
  ServerHandlers.OnRequest =
      [Text = std::move(Text)](const std::shared_ptr<Http1Exchange> &Exchange) {
        Exchange->reply(200, {{"Content-Type", "text/plain"}}, Text());
      };
  return create(Loop, Listen, std::move(ServerHandlers));
}

Http1Server::~Http1Server() {
  this->Connections.clear();
  if (this->Listener)
    evconnlistener_free(this->Listener);
}

std::size_t Http1Server::openExchanges() const {
  const auto Count = [this](auto Matches) {
    return static_cast<std::size_t>(std::count_if(
        this->Connections.begin(), this->Connections.end(),
        [&Matches](const auto &Each) { return Matches(*Each.first); }));
  };
  const std::size_t Busy =
      Count([](const auto &Connection) { return Connection.isBusy(); });
  if (Busy != 0)
    return Busy;
  // Looking at a socket is a system call; it matters only if the server could
  // stop otherwise.
  return Count(
      [](const auto &Connection) { return Connection.hasUnreadInput(); });
}

void Http1Server::accept(int Descriptor) {
  auto Accepted =
      std::make_unique<detail::Http1ServerConnection>(*this, Descriptor);
  detail::Http1ServerConnection *Connection = Accepted.get();
  this->Connections[Connection] = std::move(Accepted);
  Connection->updateCharge();
}

void Http1Server::erase(detail::Http1ServerConnection *Connection,
                        Closure Reason) {
  const auto Found = this->Connections.find(Connection);
  if (Found == this->Connections.end())
    return;
  if (this->ServerHandlers.OnClosed)
    this->ServerHandlers.OnClosed(Connection->describe(Reason));
  this->Connections.erase(Found);
}

void Http1Server::closeAll() {
  while (!this->Connections.empty())
    this->erase(this->Connections.begin()->first, Closure::Stopped);
}

void Http1Server::closeExpiredConnections() {
  const Common::TimePoint Now = this->Loop.now();
  std::vector<detail::Http1ServerConnection *> Expired;
  std::vector<detail::Http1ServerConnection *> Overdue;
  std::vector<detail::Http1ServerConnection *> Stalled;
  for (const auto &Each : this->Connections) {
    if (Each.first->isExpired(Now))
      Expired.push_back(Each.first);
    else if (Each.first->isHeadOverdue(Now))
      Overdue.push_back(Each.first);
    else if (Each.first->isBodyOverdue(Now))
      Stalled.push_back(Each.first);
  }
  for (detail::Http1ServerConnection *Each : Expired)
    Each->close(Closure::Expired);
  for (detail::Http1ServerConnection *Each : Overdue)
    Each->reject(Rejection::HeaderTimeout);
  for (detail::Http1ServerConnection *Each : Stalled)
    Each->reject(Rejection::BodyStalled);
}

void Http1Server::startShutdown(Common::Duration IdleTimeout) {
  this->ShuttingDown = true;
  this->ServerLimits.IdleTimeout = IdleTimeout;
}

} // namespace Network
