#include "Network/FrameSocket.h"

#include "Network/BufferGrowth.h"
#include "Network/ResourceGuard.h"
#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

namespace Network {

namespace {

constexpr Common::Duration ReconnectDelay = std::chrono::milliseconds(100);
constexpr Common::Duration KeepAliveInterval = std::chrono::milliseconds(400);
/// A connection that received nothing for this long is not used.
constexpr Common::Duration ResponsiveTimeout = std::chrono::milliseconds(1000);
/// A client that received nothing for this long reconnects.
constexpr Common::Duration ReconnectTimeout = std::chrono::milliseconds(1500);
/// The server closes a connection that received nothing for this long.
constexpr timeval ServerIdleTimeout = {10, 0};
/// Bounds the memory used for a peer that does not read, of a client and of
/// each connection of a server. A server has hundreds of them.
constexpr std::size_t MaxOutputBufferBytes = 64u << 20;
constexpr std::size_t MaxServerOutputBytes = 8u << 20;
/// Charged for a connection itself.
constexpr std::size_t ConnectionBytes = 4u << 10;
/// A larger input buffer is freed when all of its frames are handled.
constexpr std::size_t MaxRetainedBytes = 64u << 10;

void setNoDelay(int Descriptor) {
  const int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

void drainInput(bufferevent *Socket, std::string &Buffer) {
  evbuffer *Input = bufferevent_get_input(Socket);
  const std::size_t Size = evbuffer_get_length(Input);
  const std::size_t Before = Buffer.size();
  growTo(Buffer, capacityFor(Buffer, Before + Size));
  Buffer.resize(Before + Size);
  evbuffer_remove(Input, Buffer.data() + Before, Size);
}

bool writeFrame(bufferevent *Socket, const std::string &Frame) {
  if (evbuffer_get_length(bufferevent_get_output(Socket)) >
      MaxOutputBufferBytes)
    return false;
  return bufferevent_write(Socket, Frame.data(), Frame.size()) == 0;
}

} // namespace

struct FrameServer::Connection {
  FrameServer *Server = nullptr;
  ConnectionId Id;
  bufferevent *Socket = nullptr;
  std::string Buffer;
  /// Whether a frame with the cluster key has arrived.
  bool Authenticated = false;
  /// Closed by the next turn of the event loop.
  bool Ending = false;
  MemoryAccount Account;

  ~Connection() {
    if (this->Socket)
      bufferevent_free(this->Socket);
  }
  MemoryBudget::Holder holder() const {
    return this->Authenticated    ? MemoryBudget::Holder::Kept
           : this->Buffer.empty() ? MemoryBudget::Holder::Idle
                                  : MemoryBudget::Holder::Incoming;
  }
  void updateCharge() {
    this->Account.charge(this->holder(),
                         ConnectionBytes + this->Buffer.capacity());
  }
};

FrameServer::FrameServer(EventLoop &Loop, const ClusterKey &Key,
                         Handlers EventHandlers)
    : Loop(Loop), Codec(Key), EventHandlers(std::move(EventHandlers)) {}

absl::StatusOr<std::unique_ptr<FrameServer>>
FrameServer::create(EventLoop &Loop, const Address &Listen,
                    const ClusterKey &Key, Handlers EventHandlers) {
  std::unique_ptr<FrameServer> Server(
      new FrameServer(Loop, Key, std::move(EventHandlers)));
  const sockaddr_in SocketAddress = toSocketAddress(Listen);
  Server->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) { static_cast<FrameServer *>(Self)->accept(Descriptor); },
      Server.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr *>(&SocketAddress),
      sizeof(SocketAddress));
  if (!Server->Listener)
    return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", Listen.str(), "; free the port or change it"));
  return Server;
}

FrameServer::~FrameServer() {
  if (this->Listener)
    evconnlistener_free(this->Listener);
}

void FrameServer::accept(int Descriptor) {
  setNoDelay(Descriptor);
  auto NewConnection = std::make_unique<Connection>();
  NewConnection->Server = this;
  NewConnection->Id = ConnectionId{++this->LastConnectionId};
  NewConnection->Socket = bufferevent_socket_new(this->Loop.base(), Descriptor,
                                                 BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      NewConnection->Socket,
      [](bufferevent *, void *Argument) {
        auto *Source = static_cast<Connection *>(Argument);
        Source->Server->read(*Source);
      },
      nullptr,
      [](bufferevent *, short, void *Argument) {
        auto *Source = static_cast<Connection *>(Argument);
        Source->Server->close(Source->Id);
      },
      NewConnection.get());
  bufferevent_set_timeouts(NewConnection->Socket, &ServerIdleTimeout, nullptr);
  bufferevent_enable(NewConnection->Socket, EV_READ | EV_WRITE);
  Connection *Accepted = NewConnection.get();
  Accepted->Account =
      MemoryAccount(this->Loop.resources(), MemoryBudget::Holder::Idle, true,
                    [this, Accepted] { this->giveWay(*Accepted); });
  this->Connections[Accepted->Id] = std::move(NewConnection);
  Accepted->updateCharge();
}

void FrameServer::giveWay(Connection &Ended) {
  Ended.Ending = true;
  Ended.Buffer = std::string();
  bufferevent_disable(Ended.Socket, EV_READ | EV_WRITE);
  Ended.Account.close();
  // Deferred, as a function of this connection may be running.
  this->Loop.defer(
      [this, Id = Ended.Id, Alive = std::weak_ptr<bool>(this->Alive)] {
        if (Alive.lock())
          this->close(Id);
      });
}

void FrameServer::read(Connection &Source) {
  const std::size_t Arrived =
      evbuffer_get_length(bufferevent_get_input(Source.Socket));
  Source.Account.recordProgress();
  // Charged before the memory is taken.
  Source.Account.charge(
      Source.Authenticated ? MemoryBudget::Holder::Kept
                           : MemoryBudget::Holder::Incoming,
      ConnectionBytes +
          capacityFor(Source.Buffer, Source.Buffer.size() + Arrived));
  if (Source.Ending)
    return;
  drainInput(Source.Socket, Source.Buffer);
  const ConnectionId Id = Source.Id;
  while (true) {
    auto Result = this->Codec.decodeFrame(Source.Buffer);
    if (std::holds_alternative<FrameCodec::Incomplete>(Result)) {
      if (Source.Buffer.empty() && Source.Buffer.capacity() > MaxRetainedBytes)
        Source.Buffer = std::string();
      Source.updateCharge();
      return;
    }
    if (std::holds_alternative<FrameCodec::Payload>(Result))
      Source.Authenticated = true;
    if (const auto *Reason = std::get_if<Common::RefusalReason>(&Result)) {
      this->EventHandlers.OnRefused(*Reason);
      this->close(Id);
      return;
    }
    std::string &Bytes = std::get<FrameCodec::Payload>(Result).Bytes;
    if (Bytes.empty())
      this->send(Id, "");
    else
      this->EventHandlers.OnPayload(Id, std::move(Bytes));
  }
}

void FrameServer::send(ConnectionId Id, std::string_view Payload) {
  if (this->Connections.count(Id) != 0)
    this->write(Id, std::make_shared<const std::string>(
                        this->Codec.encodeFrame(Payload)));
}

void FrameServer::broadcast(const std::vector<ConnectionId> &To,
                            std::string_view Payload) {
  const auto EncodedFrame =
      std::make_shared<const std::string>(this->Codec.encodeFrame(Payload));
  for (const ConnectionId Each : To)
    this->write(Each, EncodedFrame);
}

void FrameServer::write(
    ConnectionId To, const std::shared_ptr<const std::string> &EncodedFrame) {
  const auto Found = this->Connections.find(To);
  if (Found == this->Connections.end())
    return;
  evbuffer *Output = bufferevent_get_output(Found->second->Socket);
  if (evbuffer_get_length(Output) > MaxServerOutputBytes) {
    // Deferred, as the caller may be iterating over the connections.
    this->Loop.defer([this, To, Alive = std::weak_ptr<bool>(this->Alive)] {
      if (Alive.lock())
        this->close(To);
    });
    return;
  }
  using SharedFrame = std::shared_ptr<const std::string>;
  auto Reference = std::make_unique<SharedFrame>(EncodedFrame);
  const int Added = evbuffer_add_reference(
      Output, EncodedFrame->data(), EncodedFrame->size(),
      [](const void *, size_t, void *Owner) {
        delete static_cast<SharedFrame *>(Owner);
      },
      Reference.get());
  if (Added == 0)
    // Deleted by the buffer.
    static_cast<void>(Reference.release());
}

void FrameServer::close(ConnectionId Id) {
  if (this->Connections.erase(Id) != 0 && this->EventHandlers.OnClosed)
    this->EventHandlers.OnClosed(Id);
}

FrameClient::FrameClient(EventLoop &Loop, Address To, const ClusterKey &Key,
                         Handlers EventHandlers)
    : Loop(Loop), To(std::move(To)), Codec(Key),
      EventHandlers(std::move(EventHandlers)) {
  this->connect();
  this->KeepAliveTimer =
      Loop.callEvery(KeepAliveInterval, [this] { this->checkConnection(); });
}

bool FrameClient::isResponsive() const {
  return this->Connected &&
         this->Loop.now() - this->LastContact < ResponsiveTimeout;
}

void FrameClient::checkConnection() {
  if (!this->Socket)
    return;
  if (this->Loop.now() - this->LastContact > ReconnectTimeout)
    this->disconnect();
  else
    this->sendKeepAlive();
}

bool FrameClient::sendKeepAlive() {
  if (!this->send(""))
    return false;
  ++this->KeepAlivesSent;
  return true;
}

void FrameClient::whenHandled(std::function<void()> OnHandled) {
  // The peer handles frames in order, so it has handled all payloads before the
  // keepalive when it echoes that.
  if (this->sendKeepAlive())
    this->HandledCallbacks.emplace(this->KeepAlivesSent, std::move(OnHandled));
}

void FrameClient::handleKeepAliveEcho() {
  ++this->KeepAlivesEchoed;
  while (!this->HandledCallbacks.empty() &&
         this->HandledCallbacks.begin()->first <= this->KeepAlivesEchoed) {
    const auto OnHandled = std::move(this->HandledCallbacks.begin()->second);
    this->HandledCallbacks.erase(this->HandledCallbacks.begin());
    OnHandled();
  }
}

FrameClient::~FrameClient() {
  if (this->Socket)
    bufferevent_free(this->Socket);
}

void FrameClient::connect() {
  this->LastContact = this->Loop.now();
  this->Socket =
      bufferevent_socket_new(this->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      this->Socket,
      [](bufferevent *, void *Self) {
        static_cast<FrameClient *>(Self)->read();
      },
      nullptr,
      [](bufferevent *Socket, short Events, void *Argument) {
        auto *Self = static_cast<FrameClient *>(Argument);
        if ((Events & BEV_EVENT_CONNECTED) == 0) {
          Self->disconnect();
          return;
        }
        setNoDelay(bufferevent_getfd(Socket));
        Self->Connected = true;
        Self->LastContact = Self->Loop.now();
        if (Self->EventHandlers.OnConnected)
          Self->EventHandlers.OnConnected();
      },
      this);
  bufferevent_enable(this->Socket, EV_READ | EV_WRITE);
  const sockaddr_in SocketAddress = toSocketAddress(this->To);
  if (bufferevent_socket_connect(
          this->Socket, reinterpret_cast<const sockaddr *>(&SocketAddress),
          sizeof(SocketAddress)) != 0)
    this->disconnect();
}

void FrameClient::disconnect() {
  if (!this->Socket)
    return;
  // This may run inside a callback of the socket, so free it later.
  this->Loop.defer([Old = this->Socket] { bufferevent_free(Old); });
  bufferevent_disable(this->Socket, EV_READ | EV_WRITE);
  bufferevent_setcb(this->Socket, nullptr, nullptr, nullptr, nullptr);
  this->Socket = nullptr;
  this->Buffer.clear();
  this->KeepAlivesSent = 0;
  this->KeepAlivesEchoed = 0;
  this->HandledCallbacks.clear();
  const bool WasConnected = this->Connected;
  this->Connected = false;
  this->ReconnectTimer =
      this->Loop.callAfter(ReconnectDelay, [this] { this->connect(); });
  if (WasConnected && this->EventHandlers.OnDisconnected)
    this->EventHandlers.OnDisconnected();
}

void FrameClient::read() {
  this->LastContact = this->Loop.now();
  drainInput(this->Socket, this->Buffer);
  while (true) {
    auto Result = this->Codec.decodeFrame(this->Buffer);
    if (std::holds_alternative<FrameCodec::Incomplete>(Result))
      return;
    if (const auto *Reason = std::get_if<Common::RefusalReason>(&Result)) {
      if (this->EventHandlers.OnRefused)
        this->EventHandlers.OnRefused(*Reason);
      this->disconnect();
      return;
    }
    std::string &Bytes = std::get<FrameCodec::Payload>(Result).Bytes;
    if (Bytes.empty())
      this->handleKeepAliveEcho();
    else
      this->EventHandlers.OnPayload(std::move(Bytes));
  }
}

bool FrameClient::send(std::string_view Payload) {
  if (!this->Connected)
    return false;
  return writeFrame(this->Socket, this->Codec.encodeFrame(Payload));
}

} // namespace Network
