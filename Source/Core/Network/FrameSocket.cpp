#include "Network/FrameSocket.h"

#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

namespace Network {

namespace {

constexpr Common::Duration ReconnectDelay = std::chrono::milliseconds(100);
constexpr Common::Duration KeepAlivePeriod = std::chrono::milliseconds(400);
/// A link that was silent for this long is not used.
constexpr Common::Duration AliveFor = std::chrono::milliseconds(1000);
/// A link that was silent for this long is opened anew.
constexpr Common::Duration SilenceLimit = std::chrono::milliseconds(1500);
/// The accepting side closes what was silent for this long.
constexpr timeval AcceptedSilence = {10, 0};
/// A peer that reads nothing must not fill our memory.
constexpr std::size_t MaxUnsentBytes = 64u << 20;

void setNoDelay(int Descriptor) {
  const int On = 1;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

void moveInput(bufferevent *Socket, std::string &Buffer) {
  evbuffer *Input = bufferevent_get_input(Socket);
  const std::size_t Size = evbuffer_get_length(Input);
  const std::size_t Before = Buffer.size();
  Buffer.resize(Before + Size);
  evbuffer_remove(Input, Buffer.data() + Before, Size);
}

bool writeSealed(bufferevent *Socket, const std::string &Sealed) {
  if (evbuffer_get_length(bufferevent_get_output(Socket)) > MaxUnsentBytes)
    return false;
  return bufferevent_write(Socket, Sealed.data(), Sealed.size()) == 0;
}

} // namespace

struct FrameServer::Connection {
  FrameServer *Server = nullptr;
  ConnectionId Id;
  bufferevent *Socket = nullptr;
  std::string Buffer;
  ~Connection() {
    if (this->Socket)
      bufferevent_free(this->Socket);
  }
};

FrameServer::FrameServer(EventLoop &Loop, const ClusterKey &Key,
                         Handlers Handle)
    : Loop(Loop), Codec(Key), Handle(std::move(Handle)) {}

absl::StatusOr<std::unique_ptr<FrameServer>>
FrameServer::create(EventLoop &Loop, const Address &Listen,
                    const ClusterKey &Key, Handlers Handle) {
  std::unique_ptr<FrameServer> Server(
      new FrameServer(Loop, Key, std::move(Handle)));
  const sockaddr_in Where = toSocketAddress(Listen);
  Server->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) { static_cast<FrameServer *>(Self)->accept(Descriptor); },
      Server.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr *>(&Where), sizeof(Where));
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
  auto Accepted = std::make_unique<Connection>();
  Accepted->Server = this;
  Accepted->Id = ConnectionId{++this->LastConnection};
  Accepted->Socket = bufferevent_socket_new(this->Loop.base(), Descriptor,
                                            BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      Accepted->Socket,
      [](bufferevent *, void *Argument) {
        auto *From = static_cast<Connection *>(Argument);
        From->Server->read(*From);
      },
      nullptr,
      [](bufferevent *, short, void *Argument) {
        auto *From = static_cast<Connection *>(Argument);
        From->Server->close(From->Id);
      },
      Accepted.get());
  bufferevent_set_timeouts(Accepted->Socket, &AcceptedSilence, nullptr);
  bufferevent_enable(Accepted->Socket, EV_READ | EV_WRITE);
  this->Connections[Accepted->Id] = std::move(Accepted);
}

void FrameServer::read(Connection &From) {
  moveInput(From.Socket, From.Buffer);
  const ConnectionId Id = From.Id;
  while (true) {
    auto Result = this->Codec.takeFrom(From.Buffer);
    if (std::holds_alternative<FrameCodec::Incomplete>(Result))
      return;
    if (const auto *Reason = std::get_if<Common::RefusalReason>(&Result)) {
      this->Handle.OnRefused(*Reason);
      this->close(Id);
      return;
    }
    std::string &Bytes = std::get<FrameCodec::Payload>(Result).Bytes;
    if (Bytes.empty())
      this->send(Id, "");
    else
      this->Handle.OnPayload(Id, std::move(Bytes));
  }
}

void FrameServer::send(ConnectionId Id, std::string_view Payload) {
  const auto Found = this->Connections.find(Id);
  if (Found != this->Connections.end())
    writeSealed(Found->second->Socket, this->Codec.seal(Payload));
}

void FrameServer::close(ConnectionId Id) {
  if (this->Connections.erase(Id) != 0 && this->Handle.OnClosed)
    this->Handle.OnClosed(Id);
}

FrameLink::FrameLink(EventLoop &Loop, Address To, const ClusterKey &Key,
                     Handlers Handle)
    : Loop(Loop), To(std::move(To)), Codec(Key), Handle(std::move(Handle)) {
  this->connect();
  this->KeepAlive =
      Loop.callEvery(KeepAlivePeriod, [this] { this->keepAlive(); });
}

bool FrameLink::alive() const {
  return this->Connected && this->Loop.now() - this->HeardAt < AliveFor;
}

void FrameLink::keepAlive() {
  if (!this->Socket)
    return;
  if (this->Loop.now() - this->HeardAt > SilenceLimit)
    this->drop();
  else
    this->send("");
}

FrameLink::~FrameLink() {
  if (this->Socket)
    bufferevent_free(this->Socket);
}

void FrameLink::connect() {
  this->HeardAt = this->Loop.now();
  this->Socket =
      bufferevent_socket_new(this->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      this->Socket,
      [](bufferevent *, void *Self) { static_cast<FrameLink *>(Self)->read(); },
      nullptr,
      [](bufferevent *Socket, short Events, void *Argument) {
        auto *Self = static_cast<FrameLink *>(Argument);
        if ((Events & BEV_EVENT_CONNECTED) == 0) {
          Self->drop();
          return;
        }
        setNoDelay(bufferevent_getfd(Socket));
        Self->Connected = true;
        Self->HeardAt = Self->Loop.now();
        if (Self->Handle.OnUp)
          Self->Handle.OnUp();
      },
      this);
  bufferevent_enable(this->Socket, EV_READ | EV_WRITE);
  const sockaddr_in Where = toSocketAddress(this->To);
  if (bufferevent_socket_connect(this->Socket,
                                 reinterpret_cast<const sockaddr *>(&Where),
                                 sizeof(Where)) != 0)
    this->drop();
}

void FrameLink::drop() {
  if (!this->Socket)
    return;
  // It may be its own callback that drops the socket.
  this->Loop.defer([Old = this->Socket] { bufferevent_free(Old); });
  bufferevent_disable(this->Socket, EV_READ | EV_WRITE);
  bufferevent_setcb(this->Socket, nullptr, nullptr, nullptr, nullptr);
  this->Socket = nullptr;
  this->Buffer.clear();
  const bool Was = this->Connected;
  this->Connected = false;
  this->Reconnect =
      this->Loop.callAfter(ReconnectDelay, [this] { this->connect(); });
  if (Was && this->Handle.OnDown)
    this->Handle.OnDown();
}

void FrameLink::read() {
  this->HeardAt = this->Loop.now();
  moveInput(this->Socket, this->Buffer);
  while (true) {
    auto Result = this->Codec.takeFrom(this->Buffer);
    if (std::holds_alternative<FrameCodec::Incomplete>(Result))
      return;
    if (const auto *Reason = std::get_if<Common::RefusalReason>(&Result)) {
      if (this->Handle.OnRefused)
        this->Handle.OnRefused(*Reason);
      this->drop();
      return;
    }
    std::string &Bytes = std::get<FrameCodec::Payload>(Result).Bytes;
    if (!Bytes.empty())
      this->Handle.OnPayload(std::move(Bytes));
  }
}

bool FrameLink::send(std::string_view Payload) {
  if (!this->Connected)
    return false;
  return writeSealed(this->Socket, this->Codec.seal(Payload));
}

} // namespace Network
