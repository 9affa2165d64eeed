#include "Network/FrameSocket.h"

#include "Network/RawPeer.h"
#include "Network/SocketAddress.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace UnitTests {

namespace {

using namespace Network;

const ClusterKey Key{"0123456789abcdef"};

struct Fixture {
  std::unique_ptr<EventLoop> Loop;
  Address Listen = allocateAddress();
  std::unique_ptr<FrameServer> Server;
  std::vector<ConnectionId> Connections;
  std::size_t Closed = 0;

  Fixture() {
    this->Loop = *EventLoop::create();
    FrameServer::Handlers Handlers;
    Handlers.OnPayload = [this](ConnectionId From, const std::string &) {
      this->Connections.push_back(From);
    };
    Handlers.OnClosed = [this](ConnectionId) { ++this->Closed; };
    Handlers.OnRefused = [](Common::RefusalReason) {};
    this->Server =
        *FrameServer::create(*this->Loop, this->Listen, Key, Handlers);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(FrameServer_)

BOOST_FIXTURE_TEST_CASE(BroadcastReachesEachConnectionWhole, Fixture) {
  const std::string Message(3u << 20, 'x');
  std::vector<std::unique_ptr<FrameClient>> Clients;
  std::size_t Received = 0;
  for (int I = 0; I < 5; ++I) {
    FrameClient::Handlers Handlers;
    Handlers.OnPayload = [&](const std::string &Payload) {
      BOOST_TEST((Payload == Message));
      ++Received;
    };
    Handlers.OnConnected = [&Clients, I] {
      Clients[static_cast<std::size_t>(I)]->send("hello");
    };
    Handlers.OnRefused = [](Common::RefusalReason) {};
    Clients.push_back(std::make_unique<FrameClient>(*this->Loop, this->Listen,
                                                    Key, std::move(Handlers)));
  }
  BOOST_REQUIRE(
      runUntil(*this->Loop, [&] { return this->Connections.size() == 5; }));
  this->Server->broadcast(this->Connections, Message);
  BOOST_TEST(runUntil(*this->Loop, [&] { return Received == 5; }));
}

// Guards against acknowledgements that rest on bytes in a socket: a message
// counts as handled when the peer has processed it, not when it was written.
BOOST_FIXTURE_TEST_CASE(PayloadsCountAsHandledOnceThePeerProcessedThem,
                        Fixture) {
  FrameClient::Handlers Handlers;
  Handlers.OnRefused = [](Common::RefusalReason) {};
  FrameClient Client(*this->Loop, this->Listen, Key, std::move(Handlers));
  bool Lost = false;
  Client.whenHandled([&] { Lost = true; });
  BOOST_REQUIRE(runUntil(*this->Loop, [&] { return Client.isConnected(); }));
  std::vector<std::size_t> HandledAt;
  for (std::size_t I = 1; I <= 3; ++I) {
    Client.send("payload");
    Client.whenHandled([&] { HandledAt.push_back(this->Connections.size()); });
  }
  BOOST_TEST(HandledAt.empty());
  BOOST_REQUIRE(runUntil(*this->Loop, [&] { return HandledAt.size() == 3; }));
  for (std::size_t I = 0; I < 3; ++I)
    BOOST_TEST(HandledAt[I] >= I + 1);
  // Nothing is known of what was sent on a connection that has failed.
  Client.send("payload");
  Client.whenHandled([&] { Lost = true; });
  this->Server.reset();
  BOOST_REQUIRE(runUntil(*this->Loop, [&] { return !Client.isConnected(); }));
  BOOST_TEST(!Lost);
}

// A peer does not read while large declarations are pushed (a state daemon of
// halonen-polkky-large reached its memory limit). Its connection is closed
// before its unread messages take much memory.
BOOST_FIXTURE_TEST_CASE(ConnectionOfAPeerThatDoesNotReadIsClosed, Fixture) {
  const int Peer = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in To = toSocketAddress(this->Listen);
  BOOST_REQUIRE(
      connect(Peer, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) == 0);
  const std::string Hello = FrameCodec(Key).encodeFrame("hello");
  BOOST_REQUIRE(::send(Peer, Hello.data(), Hello.size(), 0) ==
                static_cast<ssize_t>(Hello.size()));
  BOOST_REQUIRE(
      runUntil(*this->Loop, [&] { return this->Connections.size() == 1; }));
  const std::string Message(1u << 20, 'x');
  int Sent = 0;
  const auto Timer = this->Loop->callEvery(std::chrono::milliseconds(2), [&] {
    ++Sent;
    this->Server->broadcast(this->Connections, Message);
  });
  BOOST_TEST(runUntil(*this->Loop, [&] { return this->Closed == 1; }));
  // The limit, and what the kernel buffers.
  BOOST_TEST(Sent <= 24);
  ::close(Peer);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
