#include "Network/RawPeer.h"

#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace UnitTests {

namespace {

/// Below the ephemeral port range, so that outgoing connections do not take
/// these ports.
constexpr std::uint16_t FirstPort = 21'100;

int listeningSocket(const Network::Address &To) {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int On = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Endpoint = Network::toSocketAddress(To);
  BOOST_REQUIRE(bind(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
                     sizeof(Endpoint)) == 0);
  BOOST_REQUIRE(listen(Descriptor, 64) == 0);
  return Descriptor;
}

void resetOnClose(int Descriptor) {
  const linger Discard{1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Discard, sizeof(Discard));
}

} // namespace

Network::Address allocateAddress() {
  static std::uint16_t NextPort = FirstPort;
  // Process ids have up to 22 bits.
  static const auto Process = static_cast<std::uint32_t>(getpid());
  static const std::string Ip =
      absl::StrCat("127.", 64 + (Process >> 16 & 63), ".", Process >> 8 & 255,
                   ".", Process & 255);
  return {Ip, NextPort++};
}

bool runUntil(Network::EventLoop &Loop, const std::function<bool()> &Done) {
  const Common::TimePoint Deadline = Loop.now() + std::chrono::seconds(5);
  while (!Done()) {
    if (Loop.now() > Deadline)
      return false;
    Loop.runOnce(std::chrono::milliseconds(2));
  }
  return true;
}

RawServer::RawServer(Network::EventLoop &Loop, std::vector<Step> Script,
                     int ReceiveBufferBytes)
    : Loop(Loop), Script(std::move(Script)), ServerAddress(allocateAddress()) {
  this->Listener = listeningSocket(this->ServerAddress);
  // Accepted sockets inherit it.
  if (ReceiveBufferBytes != 0)
    setsockopt(this->Listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
  this->ReadEvent = Loop.onReadable(this->Listener, [this] { this->accept(); });
}

RawServer::~RawServer() {
  for (auto &Each : this->Peers)
    ::close(Each.first);
  ::close(this->Listener);
}

void RawServer::write(const std::string &Bytes) {
  for (const auto &Each : this->Peers)
    // Fails on a connection that the peer has closed.
    static_cast<void>(
        send(Each.first, Bytes.data(), Bytes.size(), MSG_NOSIGNAL));
}

void RawServer::resetAll() {
  for (auto &Each : this->Peers) {
    Each.second.ReadEvent.cancel();
    resetOnClose(Each.first);
    ::close(Each.first);
  }
  this->Peers.clear();
}

void RawServer::accept() {
  const int Descriptor =
      accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (Descriptor < 0)
    return;
  ++this->ConnectionCount;
  this->Peers[Descriptor].ReadEvent = this->Loop.onReadable(
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
  this->ByteCount += static_cast<std::size_t>(Length);
  this->Peers[Descriptor].Input.append(Buffer, Length);
  this->runStep(Descriptor);
}

void RawServer::runStep(int Descriptor) {
  Peer &Sender = this->Peers[Descriptor];
  std::string &Input = Sender.Input;
  const std::size_t Head = Input.find("\r\n\r\n");
  if (Head == std::string::npos)
    return;
  const Step CurrentStep = this->Requests.size() < this->Script.size()
                               ? this->Script[this->Requests.size()]
                               : Step();
  std::size_t Body = 0;
  const std::size_t Length = Input.find("Content-Length: ");
  if (Length != std::string::npos && Length < Head)
    Body = std::stoul(Input.substr(Length + 16));
  if (!CurrentStep.BeforeBody && Input.size() < Head + 4 + Body)
    return;
  this->Requests.push_back(Input);
  Input.clear();
  const std::string Bytes =
      (Sender.Reused ? CurrentStep.WriteIfReused : "") + CurrentStep.Write;
  Sender.Reused = true;
  if (!Bytes.empty())
    BOOST_REQUIRE(::write(Descriptor, Bytes.data(), Bytes.size()) ==
                  static_cast<ssize_t>(Bytes.size()));
  if (CurrentStep.EndWriting)
    shutdown(Descriptor, SHUT_WR);
  if (CurrentStep.StopReading)
    Sender.ReadEvent.cancel();
  if (CurrentStep.Reset)
    resetOnClose(Descriptor);
  if (CurrentStep.Close || CurrentStep.Reset) {
    this->Peers.erase(Descriptor);
    ::close(Descriptor);
  }
}

RawCaller::RawCaller(Network::EventLoop &Loop, const Network::Address &To,
                     int ReceiveBufferBytes)
    : Loop(Loop) {
  this->Descriptor = socket(AF_INET, SOCK_STREAM, 0);
  if (ReceiveBufferBytes != 0)
    setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
  const sockaddr_in Endpoint = Network::toSocketAddress(To);
  BOOST_REQUIRE(connect(this->Descriptor,
                        reinterpret_cast<const sockaddr *>(&Endpoint),
                        sizeof(Endpoint)) == 0);
  this->resumeReading();
}

RawCaller::~RawCaller() { this->close(); }

void RawCaller::resumeReading() {
  this->ReadEvent = this->Loop.onReadable(this->Descriptor, [this] {
    char Buffer[65536];
    const ssize_t Length =
        recv(this->Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
    if (Length > 0) {
      this->Received.append(Buffer, Length);
    } else {
      this->Ended = true;
      this->ReadEvent.cancel();
    }
  });
}

void RawCaller::write(const std::string &Bytes) {
  BOOST_REQUIRE(send(this->Descriptor, Bytes.data(), Bytes.size(),
                     MSG_NOSIGNAL) == static_cast<ssize_t>(Bytes.size()));
}

void RawCaller::endWriting() { shutdown(this->Descriptor, SHUT_WR); }

void RawCaller::close() {
  this->ReadEvent.cancel();
  if (this->Descriptor >= 0)
    ::close(this->Descriptor);
  this->Descriptor = -1;
}

} // namespace UnitTests
