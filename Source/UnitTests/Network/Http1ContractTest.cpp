#include "Network/CorrelationHistory.h"
#include "Network/Http1Client.h"
#include "Network/Http1Server.h"
#include "Network/RawPeer.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>
#include <unistd.h>

namespace UnitTests {

namespace {

using namespace Network;
using namespace std::chrono_literals;

std::unique_ptr<EventLoop> createLoop() {
  auto Loop = EventLoop::create();
  BOOST_REQUIRE(Loop.ok());
  return std::move(*Loop);
}

struct Outcome {
  std::optional<Http1CallResult> CallResult;
  int Status = 0;
  std::string Body;
  bool Sent = false;
};

/// Starts a call that skips responses whose Id header differs from Id.
std::shared_ptr<Outcome> call(Http1Client &Client, const Address &To,
                              std::string Body = "",
                              const std::string &Id = "1",
                              std::function<bool()> MayWrite = nullptr) {
  auto Result = std::make_shared<Outcome>();
  Http1Call Request;
  Request.To = To;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Headers = {{"Host", "h"}};
  Request.Body = std::move(Body);
  Request.IdleTimeout = 400ms;
  Http1CallHandlers Handlers;
  Handlers.MayWrite = std::move(MayWrite);
  Handlers.OnSent = [Result] { Result->Sent = true; };
  Handlers.OnHead = [Result, Id](const Http1Head &Head) {
    if (findHeader(Head.Headers, "Id").value_or(Id) != Id)
      return false;
    Result->Status = Head.Status;
    return true;
  };
  Handlers.OnBody = [Result](const std::string &Bytes) {
    Result->Body += Bytes;
  };
  Handlers.OnDone = [Result](Http1CallResult CallResult) {
    Result->CallResult = CallResult;
  };
  Client.start(std::move(Request), std::move(Handlers));
  return Result;
}

const std::string CompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct ServerCase {
  const char *Description;
  RawServer::Step Step;
  Http1CallResult CallResult;
};

const std::vector<ServerCase> ServerCases = {
    {"a complete response", {CompleteResponse}, Http1CallResult::Complete},
    {"no length, connection closed",
     {"HTTP/1.1 200 OK\r\n\r\nok", true},
     Http1CallResult::Complete},
    {"no length, connection reset",
     {"HTTP/1.1 200 OK\r\n\r\nok", false, true},
     Http1CallResult::Truncated},
    {"connection closed within the body",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true},
     Http1CallResult::Truncated},
    {"chunked body without the last chunk",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true},
     Http1CallResult::Truncated},
    {"connection closed without a response",
     {"", true},
     Http1CallResult::NoResponse},
    {"connection reset without a response",
     {"", false, true},
     Http1CallResult::NoResponse},
    {"invalid response", {"hello\r\n\r\n", true}, Http1CallResult::Malformed},
    {"a malformed chunk behind a head",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
     Http1CallResult::Malformed},
    {"no response within the timeout", {""}, Http1CallResult::NoResponse},
    {"an interim response first",
     {"HTTP/1.1 100 Continue\r\n\r\n" + CompleteResponse},
     Http1CallResult::Complete},
    {"two Content-Length headers",
     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
     Http1CallResult::Malformed}};

const std::string SimpleRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::unique_ptr<Http1Server> createServer(EventLoop &Loop,
                                          const Address &Listen,
                                          Http1Server::Handlers Handlers) {
  auto Server = Http1Server::create(Loop, Listen, std::move(Handlers));
  BOOST_REQUIRE(Server.ok());
  return std::move(*Server);
}

/// Waits until the server has closed a connection that sends nothing, and so
/// has checked all connections against its idle timeout.
bool awaitIdleExpiry(EventLoop &Loop, const Address &Server) {
  const RawCaller Idle(Loop, Server);
  return runUntil(Loop, [&] { return Idle.ended(); });
}

/// Waits until a request on another connection is answered; the server has then
/// read what had arrived before.
bool awaitOtherAnswer(EventLoop &Loop, const Address &Server) {
  RawCaller Other(Loop, Server);
  Other.write(SimpleRequest);
  return runUntil(Loop, [&] { return !Other.received().empty(); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Http1Contract)

BOOST_AUTO_TEST_CASE(DistinguishesCallResults) {
  for (const ServerCase &Each : ServerCases) {
    const auto Loop = createLoop();
    RawServer Server(*Loop, {Each.Step});
    Http1Client Client(*Loop);
    const auto Result = call(Client, Server.address(), "body");
    BOOST_TEST_CONTEXT(Each.Description) {
      BOOST_REQUIRE(
          runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
      BOOST_CHECK(*Result->CallResult == Each.CallResult);
      // A request is sent exactly once in every case.
      BOOST_TEST(Server.requests().size() == 1u);
      if (Each.CallResult == Http1CallResult::Complete)
        BOOST_TEST(Result->Body == "ok");
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsNotSentWhenConnectionIsRefused) {
  const auto Loop = createLoop();
  Http1Client Client(*Loop);
  const auto Result = call(Client, allocateAddress(), "body");
  BOOST_REQUIRE(
      runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
  BOOST_CHECK(*Result->CallResult == Http1CallResult::NotSent);
  BOOST_TEST(!Result->Sent);
}

BOOST_AUTO_TEST_CASE(ReusesConnectionAndSkipsForeignResponse) {
  const auto Loop = createLoop();
  const std::string Second =
      "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo";
  // The second request is first answered with a repeat of the first response.
  RawServer Server(
      *Loop,
      {{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"},
       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none" + Second},
       {Second}});
  Http1Client Client(*Loop);
  const auto First = call(Client, Server.address(), "a", "1");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return First->CallResult.has_value(); }));
  const auto Next = call(Client, Server.address(), "b", "2");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Next->CallResult.has_value(); }));
  BOOST_TEST(Next->Body == "two");
  BOOST_TEST(Server.connections() == 1u);
  // A connection that carried a foreign response is not reused.
  const auto Last = call(Client, Server.address(), "c", "2");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Last->CallResult.has_value(); }));
  BOOST_TEST(Server.connections() == 2u);
}

// Guards against BUDGET: a server asks for rest while a request for it waits
// for its connection.
BOOST_AUTO_TEST_CASE(AWithheldRequestIsNotWritten) {
  const auto Loop = createLoop();
  RawServer Server(*Loop, {{CompleteResponse}, {CompleteResponse}});
  Http1Client Client(*Loop);
  int Asked = 0;
  // Allowed when the connection is opened, and no more when it is open.
  const auto First = call(Client, Server.address(), "a", "1",
                          [&Asked] { return ++Asked == 1; });
  BOOST_REQUIRE(runUntil(*Loop, [&] { return First->CallResult.has_value(); }));
  BOOST_CHECK(*First->CallResult == Http1CallResult::Withheld);
  BOOST_TEST(!First->Sent);
  BOOST_TEST(Asked == 2);
  // On an idle connection, which stays usable.
  const auto Second = call(Client, Server.address(), "b");
  BOOST_REQUIRE(
      runUntil(*Loop, [&] { return Second->CallResult.has_value(); }));
  const std::size_t Connections = Server.connections();
  const auto Third =
      call(Client, Server.address(), "c", "1", [] { return false; });
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Third->CallResult.has_value(); }));
  BOOST_CHECK(*Third->CallResult == Http1CallResult::Withheld);
  const auto Fourth = call(Client, Server.address(), "d");
  BOOST_REQUIRE(
      runUntil(*Loop, [&] { return Fourth->CallResult.has_value(); }));
  BOOST_CHECK(*Fourth->CallResult == Http1CallResult::Complete);
  BOOST_TEST(Server.connections() == Connections);
}

/// Sends a request that its response names by CorrelationId, and returns its
/// connection.
ConnectionUse sendNamed(EventLoop &Loop, Http1Client &Client, const Address &To,
                        const std::string &CorrelationId,
                        Common::Duration MaxReuseIdleTime = 3s) {
  ConnectionUse Connection;
  bool Done = false;
  Http1Call Request;
  Request.To = To;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.CorrelationId = CorrelationId;
  Request.MaxReuseIdleTime = MaxReuseIdleTime;
  Http1Client::CallPtr Call;
  Http1CallHandlers Handlers;
  Handlers.OnSent = [&] { Connection = Http1Client::connectionUse(Call); };
  Handlers.OnHead = [](const Http1Head &) { return true; };
  Handlers.OnDone = [&](Http1CallResult) { Done = true; };
  Call = Client.start(std::move(Request), std::move(Handlers));
  BOOST_REQUIRE(runUntil(Loop, [&] { return Done; }));
  return Connection;
}

// Guards against BUDGET and TWICE: a request that is sent again on a connection
// that has carried it cannot be told from its first send by the id in a
// response, so a late copy of a refusal ends the second send.
BOOST_AUTO_TEST_CASE(AConnectionCarriesACorrelationIdOnce) {
  const auto Loop = createLoop();
  RawServer Server(*Loop, std::vector<RawServer::Step>(8, {CompleteResponse}));
  Http1Client Client(*Loop);
  const auto Send = [&](const std::string &CorrelationId) {
    return sendNamed(*Loop, Client, Server.address(), CorrelationId);
  };
  BOOST_TEST(Send("a").Connection == 1u);
  BOOST_TEST(Send("b").Connection == 1u);
  BOOST_TEST(Send("a").Connection == 2u);
  BOOST_TEST(Send("b").Connection == 2u);
  // Both have carried it.
  BOOST_TEST(Send("a").Connection == 3u);
  BOOST_TEST(Send("c").Connection == 3u);
  // A connection that was passed over stays in the pool.
  const ConnectionUse Last = Send("c");
  BOOST_TEST(Last.Connection == 2u);
  BOOST_TEST(Last.Use == 3u);
  BOOST_TEST(Server.connections() == 3u);
}

// A connection whose history is full is replaced, and does not forget.
BOOST_AUTO_TEST_CASE(AConnectionIsReplacedOnceItsHistoryIsFull) {
  const auto Loop = createLoop();
  constexpr std::size_t Requests = CorrelationHistory::MaxIds + 1;
  RawServer Server(*Loop,
                   std::vector<RawServer::Step>(Requests, {CompleteResponse}));
  Http1Client Client(*Loop);
  for (std::size_t I = 0; I < Requests; ++I) {
    BOOST_REQUIRE(Server.connections() == (I == 0 ? 0u : 1u));
    sendNamed(*Loop, Client, Server.address(), std::to_string(I));
  }
  BOOST_TEST(Server.connections() == 2u);
}

// Guards against needless connections: a request that needs a fresher
// connection closes those that others may still use.
BOOST_AUTO_TEST_CASE(AConnectionThatIsTooIdleForOneRequestStaysForOthers) {
  const auto Loop = createLoop();
  RawServer Server(*Loop, std::vector<RawServer::Step>(3, {CompleteResponse}));
  Http1Client Client(*Loop);
  sendNamed(*Loop, Client, Server.address(), "a");
  BOOST_TEST(sendNamed(*Loop, Client, Server.address(), "b", 0s).Connection ==
             2u);
  BOOST_TEST(sendNamed(*Loop, Client, Server.address(), "b").Connection == 1u);
}

// Guards against TWICE: a refusal that was cut off within its head joins the
// true answer behind it, and the head of both passes for a refusal.
BOOST_AUTO_TEST_CASE(AHeadThatHoldsAnotherOneIsMalformed) {
  const std::string True =
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string Cut :
       {"HTTP/1.1 421 Misd", "HTTP/1.1 503 Busy\r\nNot-Executed: fu",
        "HTTP/1.1 503 Busy\r\nNot-Executed: full\r\nRetry-After: 1"}) {
    const auto Loop = createLoop();
    RawServer Server(*Loop, {{Cut + True}});
    Http1Client Client(*Loop);
    const auto Result = call(Client, Server.address());
    BOOST_REQUIRE(
        runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
    BOOST_TEST_CONTEXT(Cut) {
      BOOST_CHECK(*Result->CallResult == Http1CallResult::Malformed);
      BOOST_TEST(Result->Status == 0);
    }
  }
}

// Guards against a conclusion from a head beyond the limit, whose end comes
// together with the bytes that exceed it.
BOOST_AUTO_TEST_CASE(AHeadBeyondTheLimitIsMalformed) {
  constexpr std::size_t MaxHeadBytes = 64u << 10;
  for (std::size_t Beyond = 0; Beyond < 4096; Beyond += 256) {
    const auto Loop = createLoop();
    RawServer Server(*Loop, {{"HTTP/1.1 503 Busy\r\nNot-Executed: full\r\nA: " +
                              std::string(MaxHeadBytes + Beyond, 'a') +
                              "\r\nContent-Length: 0\r\n\r\n"}});
    Http1Client Client(*Loop);
    const auto Result = call(Client, Server.address());
    BOOST_REQUIRE(
        runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
    BOOST_CHECK(*Result->CallResult == Http1CallResult::Malformed);
    BOOST_TEST(Result->Status == 0, Beyond << " bytes");
  }
}

BOOST_AUTO_TEST_CASE(DoesNotReuseConnectionAfterTrailingBytes) {
  const auto Loop = createLoop();
  RawServer Server(*Loop, {{CompleteResponse + "junk"}, {CompleteResponse}});
  Http1Client Client(*Loop);
  for (int I = 0; I < 2; ++I) {
    const auto Result = call(Client, Server.address());
    BOOST_REQUIRE(
        runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
    BOOST_TEST(Result->Body == "ok");
  }
  BOOST_TEST(Server.connections() == 2u);
}

BOOST_AUTO_TEST_CASE(DoesNotReuseConnectionAfterEarlyResponse) {
  const auto Loop = createLoop();
  RawServer::Step EarlyResponse;
  EarlyResponse.Write = "HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n";
  EarlyResponse.BeforeBody = true;
  RawServer Server(*Loop, {EarlyResponse, {CompleteResponse}});
  Http1Client Client(*Loop);
  // Larger than the socket buffers.
  const auto First =
      call(Client, Server.address(), std::string(16u << 20, 'b'));
  BOOST_REQUIRE(runUntil(*Loop, [&] { return First->CallResult.has_value(); }));
  BOOST_TEST(First->Status == 413);
  const auto Next = call(Client, Server.address(), "small");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Next->CallResult.has_value(); }));
  BOOST_TEST(Next->Status == 200);
  BOOST_TEST(Server.connections() == 2u);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidRequests) {
  struct Case {
    const char *Description;
    std::string Bytes;
    const char *ExpectedStart;
  };
  const std::vector<Case> Cases = {
      {"malformed request", "nonsense\r\n\r\n", "HTTP/1.1 400"},
      {"two Content-Length headers",
       "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
       "HTTP/1.1 400"},
      {"headers too large",
       "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(70'000, 'a'),
       "HTTP/1.1 431"},
      {"body too large",
       "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\nab",
       "HTTP/1.1 413"},
      {"incomplete head", "GET / HTTP/1.1\r\nHost:", "HTTP/1.1 408"}};
  for (const Case &Each : Cases) {
    const auto Loop = createLoop();
    int RejectedCount = 0;
    int HandledCount = 0;
    Http1Server::Handlers Handlers;
    Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &) {
      ++HandledCount;
    };
    Handlers.OnRejected = [&](Http1Server::Rejection) { ++RejectedCount; };
    const Address Listen = allocateAddress();
    auto Server = Http1Server::create(*Loop, Listen, std::move(Handlers));
    BOOST_REQUIRE(Server.ok());
    Http1Server::Limits Limits;
    Limits.HeaderTimeout = 100ms;
    (*Server)->setLimits(Limits);
    RawCaller Caller(*Loop, Listen);
    Caller.write(Each.Bytes);
    BOOST_TEST_CONTEXT(Each.Description) {
      BOOST_TEST(runUntil(*Loop, [&] { return Caller.ended(); }));
      BOOST_TEST(Caller.received().substr(0, 12) == Each.ExpectedStart);
      BOOST_TEST(RejectedCount == 1);
      BOOST_TEST(HandledCount == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(ASmuggledRequestStaysInsideTheBody) {
  const auto Loop = createLoop();
  std::vector<std::string> Received;
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Received.push_back(Exchange->path() + "|" + Exchange->body());
    Exchange->reply(200, {}, "");
  };
  const Address Listen = allocateAddress();
  auto Server = Http1Server::create(*Loop, Listen, std::move(Handlers));
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, Listen);
  const std::string Inner = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";
  Caller.write("POST /outer HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(Inner.size()) + "\r\n\r\n" + Inner +
               "GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Received.size() == 2; }));
  BOOST_TEST(Received[0] == "/outer|" + Inner);
  BOOST_TEST(Received[1] == "/next|");
}

// Guards against work for callers that have left. An end of file counts as
// leaving, as a caller that has closed its socket can't be told from one that
// only stops sending.
BOOST_AUTO_TEST_CASE(DetectsDisconnectOfWaitingCaller) {
  for (const bool HalfClose : {false, true}) {
    const auto Loop = createLoop();
    bool Disconnected = false;
    std::shared_ptr<Http1Exchange> Pending;
    Http1Server::Handlers Handlers;
    Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
      Pending = Exchange;
      Exchange->onCallerDisconnected([&] { Disconnected = true; });
    };
    const Address Listen = allocateAddress();
    const auto Server = createServer(*Loop, Listen, std::move(Handlers));
    RawCaller Caller(*Loop, Listen);
    Caller.write(SimpleRequest);
    BOOST_REQUIRE(runUntil(*Loop, [&] { return Pending != nullptr; }));
    BOOST_TEST_CONTEXT((HalfClose ? "half-close" : "close")) {
      if (HalfClose)
        Caller.endWriting();
      else
        Caller.close();
      BOOST_TEST(runUntil(*Loop, [&] { return Disconnected; }));
      BOOST_TEST(!Pending->isOpen());
      BOOST_TEST(Server->openExchanges() == 0u);
    }
  }
}

// Guards against a connection that stays unread after input beyond the limit
// has been buffered behind a request in progress.
BOOST_AUTO_TEST_CASE(ReadsLargeRequestBehindRequestInProgress) {
  const auto Loop = createLoop();
  std::vector<std::shared_ptr<Http1Exchange>> Exchanges;
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchanges.push_back(Exchange);
  };
  const Address Listen = allocateAddress();
  const auto Server = createServer(*Loop, Listen, std::move(Handlers));
  RawCaller Caller(*Loop, Listen);
  const std::string Body(300u << 10, 'x');
  Caller.write(SimpleRequest);
  BOOST_REQUIRE(runUntil(*Loop, [&] { return !Exchanges.empty(); }));
  Caller.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body);
  // While other connections are served, the input arrives up to the limit.
  std::vector<std::unique_ptr<RawCaller>> Others;
  while (Others.size() < 40) {
    Others.push_back(std::make_unique<RawCaller>(*Loop, Listen));
    BOOST_REQUIRE(runUntil(
        *Loop, [&] { return Server->connections() == 1 + Others.size(); }));
  }
  Exchanges[0]->reply(200, {}, "first");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Exchanges.size() == 2; }));
  BOOST_TEST(Exchanges[1]->body().size() == Body.size());
  Exchanges[1]->reply(200, {}, "second");
  BOOST_TEST(runUntil(*Loop, [&] {
    return Caller.received().find("second") != std::string::npos;
  }));
}

// A process that stops once no exchange is open must not cut off a response
// that a slow caller has not received yet (halonen-polkky-large, scale-2: a
// stream lost its end during a planned stop).
BOOST_AUTO_TEST_CASE(ExchangeIsOpenUntilItsResponseIsWritten) {
  const auto Loop = createLoop();
  std::size_t OpenAfterReply = 0;
  const std::string LargeBody(8u << 20, 'x');
  std::unique_ptr<Http1Server> Server;
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->reply(200, {}, LargeBody);
    OpenAfterReply = Server->openExchanges();
  };
  const Address Listen = allocateAddress();
  auto Created = Http1Server::create(*Loop, Listen, std::move(Handlers));
  BOOST_REQUIRE(Created.ok());
  Server = std::move(*Created);
  RawCaller Caller(*Loop, Listen);
  Caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(
      *Loop, [&] { return Caller.received().size() > LargeBody.size(); }));
  BOOST_TEST(OpenAfterReply == 1u);
  BOOST_TEST(runUntil(*Loop, [&] { return Server->openExchanges() == 0; }));
}

// A request that has arrived in part is answered before a planned stop.
BOOST_AUTO_TEST_CASE(ExchangeIsOpenWhileItsRequestArrives) {
  const auto Loop = createLoop();
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->reply(200, {}, "ok");
  };
  const Address Listen = allocateAddress();
  auto Server = Http1Server::create(*Loop, Listen, std::move(Handlers));
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, Listen);
  Caller.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab");
  BOOST_TEST(awaitOtherAnswer(*Loop, Listen));
  BOOST_TEST((*Server)->openExchanges() == 1u);
  Caller.write("cd");
  BOOST_TEST(runUntil(*Loop, [&] { return !Caller.received().empty(); }));
  BOOST_TEST(runUntil(*Loop, [&] { return (*Server)->openExchanges() == 0; }));
}

// Guards against a planned stop that closes a connection whose request has
// arrived in the socket and is not read.
BOOST_AUTO_TEST_CASE(ExchangeIsOpenOnceItsRequestHasArrived) {
  const auto Loop = createLoop();
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->reply(200, {}, "ok");
  };
  const Address Listen = allocateAddress();
  const auto Server = createServer(*Loop, Listen, std::move(Handlers));
  RawCaller Caller(*Loop, Listen);
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Server->connections() == 1; }));
  BOOST_TEST(Server->openExchanges() == 0u);
  Caller.write(SimpleRequest);
  BOOST_TEST(Server->openExchanges() == 1u);
  BOOST_TEST(runUntil(*Loop, [&] { return Server->openExchanges() == 0; }));
  BOOST_TEST(runUntil(*Loop, [&] { return !Caller.received().empty(); }));
}

// Guards against bytes of a stream that the caller takes for the start of its
// next response.
BOOST_AUTO_TEST_CASE(StreamInResponseToHeadHasNoBody) {
  const auto Loop = createLoop();
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->startStream(200, {});
    Exchange->sendChunk("part");
    Exchange->endStream();
  };
  const Address Listen = allocateAddress();
  auto Server = Http1Server::create(*Loop, Listen, std::move(Handlers));
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, Listen);
  Caller.write("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n"
               "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Caller.ended(); }));
  const std::string &Received = Caller.received();
  const std::size_t HeadEnd = Received.find("\r\n\r\n");
  BOOST_REQUIRE(HeadEnd != std::string::npos);
  BOOST_TEST(Received.substr(HeadEnd + 4, 12) == "HTTP/1.1 200");
  BOOST_TEST(Received.find("part") == Received.rfind("part"));
}

// Guards against a head that is none being written to a caller, whatever a
// server or the journal has handed over.
BOOST_AUTO_TEST_CASE(WritesNoHeadThatIsNone) {
  struct Case {
    int Status;
    HttpHeaders Headers;
  };
  const std::vector<Case> Cases = {{0, {}},
                                   {99, {}},
                                   {100, {}},
                                   {600, {}},
                                   {200, {{"X Odd", "1"}}},
                                   {200, {{"", "1"}}},
                                   {200, {{"X-Odd", "1\r\nX-More: 2"}}}};
  for (const Case &Each : Cases)
    for (const bool Stream : {false, true}) {
      const auto Loop = createLoop();
      Http1Server::Handlers Handlers;
      Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
        if (Exchange->path() == "/sound") {
          Exchange->reply(200, {{"X-Odd", "1"}}, "sound");
          return;
        }
        if (!Stream) {
          Exchange->reply(Each.Status, Each.Headers, "broken");
          return;
        }
        Exchange->startStream(Each.Status, Each.Headers);
        Exchange->sendChunk("broken");
        Exchange->endStream();
      };
      const Address Listen = allocateAddress();
      const auto Server = createServer(*Loop, Listen, std::move(Handlers));
      RawCaller Caller(*Loop, Listen);
      Caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n"
                   "GET /sound HTTP/1.1\r\nHost: x\r\n\r\n");
      BOOST_REQUIRE(runUntil(*Loop, [&] {
        return Caller.received().find("sound") != std::string::npos;
      }));
      BOOST_TEST(Caller.received() ==
                 "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
                 "HTTP/1.1 200 OK\r\nX-Odd: 1\r\nContent-Length: "
                 "5\r\n\r\nsound");
    }
}

BOOST_AUTO_TEST_CASE(AbortedStreamIsIncomplete) {
  const auto Loop = createLoop();
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->startStream(200, {});
    Exchange->sendChunk("part");
    Exchange->abort();
  };
  const Address Listen = allocateAddress();
  auto Server = Http1Server::create(*Loop, Listen, std::move(Handlers));
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, Listen);
  Caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Caller.ended(); }));
  BOOST_TEST(Caller.received().find("part") != std::string::npos);
  BOOST_TEST(Caller.received().find("0\r\n\r\n") == std::string::npos);
}

// Guards against an idle timeout that cuts off a response which a slow caller
// is still receiving, after a shorter timeout was declared or at a planned
// stop.
BOOST_AUTO_TEST_CASE(IdleTimeRunsFromTheWrittenResponse) {
  const std::string LargeBody(16u << 20, 'x');
  for (const bool ShutDown : {false, true}) {
    const auto Loop = createLoop();
    Http1Server::Handlers Handlers;
    Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
      Exchange->reply(200, {}, LargeBody);
    };
    const Address Listen = allocateAddress();
    const auto Server = createServer(*Loop, Listen, std::move(Handlers));
    RawCaller Caller(*Loop, Listen);
    Caller.write(SimpleRequest);
    BOOST_REQUIRE(runUntil(*Loop, [&] { return !Caller.received().empty(); }));
    Caller.pauseReading();
    if (ShutDown) {
      Server->startShutdown(400ms);
    } else {
      Http1Server::Limits Limits;
      Limits.IdleTimeout = 400ms;
      Server->setLimits(Limits);
    }
    BOOST_REQUIRE(awaitIdleExpiry(*Loop, Listen));
    Caller.resumeReading();
    BOOST_TEST_CONTEXT((ShutDown ? "planned stop" : "new idle timeout")) {
      BOOST_TEST(runUntil(*Loop, [&] {
        return Caller.received().size() > LargeBody.size() || Caller.ended();
      }));
      BOOST_TEST(Caller.received().size() > LargeBody.size());
      BOOST_TEST(!Caller.ended());
      BOOST_TEST(runUntil(*Loop, [&] { return Caller.ended(); }));
    }
  }
}

// Guards against a connection that stays forever because its caller reads
// nothing.
BOOST_AUTO_TEST_CASE(ClosesConnectionOfCallerThatDoesNotRead) {
  for (const char *Header : {"", "Connection: close\r\n"}) {
    const auto Loop = createLoop();
    std::vector<Http1Server::ClosedConnection> Closed;
    Http1Server::Handlers Handlers;
    Handlers.OnRequest = [](const std::shared_ptr<Http1Exchange> &Exchange) {
      Exchange->reply(200, {}, std::string(16u << 20, 'x'));
    };
    Handlers.OnClosed = [&](const Http1Server::ClosedConnection &Each) {
      Closed.push_back(Each);
    };
    const Address Listen = allocateAddress();
    const auto Server = createServer(*Loop, Listen, std::move(Handlers));
    Http1Server::Limits Limits;
    Limits.SendTimeout = 100ms;
    Server->setLimits(Limits);
    RawCaller Caller(*Loop, Listen);
    Caller.pauseReading();
    Caller.write(std::string("GET / HTTP/1.1\r\nHost: x\r\n") + Header +
                 "\r\n");
    BOOST_REQUIRE(runUntil(*Loop, [&] { return !Closed.empty(); }));
    BOOST_CHECK(Closed[0].Reason == Http1Server::Closure::Expired);
    BOOST_TEST(Closed[0].UnsentBytes != 0u);
    BOOST_TEST(Closed[0].Unfinished);
  }
}

// Guards against a send timeout that cuts off a caller which reads slowly.
BOOST_AUTO_TEST_CASE(KeepsConnectionOfCallerThatReadsSlowly) {
  const auto Loop = createLoop();
  const std::string LargeBody(40u << 20, 'x');
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->reply(200, {}, LargeBody);
  };
  const Address Listen = allocateAddress();
  const auto Server = createServer(*Loop, Listen, std::move(Handlers));
  Http1Server::Limits Limits;
  Limits.SendTimeout = 700ms;
  Server->setLimits(Limits);
  RawCaller Caller(*Loop, Listen);
  Caller.write(SimpleRequest);
  // Reads a part of the response at a time, for twice the timeout.
  const Common::TimePoint Start = Loop->now();
  std::size_t ReceivedBefore = 0;
  EventHandle Resume;
  const auto ReadPart = [&] {
    if (Caller.received().size() - ReceivedBefore < (4u << 20) ||
        Loop->now() - Start > 2 * Limits.SendTimeout)
      return;
    ReceivedBefore = Caller.received().size();
    Caller.pauseReading();
    Resume = Loop->callAfter(200ms, [&] { Caller.resumeReading(); });
  };
  BOOST_TEST(runUntil(*Loop, [&] {
    ReadPart();
    return Caller.received().size() > LargeBody.size() || Caller.ended();
  }));
  BOOST_TEST(Caller.received().size() > LargeBody.size());
  BOOST_TEST((Loop->now() - Start > 2 * Limits.SendTimeout));
}

// Guards against a request that is read and never answered, because it follows
// a stream which began before a planned stop and ends after it.
BOOST_AUTO_TEST_CASE(AnswersRequestBehindStreamThatDidNotAnnounceTheClose) {
  enum class Sent { BeforeStreamEnd, WithStreamEnd, Never };
  for (const Sent Next :
       {Sent::BeforeStreamEnd, Sent::WithStreamEnd, Sent::Never}) {
    const auto Loop = createLoop();
    std::vector<std::shared_ptr<Http1Exchange>> Exchanges;
    Http1Server::Handlers Handlers;
    Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
      Exchanges.push_back(Exchange);
      if (Exchanges.size() == 1)
        Exchange->startStream(200, {});
      else
        Exchange->reply(200, {}, "second");
    };
    const Address Listen = allocateAddress();
    const auto Server = createServer(*Loop, Listen, std::move(Handlers));
    RawCaller Caller(*Loop, Listen);
    Caller.write(SimpleRequest);
    // The last request follows a response that announces the close.
    if (Next == Sent::BeforeStreamEnd)
      Caller.write(SimpleRequest + SimpleRequest);
    BOOST_REQUIRE(runUntil(*Loop, [&] { return !Caller.received().empty(); }));
    Server->startShutdown(10s);
    Exchanges[0]->endStream();
    if (Next == Sent::WithStreamEnd)
      Caller.write(SimpleRequest);
    BOOST_REQUIRE(runUntil(*Loop, [&] { return Caller.ended(); }));
    const std::size_t FirstSize = Caller.received().find("0\r\n\r\n") + 5;
    const std::string First = Caller.received().substr(0, FirstSize);
    const std::string Second = Caller.received().substr(FirstSize);
    BOOST_TEST_CONTEXT("case " << static_cast<int>(Next)) {
      BOOST_TEST(First.find("Connection: close") == std::string::npos);
      BOOST_TEST(Exchanges.size() == (Next == Sent::Never ? 1u : 2u));
      BOOST_TEST(Second.empty() == (Next == Sent::Never));
      if (Next != Sent::Never) {
        BOOST_TEST(Second.find("Connection: close") != std::string::npos);
        BOOST_TEST(Second.find("\r\n\r\nsecond") != std::string::npos);
      }
    }
  }
}

// Guards against a reset that discards a response which is written but has not
// arrived: closing a socket with unread input resets the connection.
BOOST_AUTO_TEST_CASE(ClosesWithoutResetIfInputArrivedWithTheResponse) {
  // Larger than the receive buffer, and small enough for a single write.
  const std::string Body(15u << 10, 'x');
  for (const bool Abort : {false, true}) {
    const auto Loop = createLoop();
    std::shared_ptr<Http1Exchange> Exchange;
    std::vector<Http1Server::ClosedConnection> Closed;
    Http1Server::Handlers Handlers;
    Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Received) {
      Exchange = Received;
    };
    Handlers.OnClosed = [&](const Http1Server::ClosedConnection &Each) {
      Closed.push_back(Each);
    };
    const Address Listen = allocateAddress();
    const auto Server = createServer(*Loop, Listen, std::move(Handlers));
    RawCaller Caller(*Loop, Listen, 4096);
    Caller.pauseReading();
    Caller.write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    BOOST_REQUIRE(runUntil(*Loop, [&] { return Exchange != nullptr; }));
    if (Abort) {
      Exchange->startStream(200, {});
      Exchange->sendChunk(Body);
      BOOST_REQUIRE(
          runUntil(*Loop, [&] { return Exchange->unsentBytes() == 0; }));
      Caller.write(SimpleRequest);
      Exchange->abort();
    } else {
      // The descriptor of the connection must not be first among the ready
      // ones, so that the input arrives between the check for input and the
      // write.
      Loop->runOnce(1ms);
      int Pipe[2] = {};
      BOOST_REQUIRE(pipe(Pipe) == 0);
      BOOST_REQUIRE(write(Pipe[1], "x", 1) == 1);
      bool Written = false;
      EventHandle BeforeResponse = Loop->onReadable(Pipe[0], [&] {
        if (!Written)
          Caller.write(SimpleRequest);
        Written = true;
      });
      Exchange->reply(200, {}, Body);
      BOOST_REQUIRE(runUntil(*Loop, [&] { return Written; }));
      BeforeResponse.cancel();
      ::close(Pipe[0]);
      ::close(Pipe[1]);
    }
    Caller.resumeReading();
    BOOST_TEST_CONTEXT((Abort ? "aborted stream" : "complete response")) {
      BOOST_TEST(runUntil(*Loop, [&] { return Caller.ended(); }));
      BOOST_TEST(Caller.received().size() > Body.size());
      BOOST_TEST(
          (Caller.received().find("\r\n0\r\n\r\n") == std::string::npos));
      // The server stops to linger when the caller closes.
      Caller.close();
      BOOST_TEST(runUntil(*Loop, [&] { return !Closed.empty(); }));
      BOOST_TEST(!Closed[0].HasUnreadInput);
      BOOST_CHECK(Closed[0].Reason == (Abort ? Http1Server::Closure::Aborted
                                             : Http1Server::Closure::Complete));
    }
  }
}

// Guards against a connection that is closed as idle at the moment when its
// next request arrives.
BOOST_AUTO_TEST_CASE(ServesRequestThatArrivesWhenTheIdleTimeEnds) {
  const auto Loop = createLoop();
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->reply(200, {}, "answer");
  };
  const Address Listen = allocateAddress();
  const auto Server = createServer(*Loop, Listen, std::move(Handlers));
  Http1Server::Limits Limits;
  Limits.IdleTimeout = 100ms;
  Server->setLimits(Limits);
  RawCaller Caller(*Loop, Listen);
  Caller.write(SimpleRequest);
  BOOST_REQUIRE(runUntil(*Loop, [&] { return !Caller.received().empty(); }));
  const std::size_t FirstSize = Caller.received().size();
  // A process that is held up handles both timers in one pass: the request
  // arrives after the loop has looked for input and before the expiry check.
  const EventHandle Request =
      Loop->callAfter(0ms, [&] { Caller.write(SimpleRequest); });
  const Common::TimePoint ExpiryDue = Loop->now() + 600ms;
  while (Loop->now() < ExpiryDue)
    std::this_thread::yield();
  BOOST_TEST(runUntil(*Loop, [&] {
    return Caller.received().size() == 2 * FirstSize || Caller.ended();
  }));
  BOOST_TEST(Caller.received().size() == 2 * FirstSize);
}

// Guards against a kept connection whose requests are held to limits that are
// no longer in force.
BOOST_AUTO_TEST_CASE(NewLimitsApplyToTheNextRequestOfAConnection) {
  const auto Loop = createLoop();
  std::vector<std::string> Bodies;
  Http1Server::Handlers Handlers;
  Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    if (!Exchange->body().empty())
      Bodies.push_back(Exchange->body());
    Exchange->reply(200, {}, "ok");
  };
  const Address Listen = allocateAddress();
  const auto Server = createServer(*Loop, Listen, std::move(Handlers));
  Http1Server::Limits Limits;
  Limits.MaxBodyBytes = 4;
  Server->setLimits(Limits);
  RawCaller Caller(*Loop, Listen);
  const auto Request = [](const std::string &Body) {
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  };
  const auto Answered = [&](std::size_t Count) {
    return runUntil(*Loop,
                    [&] { return Bodies.size() == Count || Caller.ended(); }) &&
           !Caller.ended();
  };
  Caller.write(Request("four"));
  BOOST_REQUIRE(Answered(1));
  Limits.MaxBodyBytes = 8;
  Server->setLimits(Limits);
  // A request keeps the limits with which it began.
  const std::string Second = Request("new body");
  Caller.write(Second.substr(0, Second.size() - 1));
  BOOST_REQUIRE(awaitOtherAnswer(*Loop, Listen));
  Limits.MaxBodyBytes = 4;
  Server->setLimits(Limits);
  Caller.write(Second.substr(Second.size() - 1));
  BOOST_TEST(Answered(2));
  Caller.write(Request("new body"));
  BOOST_TEST(runUntil(*Loop, [&] { return Caller.ended(); }));
  BOOST_TEST(Caller.received().find("HTTP/1.1 413") != std::string::npos);
  BOOST_TEST(Bodies.size() == 2u);
}

// Guards against aborted responses that the log and the counters leave out.
BOOST_AUTO_TEST_CASE(ReportsAbortedExchangeAsUnfinished) {
  for (const bool Streaming : {false, true}) {
    const auto Loop = createLoop();
    std::vector<Http1Server::ClosedConnection> Closed;
    Http1Server::Handlers Handlers;
    Handlers.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
      if (Streaming) {
        Exchange->startStream(200, {});
        Exchange->sendChunk("part");
      }
      Exchange->abort();
    };
    Handlers.OnClosed = [&](const Http1Server::ClosedConnection &Each) {
      Closed.push_back(Each);
    };
    const Address Listen = allocateAddress();
    const auto Server = createServer(*Loop, Listen, std::move(Handlers));
    RawCaller Caller(*Loop, Listen);
    Caller.write(SimpleRequest);
    BOOST_REQUIRE(runUntil(*Loop, [&] { return !Closed.empty(); }));
    BOOST_CHECK(Closed[0].Reason == Http1Server::Closure::Aborted);
    BOOST_REQUIRE(Closed[0].Unfinished);
    BOOST_TEST(Closed[0].Unfinished->isStreaming() == Streaming);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
