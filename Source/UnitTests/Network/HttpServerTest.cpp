#include "Network/HttpServer.h"

#include "Network/RawPeer.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

using namespace Network;

namespace {

std::unique_ptr<EventLoop> createLoop() {
  auto Loop = EventLoop::create();
  BOOST_REQUIRE(Loop.ok());
  return std::move(*Loop);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against a head that is none being written to a caller, whatever a
// server or the journal has handed over.
BOOST_AUTO_TEST_CASE(WritesNoHeadThatIsNone) {
  const std::vector<HttpResponse> Answers = {
      {0, {}, "broken"},
      {99, {}, "broken"},
      {600, {}, "broken"},
      {200, {{"X Odd", "1"}}, "broken"},
      {200, {{"X-Odd", "1\r\n X-More: 2"}}, "broken"}};
  for (const HttpResponse &Each : Answers)
    for (const bool Stream : {false, true}) {
      const auto Loop = createLoop();
      const Address Listen = allocateAddress();
      auto Server = HttpServer::create(
          *Loop, Listen, {},
          [&](const std::shared_ptr<HttpExchange> &Exchange) {
            if (!Stream) {
              Exchange->reply(Each);
              return;
            }
            Exchange->startStream(Each.Status, Each.Headers);
            Exchange->sendChunk(Each.Body);
            Exchange->endStream();
          });
      BOOST_REQUIRE(Server.ok());
      RawCaller Caller(*Loop, Listen);
      Caller.write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      BOOST_REQUIRE(runUntil(*Loop, [&] { return Caller.ended(); }));
      BOOST_TEST(Caller.received().substr(0, 25) ==
                 "HTTP/1.1 502 Bad Gateway\r");
      BOOST_TEST(Caller.received().find("Odd") == std::string::npos);
      BOOST_TEST(Caller.received().find("broken") == std::string::npos);
    }
}

// A planned stop waits for open exchanges, so it must not cut an answer that is
// still in the process's output buffer.
BOOST_AUTO_TEST_CASE(exchangeIsOpenUntilItsResponseIsWritten) {
  const auto Loop = createLoop();
  const std::string LargeBody(16u << 20, 'x');
  std::unique_ptr<HttpServer> Server;
  std::size_t OpenAfterReply = 0;
  const Address Listen = allocateAddress();
  auto Created = HttpServer::create(
      *Loop, Listen, {}, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->reply({200, {}, LargeBody});
        BOOST_TEST(!Exchange->isOpen());
        OpenAfterReply = Server->openExchanges();
      });
  BOOST_REQUIRE(Created.ok());
  Server = std::move(*Created);
  RawCaller Caller(*Loop, Listen);
  Caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(
      *Loop, [&] { return Caller.received().size() > LargeBody.size(); }));
  BOOST_TEST(OpenAfterReply == 1u);
  BOOST_TEST(runUntil(*Loop, [&] { return Server->openExchanges() == 0; }));
}

// A caller that closes its connection instead of reading the answer must not
// keep a planned stop waiting.
BOOST_AUTO_TEST_CASE(exchangeEndsWhenItsCallerLeavesTheResponseUnread) {
  const auto Loop = createLoop();
  const std::string LargeBody(16u << 20, 'x');
  std::size_t Disconnects = 0;
  std::size_t Replies = 0;
  const Address Listen = allocateAddress();
  auto Server = HttpServer::create(
      *Loop, Listen, {}, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->onCallerDisconnected([&] { ++Disconnects; });
        Exchange->reply({200, {}, LargeBody});
        ++Replies;
      });
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, Listen);
  Caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Replies == 1; }));
  Caller.close();
  BOOST_TEST(runUntil(*Loop, [&] { return (*Server)->openExchanges() == 0; }));
  // The response was complete from the handler's point of view.
  BOOST_TEST(Disconnects == 0u);
}

// At the end of a planned stop every open exchange is answered or its
// connection is closed, and a stream does not end as if it were complete.
BOOST_AUTO_TEST_CASE(interruptedExchangesAreAnsweredOrClosed) {
  const auto Loop = createLoop();
  std::vector<std::shared_ptr<HttpExchange>> Exchanges;
  const Address Listen = allocateAddress();
  auto Server = HttpServer::create(
      *Loop, Listen, {}, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchanges.push_back(Exchange);
        if (Exchange->request().Target == "/stream") {
          Exchange->startStream(200, {});
          Exchange->sendChunk("part");
        } else {
          Exchange->onInterrupted([Raw = Exchange.get()] {
            Raw->reply({503, {}, "stopping"});
          });
        }
      });
  BOOST_REQUIRE(Server.ok());
  RawCaller Waiting(*Loop, Listen);
  Waiting.write("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
  RawCaller Streaming(*Loop, Listen);
  Streaming.write("GET /stream HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Exchanges.size() == 2; }));
  (*Server)->interruptExchanges();
  BOOST_TEST(runUntil(*Loop, [&] { return Streaming.ended(); }));
  BOOST_TEST(runUntil(
      *Loop, [&] { return Waiting.received().ends_with("stopping"); }));
  BOOST_TEST(Waiting.received().starts_with("HTTP/1.1 503"));
  BOOST_TEST(Streaming.received().find("0\r\n\r\n") == std::string::npos);
  BOOST_TEST((*Server)->openExchanges() == 0u);
}

// Connections that wait in the accept queue when the listener closes would be
// reset, together with the requests that were already sent on them.
BOOST_AUTO_TEST_CASE(connectionsInTheAcceptQueueAreServed) {
  const auto Loop = createLoop();
  const Address Listen = allocateAddress();
  auto Server = HttpServer::create(
      *Loop, Listen, {}, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->reply({200, {}, "served"});
      });
  BOOST_REQUIRE(Server.ok());
  // The loop does not run meanwhile, so nothing is accepted yet.
  std::vector<std::unique_ptr<RawCaller>> Callers;
  for (int I = 0; I < 3; ++I) {
    Callers.push_back(std::make_unique<RawCaller>(*Loop, Listen));
    Callers.back()->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  (*Server)->stopAccepting();
  for (const auto &Caller : Callers)
    BOOST_TEST(runUntil(
        *Loop, [&] { return Caller->received().ends_with("served"); }));
}

// An answer must reach a caller that sent more than the server reads before it
// closes the connection: a close with unread input resets the connection.
BOOST_AUTO_TEST_CASE(closeWithUnreadInputKeepsTheResponse) {
  const auto Loop = createLoop();
  const std::string LargeBody(16u << 20, 'x');
  const Address Listen = allocateAddress();
  std::size_t Requests = 0;
  auto Server = HttpServer::create(
      *Loop, Listen, {}, [&](const std::shared_ptr<HttpExchange> &Exchange) {
        ++Requests;
        Exchange->reply({200, {}, LargeBody});
      });
  BOOST_REQUIRE(Server.ok());
  (*Server)->startShutdown();
  RawCaller Caller(*Loop, Listen);
  Caller.write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Requests == 1; }));
  Caller.write("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(runUntil(*Loop, [&] { return Caller.ended(); }));
  BOOST_TEST(Caller.received().size() > LargeBody.size());
  BOOST_TEST(Requests == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
