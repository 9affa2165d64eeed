#include "FaultTests/Forwarder.h"

#include "Network/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace FaultTests {

struct Forwarder::Pair {
  Forwarder *Owner = nullptr;
  bufferevent *Near = nullptr;
  bufferevent *Far = nullptr;
  ~Pair() {
    bufferevent_free(this->Near);
    bufferevent_free(this->Far);
  }
};

Forwarder::Forwarder(Network::EventLoop &Loop, const Network::Address &Listen,
                     const Network::Address &Target)
    : Loop(Loop), Target(Target) {
  const sockaddr_in Where = Network::toSocketAddress(Listen);
  this->Listener = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) { static_cast<Forwarder *>(Self)->accept(Descriptor); },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<const sockaddr *>(&Where), sizeof(Where));
  this->Datagrams =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind(this->Datagrams, reinterpret_cast<const sockaddr *>(&Where),
           sizeof(Where)) != 0)
    throw std::runtime_error("cannot bind " + Listen.str());
  this->Readable =
      Loop.onReadable(this->Datagrams, [this] { this->passDatagrams(); });
}

Forwarder::~Forwarder() {
  this->Pairs.clear();
  if (this->Listener)
    evconnlistener_free(this->Listener);
  this->Readable.cancel();
  close(this->Datagrams);
}

void Forwarder::heal() {
  this->Dropping = false;
  this->Pairs.clear();
}

void Forwarder::passDatagrams() const {
  std::string Buffer(65'536, '\0');
  const sockaddr_in Where = Network::toSocketAddress(this->Target);
  while (true) {
    const ssize_t Size = recv(this->Datagrams, Buffer.data(), Buffer.size(), 0);
    if (Size < 0)
      return;
    if (!this->Dropping)
      sendto(this->Datagrams, Buffer.data(), static_cast<std::size_t>(Size), 0,
             reinterpret_cast<const sockaddr *>(&Where), sizeof(Where));
  }
}

void Forwarder::pass(bufferevent *From, bufferevent *To) const {
  evbuffer *Input = bufferevent_get_input(From);
  if (this->Dropping)
    evbuffer_drain(Input, evbuffer_get_length(Input));
  else
    bufferevent_write_buffer(To, Input);
}

void Forwarder::drop(Pair *Which) {
  // A cut hides that the other side has closed.
  if (!this->Dropping)
    this->Pairs.erase(Which);
}

void Forwarder::accept(int Descriptor) {
  auto Made = std::make_unique<Pair>();
  Pair *Raw = Made.get();
  Raw->Owner = this;
  Raw->Near = bufferevent_socket_new(this->Loop.base(), Descriptor,
                                     BEV_OPT_CLOSE_ON_FREE);
  Raw->Far =
      bufferevent_socket_new(this->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const auto Ended = [](bufferevent *, short Events, void *Argument) {
    auto *Each = static_cast<Pair *>(Argument);
    if ((Events & BEV_EVENT_CONNECTED) == 0)
      Each->Owner->drop(Each);
  };
  bufferevent_setcb(
      Raw->Near,
      [](bufferevent *, void *Argument) {
        auto *Each = static_cast<Pair *>(Argument);
        Each->Owner->pass(Each->Near, Each->Far);
      },
      nullptr, Ended, Raw);
  bufferevent_setcb(
      Raw->Far,
      [](bufferevent *, void *Argument) {
        auto *Each = static_cast<Pair *>(Argument);
        Each->Owner->pass(Each->Far, Each->Near);
      },
      nullptr, Ended, Raw);
  this->Pairs[Raw] = std::move(Made);
  const sockaddr_in Where = Network::toSocketAddress(this->Target);
  bufferevent_enable(Raw->Near, EV_READ | EV_WRITE);
  bufferevent_enable(Raw->Far, EV_READ | EV_WRITE);
  bufferevent_socket_connect(
      Raw->Far, reinterpret_cast<const sockaddr *>(&Where), sizeof(Where));
}

} // namespace FaultTests
