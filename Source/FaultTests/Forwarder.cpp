#include "FaultTests/Forwarder.h"

#include "Network/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace FaultTests {

struct Forwarder::Connection {
  Forwarder *Owner = nullptr;
  bufferevent *ClientSide = nullptr;
  bufferevent *ServerSide = nullptr;
  ~Connection() {
    bufferevent_free(this->ClientSide);
    bufferevent_free(this->ServerSide);
  }
};

Forwarder::Forwarder(Network::EventLoop &Loop, const Network::Address &Listen,
                     const Network::Address &Target)
    : Loop(Loop), Target(Target) {
  const sockaddr_in SocketAddress = Network::toSocketAddress(Listen);
  this->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) { static_cast<Forwarder *>(Self)->accept(Descriptor); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr *>(&SocketAddress),
      sizeof(SocketAddress));
  this->DatagramSocket =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind(this->DatagramSocket,
           reinterpret_cast<const sockaddr *>(&SocketAddress),
           sizeof(SocketAddress)) != 0)
    throw std::runtime_error("cannot bind UDP socket to " + Listen.str());
  this->DatagramEvent = Loop.onReadable(this->DatagramSocket,
                                        [this] { this->forwardDatagrams(); });
}

Forwarder::~Forwarder() {
  this->Connections.clear();
  if (this->Listener)
    evconnlistener_free(this->Listener);
  this->DatagramEvent.cancel();
  close(this->DatagramSocket);
  if (this->RateLimit)
    ev_token_bucket_cfg_free(this->RateLimit);
}

void Forwarder::limitRate(std::size_t BytesPerSecond) {
  constexpr std::size_t TicksPerSecond = 50;
  constexpr timeval Tick = {0, 1'000'000 / TicksPerSecond};
  const std::size_t BytesPerTick = BytesPerSecond / TicksPerSecond;
  this->RateLimit = ev_token_bucket_cfg_new(
      BytesPerTick, BytesPerTick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &Tick);
}

void Forwarder::unblock() {
  this->Blocked = false;
  this->Connections.clear();
}

void Forwarder::forwardDatagrams() const {
  std::string Buffer(65'536, '\0');
  const sockaddr_in SocketAddress = Network::toSocketAddress(this->Target);
  while (true) {
    const ssize_t Size =
        recv(this->DatagramSocket, Buffer.data(), Buffer.size(), 0);
    if (Size < 0)
      return;
    if (!this->Blocked)
      sendto(this->DatagramSocket, Buffer.data(),
             static_cast<std::size_t>(Size), 0,
             reinterpret_cast<const sockaddr *>(&SocketAddress),
             sizeof(SocketAddress));
  }
}

void Forwarder::forward(bufferevent *From, bufferevent *To) const {
  evbuffer *Input = bufferevent_get_input(From);
  if (this->Blocked)
    evbuffer_drain(Input, evbuffer_get_length(Input));
  else
    bufferevent_write_buffer(To, Input);
}

void Forwarder::remove(Connection *Closed) {
  // While blocked, neither side may notice that the other one has closed.
  if (!this->Blocked)
    this->Connections.erase(Closed);
}

void Forwarder::accept(int Descriptor) {
  auto Created = std::make_unique<Connection>();
  Connection *Accepted = Created.get();
  Accepted->Owner = this;
  Accepted->ClientSide = bufferevent_socket_new(this->Loop.base(), Descriptor,
                                                BEV_OPT_CLOSE_ON_FREE);
  Accepted->ServerSide =
      bufferevent_socket_new(this->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const auto OnEvent = [](bufferevent *, short Events, void *Argument) {
    auto *Current = static_cast<Connection *>(Argument);
    if ((Events & BEV_EVENT_CONNECTED) == 0)
      Current->Owner->remove(Current);
  };
  bufferevent_setcb(
      Accepted->ClientSide,
      [](bufferevent *, void *Argument) {
        auto *Current = static_cast<Connection *>(Argument);
        Current->Owner->forward(Current->ClientSide, Current->ServerSide);
      },
      nullptr, OnEvent, Accepted);
  bufferevent_setcb(
      Accepted->ServerSide,
      [](bufferevent *, void *Argument) {
        auto *Current = static_cast<Connection *>(Argument);
        Current->Owner->forward(Current->ServerSide, Current->ClientSide);
      },
      nullptr, OnEvent, Accepted);
  if (this->RateLimit)
    bufferevent_set_rate_limit(Accepted->ServerSide, this->RateLimit);
  this->Connections[Accepted] = std::move(Created);
  const sockaddr_in SocketAddress = Network::toSocketAddress(this->Target);
  bufferevent_enable(Accepted->ClientSide, EV_READ | EV_WRITE);
  bufferevent_enable(Accepted->ServerSide, EV_READ | EV_WRITE);
  bufferevent_socket_connect(Accepted->ServerSide,
                             reinterpret_cast<const sockaddr *>(&SocketAddress),
                             sizeof(SocketAddress));
}

} // namespace FaultTests
