#include "Network/RawPeer.h"

#include "Network/SocketAddress.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace UnitTests {

namespace {

/// Ports below the range that the system gives to outgoing connections.
constexpr std::uint16_t FirstPort = 21'100;

int boundSocket(const Network::Address &To) {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int On = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Bound = Network::toSocketAddress(To);
  BOOST_REQUIRE(bind(Descriptor, reinterpret_cast<const sockaddr *>(&Bound),
                     sizeof(Bound)) == 0);
  BOOST_REQUIRE(listen(Descriptor, 64) == 0);
  return Descriptor;
}

} // namespace

Network::Address freshAddress() {
  static std::uint16_t Next = FirstPort;
  return {"127.0.0.1", Next++};
}

bool runUntil(Network::EventLoop &Loop, const std::function<bool()> &Done) {
  const Common::TimePoint End = Loop.now() + std::chrono::seconds(5);
  while (!Done()) {
    if (Loop.now() > End)
      return false;
    Loop.runOnce(std::chrono::milliseconds(2));
  }
  return true;
}

RawServer::RawServer(Network::EventLoop &Loop, std::vector<Step> Script)
    : Loop(Loop), Script(std::move(Script)), Where(freshAddress()) {
  this->Listener = boundSocket(this->Where);
  this->Watch = Loop.onReadable(this->Listener, [this] { this->accept(); });
}

RawServer::~RawServer() {
  for (auto &Each : this->Peers)
    ::close(Each.first);
  ::close(this->Listener);
}

void RawServer::accept() {
  const int Descriptor =
      accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (Descriptor < 0)
    return;
  ++this->Accepted;
  this->Peers[Descriptor].Watch = this->Loop.onReadable(
      Descriptor, [this, Descriptor] { this->read(Descriptor); });
}

void RawServer::read(int Descriptor) {
  char Buffer[65536];
  const ssize_t Length = ::read(Descriptor, Buffer, sizeof(Buffer));
  if (Length <= 0) {
    if (Length == 0 || errno != EAGAIN) {
      this->Peers.erase(Descriptor);
      ::close(Descriptor);
    }
    return;
  }
  this->Bytes += static_cast<std::size_t>(Length);
  this->Peers[Descriptor].Input.append(Buffer, Length);
  this->act(Descriptor);
}

void RawServer::act(int Descriptor) {
  std::string &Input = this->Peers[Descriptor].Input;
  const std::size_t Head = Input.find("\r\n\r\n");
  if (Head == std::string::npos)
    return;
  const Step Now = this->Requests.size() < this->Script.size()
                       ? this->Script[this->Requests.size()]
                       : Step();
  std::size_t Body = 0;
  const std::size_t Length = Input.find("Content-Length: ");
  if (Length != std::string::npos && Length < Head)
    Body = std::stoul(Input.substr(Length + 16));
  if (!Now.Early && Input.size() < Head + 4 + Body)
    return;
  this->Requests.push_back(Input);
  Input.clear();
  if (!Now.Write.empty())
    BOOST_REQUIRE(::write(Descriptor, Now.Write.data(), Now.Write.size()) ==
                  static_cast<ssize_t>(Now.Write.size()));
  if (Now.Reset) {
    const linger Hard{1, 0};
    setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
  }
  if (Now.Close || Now.Reset) {
    this->Peers.erase(Descriptor);
    ::close(Descriptor);
  }
}

RawCaller::RawCaller(Network::EventLoop &Loop, const Network::Address &To) {
  this->Descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in Where = Network::toSocketAddress(To);
  BOOST_REQUIRE(connect(this->Descriptor,
                        reinterpret_cast<const sockaddr *>(&Where),
                        sizeof(Where)) == 0);
  this->Watch = Loop.onReadable(this->Descriptor, [this] {
    char Buffer[65536];
    const ssize_t Length =
        recv(this->Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Length > 0) {
      this->Received.append(Buffer, Length);
    } else {
      this->Ended = true;
      this->Watch.cancel();
    }
  });
}

RawCaller::~RawCaller() { this->close(); }

void RawCaller::write(const std::string &Bytes) {
  BOOST_REQUIRE(send(this->Descriptor, Bytes.data(), Bytes.size(),
                     MSG_NOSIGNAL) == static_cast<ssize_t>(Bytes.size()));
}

void RawCaller::close() {
  this->Watch.cancel();
  if (this->Descriptor >= 0)
    ::close(this->Descriptor);
  this->Descriptor = -1;
}

} // namespace UnitTests
