#include "Network/Http1Client.h"
#include "Network/Http1Server.h"
#include "Network/RawPeer.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace UnitTests {

namespace {

using namespace Network;
using namespace std::chrono_literals;

std::unique_ptr<EventLoop> freshLoop() {
  auto Loop = EventLoop::create();
  BOOST_REQUIRE(Loop.ok());
  return std::move(*Loop);
}

struct Outcome {
  std::optional<CallEnd> End;
  int Status = 0;
  std::string Body;
  bool Sent = false;
};

/// Makes one call that accepts answers which name Id.
std::shared_ptr<Outcome> call(Http1Client &Client, const Address &To,
                              std::string Body = "",
                              const std::string &Id = "1") {
  auto Result = std::make_shared<Outcome>();
  Http1Call Wanted;
  Wanted.To = To;
  Wanted.Method = "POST";
  Wanted.Target = "/x";
  Wanted.Headers = {{"Host", "h"}};
  Wanted.Body = std::move(Body);
  Wanted.Silence = 400ms;
  Http1CallHandlers Handle;
  Handle.OnSent = [Result] { Result->Sent = true; };
  Handle.OnHead = [Result, Id](const Http1Head &Head) {
    if (findHeader(Head.Headers, "Id").value_or(Id) != Id)
      return false;
    Result->Status = Head.Status;
    return true;
  };
  Handle.OnBody = [Result](const std::string &Bytes) { Result->Body += Bytes; };
  Handle.OnDone = [Result](CallEnd End) { Result->End = End; };
  Client.start(std::move(Wanted), std::move(Handle));
  return Result;
}

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Row {
  const char *What;
  RawServer::Step Step;
  CallEnd End;
};

const std::vector<Row> Misdeeds = {
    {"a whole answer", {Whole}, CallEnd::Complete},
    {"no length, ended in an orderly way",
     {"HTTP/1.1 200 OK\r\n\r\nok", true},
     CallEnd::Complete},
    {"no length, ended by a reset",
     {"HTTP/1.1 200 OK\r\n\r\nok", false, true},
     CallEnd::Broken},
    {"ends early",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true},
     CallEnd::Broken},
    {"chunks without their end",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true},
     CallEnd::Broken},
    {"closes without an answer", {"", true}, CallEnd::Lost},
    {"resets without an answer", {"", false, true}, CallEnd::Lost},
    {"bytes that are no answer", {"hello\r\n\r\n", true}, CallEnd::Lost},
    {"silence", {""}, CallEnd::Lost},
    {"an interim answer first",
     {"HTTP/1.1 100 Continue\r\n\r\n" + Whole},
     CallEnd::Complete},
    {"two lengths",
     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
     CallEnd::Lost}};

} // namespace

BOOST_AUTO_TEST_SUITE(Http1Contract)

BOOST_AUTO_TEST_CASE(EachEndOfACallIsToldApart) {
  for (const Row &Each : Misdeeds) {
    const auto Loop = freshLoop();
    RawServer Server(*Loop, {Each.Step});
    Http1Client Client(*Loop);
    const auto Result = call(Client, Server.address(), "body");
    BOOST_TEST_CONTEXT(Each.What) {
      BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->End.has_value(); }));
      BOOST_CHECK(*Result->End == Each.End);
      // Whatever happens, a request is sent once.
      BOOST_TEST(Server.requests().size() == 1u);
      if (Each.End == CallEnd::Complete)
        BOOST_TEST(Result->Body == "ok");
    }
  }
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionProvesThatNothingWasSent) {
  const auto Loop = freshLoop();
  Http1Client Client(*Loop);
  const auto Result = call(Client, freshAddress(), "body");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->End.has_value(); }));
  BOOST_CHECK(*Result->End == CallEnd::NotSent);
  BOOST_TEST(!Result->Sent);
}

BOOST_AUTO_TEST_CASE(AConnectionIsKeptAndALateAnswerIsSkipped) {
  const auto Loop = freshLoop();
  const std::string Second =
      "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo";
  // The answer to the first request comes again in place of the second's.
  RawServer Server(
      *Loop,
      {{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"},
       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none" + Second},
       {Second}});
  Http1Client Client(*Loop);
  const auto First = call(Client, Server.address(), "a", "1");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return First->End.has_value(); }));
  const auto Next = call(Client, Server.address(), "b", "2");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Next->End.has_value(); }));
  BOOST_TEST(Next->Body == "two");
  BOOST_TEST(Server.connections() == 1u);
  // After such an answer the connection is not used again.
  const auto Last = call(Client, Server.address(), "c", "2");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Last->End.has_value(); }));
  BOOST_TEST(Server.connections() == 2u);
}

BOOST_AUTO_TEST_CASE(BytesBehindAnAnswerEndItsConnection) {
  const auto Loop = freshLoop();
  RawServer Server(*Loop, {{Whole + "junk"}, {Whole}});
  Http1Client Client(*Loop);
  for (int I = 0; I < 2; ++I) {
    const auto Result = call(Client, Server.address());
    BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->End.has_value(); }));
    BOOST_TEST(Result->Body == "ok");
  }
  BOOST_TEST(Server.connections() == 2u);
}

BOOST_AUTO_TEST_CASE(AnAnswerBeforeTheBodyWasReadEndsItsConnection) {
  const auto Loop = freshLoop();
  RawServer::Step Early;
  Early.Write = "HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n";
  Early.Early = true;
  RawServer Server(*Loop, {Early, {Whole}});
  Http1Client Client(*Loop);
  // Larger than what the sockets hold.
  const auto First =
      call(Client, Server.address(), std::string(16u << 20, 'b'));
  BOOST_REQUIRE(runUntil(*Loop, [&] { return First->End.has_value(); }));
  BOOST_TEST(First->Status == 413);
  const auto Next = call(Client, Server.address(), "small");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Next->End.has_value(); }));
  BOOST_TEST(Next->Status == 200);
  BOOST_TEST(Server.connections() == 2u);
}

BOOST_AUTO_TEST_CASE(CallersThatMisbehaveAreRejectedAndCounted) {
  struct Case {
    const char *What;
    std::string Bytes;
    const char *Answer;
  };
  const std::vector<Case> Cases = {
      {"malformed", "nonsense\r\n\r\n", "HTTP/1.1 400"},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
       "HTTP/1.1 400"},
      {"large headers",
       "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(70'000, 'a'),
       "HTTP/1.1 431"},
      {"a large body",
       "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\nab",
       "HTTP/1.1 413"},
      {"a head that does not end", "GET / HTTP/1.1\r\nHost:", "HTTP/1.1 408"}};
  for (const Case &Each : Cases) {
    const auto Loop = freshLoop();
    int Rejected = 0;
    int Handled = 0;
    Http1Server::Handlers Handle;
    Handle.OnRequest = [&](const std::shared_ptr<Http1Exchange> &) {
      ++Handled;
    };
    Handle.OnRejected = [&](Http1Server::Rejection) { ++Rejected; };
    const Address At = freshAddress();
    auto Server = Http1Server::create(*Loop, At, std::move(Handle));
    BOOST_REQUIRE(Server.ok());
    Http1Server::Limits Bounds;
    Bounds.HeaderTime = 100ms;
    (*Server)->setLimits(Bounds);
    RawCaller Caller(*Loop, At);
    Caller.write(Each.Bytes);
    BOOST_TEST_CONTEXT(Each.What) {
      BOOST_TEST(runUntil(*Loop, [&] { return Caller.ended(); }));
      BOOST_TEST(Caller.received().substr(0, 12) == Each.Answer);
      BOOST_TEST(Rejected == 1);
      BOOST_TEST(Handled == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(ASmuggledRequestStaysInsideTheBody) {
  const auto Loop = freshLoop();
  std::vector<std::string> Seen;
  Http1Server::Handlers Handle;
  Handle.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Seen.push_back(Exchange->path() + "|" + Exchange->body());
    Exchange->reply(200, {}, "");
  };
  const Address At = freshAddress();
  auto Server = Http1Server::create(*Loop, At, std::move(Handle));
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, At);
  const std::string Inner = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";
  Caller.write("POST /outer HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(Inner.size()) + "\r\n\r\n" + Inner +
               "GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Seen.size() == 2; }));
  BOOST_TEST(Seen[0] == "/outer|" + Inner);
  BOOST_TEST(Seen[1] == "/next|");
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesIsNoticedWhileItWaits) {
  const auto Loop = freshLoop();
  bool Gone = false;
  std::shared_ptr<Http1Exchange> Held;
  Http1Server::Handlers Handle;
  Handle.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Held = Exchange;
    Exchange->onCallerGone([&] { Gone = true; });
  };
  const Address At = freshAddress();
  auto Server = Http1Server::create(*Loop, At, std::move(Handle));
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, At);
  Caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Held != nullptr; }));
  Caller.close();
  BOOST_TEST(runUntil(*Loop, [&] { return Gone; }));
  BOOST_TEST(!Held->open());
  BOOST_TEST((*Server)->openExchanges() == 0u);
}

BOOST_AUTO_TEST_CASE(AnAbortedStreamDoesNotLookComplete) {
  const auto Loop = freshLoop();
  Http1Server::Handlers Handle;
  Handle.OnRequest = [&](const std::shared_ptr<Http1Exchange> &Exchange) {
    Exchange->startStream(200, {});
    Exchange->sendChunk("part");
    Exchange->abort();
  };
  const Address At = freshAddress();
  auto Server = Http1Server::create(*Loop, At, std::move(Handle));
  BOOST_REQUIRE(Server.ok());
  RawCaller Caller(*Loop, At);
  Caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Caller.ended(); }));
  BOOST_TEST(Caller.received().find("part") != std::string::npos);
  BOOST_TEST(Caller.received().find("0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
