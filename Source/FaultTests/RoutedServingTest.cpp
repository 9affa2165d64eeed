#include "FaultTests/RoutedCluster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

namespace FaultTests {

namespace {

constexpr const char *ReadPath = "/sycamorereach/config/read";
constexpr const char *ReplacePath = "/sycamorereach/config/replace";
constexpr const char *FirstEvent = "id: 1\ndata: a\n\n";
constexpr const char *SecondEvent = "id: 2\ndata: b\n\n";

/// Sends a stream to Fixture whose first server breaks off after FirstEvent;
/// Resume responds on the server that is asked to resume it. Returns the
/// caller's response.
RoutedResponse
breakAndResume(RoutedCluster &Fixture,
               const std::function<void(Network::Http1Exchange &)> &Resume) {
  bool Resumed = false;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        if (Exchange->header("Last-Event-Id")) {
          Resumed = true;
          Resume(*Exchange);
          return;
        }
        Exchange->startStream(200,
                              RoutedCluster::eventStreamHeaders(*Exchange));
        Exchange->sendChunk(FirstEvent);
        Fixture.loop().defer([Exchange] { Exchange->abort(); });
      };
  RoutedResponse Response = Fixture.request("/a/flow/x");
  BOOST_TEST(Response.Status == 200);
  BOOST_TEST(Resumed);
  return Response;
}

/// The response of a stream that pauses, and the timer of the events of another
/// stream.
struct PausedStream {
  std::shared_ptr<RoutedResponse> Response;
  Network::EventHandle EventTimer;
};

/// Starts a stream that goes on, and then one that pauses, at the server that
/// OnServerRequest stores in Active and in Paused. A stream that ends at
/// another server is sent again.
PausedStream startActiveAndPausedStream(
    RoutedCluster &Fixture,
    const std::shared_ptr<Network::Http1Exchange> &Active,
    const std::shared_ptr<Network::Http1Exchange> &Paused) {
  PausedStream Result;
  const auto StartUntil = [&](const char *Path, const auto &Reached) {
    return Fixture.waitUntil([&] {
      if (!Reached && (!Result.Response || Result.Response->Done))
        Result.Response =
            Fixture.startCall(Fixture.entryAddress(), "POST", Path, "",
                              {{"X-Sycamorereach-Request-Id", "stream"},
                               {"X-Sycamorereach-Request-Deadline", "10000"},
                               {"Authorization", "Bearer key-1"}});
      return Reached != nullptr;
    });
  };
  BOOST_REQUIRE(StartUntil("/a/flow/x", Active));
  Result.EventTimer = Fixture.loop().callEvery(
      std::chrono::milliseconds(50), [&Active, LastEventId = 1]() mutable {
        Active->sendChunk("id: " + std::to_string(++LastEventId) +
                          "\ndata: a\n\n");
      });
  Result.Response.reset();
  BOOST_REQUIRE(StartUntil("/a/slow-flow/x", Paused));
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedServing)

BOOST_AUTO_TEST_CASE(RequestsFollowTheDeclarationInForce) {
  RoutedCluster Fixture;
  Fixture.startAll();
  const RoutedResponse Response = Fixture.request("/a/b?c=%20d");
  BOOST_TEST(Response.Body == "served /a/b for mill");
  BOOST_TEST(Fixture.request("/none/").Status == 404);
  BOOST_TEST(Fixture.request("/a/b", "other-key").Status == 401);
  BOOST_TEST(
      Fixture.call(Fixture.readinessAddress(), "GET", "/sycamorereach/ready")
          .Status == 200);
  // A newer declaration replaces the routes. An older one, or different
  // content with the same version, has no effect.
  const std::string NewDeclaration = RoutedCluster::declaration(8, "/b/");
  BOOST_TEST(Fixture.operatorCall("POST", ReplacePath, NewDeclaration, 200));
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/b/x").Status == 200; }));
  BOOST_TEST(Fixture.request("/a/x").Status == 404);
  BOOST_TEST(Fixture.operatorCall("POST", ReplacePath,
                                  RoutedCluster::declaration(8, "/c/"), 200));
  BOOST_TEST(Fixture.operatorCall("POST", ReplacePath,
                                  RoutedCluster::declaration(5, "/d/"), 200));
  BOOST_TEST(Fixture.operatorCall(
      "POST", ReplacePath, NewDeclaration.substr(0, NewDeclaration.size() / 2),
      400));
  std::string CurrentDeclaration;
  BOOST_TEST(
      Fixture.operatorCall("GET", ReadPath, "", 200, &CurrentDeclaration));
  BOOST_TEST(CurrentDeclaration == NewDeclaration);
  BOOST_TEST(Fixture.request("/c/x").Status == 404);
}

// Guards against a deadline of 0 ms being taken for none: the request would run
// although its caller no longer waits.
BOOST_AUTO_TEST_CASE(ARequestWhoseDeadlineIsOverIsRefused) {
  RoutedCluster Fixture;
  Fixture.startAll();
  BOOST_TEST(Fixture.request("/a/x").Status == 200);
  const int RequestsBefore = Fixture.ServerRequests;
  const auto Response = Fixture.startRequest("/a/x", "key-1", "POST", 0);
  BOOST_TEST(Fixture.waitUntil([&] { return Response->Done; }));
  BOOST_TEST(Response->Status == 503);
  BOOST_TEST(Fixture.ServerRequests == RequestsBefore);
}

BOOST_AUTO_TEST_CASE(AServerThatLeavesGetsNothingMore) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("draining");
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/a/x").Status == 503; }));
  const int RequestsBefore = Fixture.ServerRequests;
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(Fixture.request("/a/x").Status == 503);
  BOOST_TEST(Fixture.ServerRequests == RequestsBefore);
}

BOOST_AUTO_TEST_CASE(WhatMayNotBeRepeatedRunsOnce) {
  RoutedCluster Fixture;
  Fixture.startAll();
  // The server executes the request, and its response is lost.
  Fixture.OnServerRequest =
      [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        Exchange->abort();
      };
  int RequestsBefore = Fixture.ServerRequests;
  BOOST_TEST(Fixture.request("/a/once/x").Status == 502);
  BOOST_TEST(Fixture.ServerRequests == RequestsBefore + 1);
  // A 503 without the header that says that the request was not executed must
  // not be reported as not executed.
  Fixture.OnServerRequest =
      [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        RoutedCluster::respond(*Exchange, 503);
      };
  RequestsBefore = Fixture.ServerRequests;
  BOOST_TEST(Fixture.request("/a/once/x").Status == 502);
  BOOST_TEST(Fixture.ServerRequests == RequestsBefore + 1);
}

BOOST_AUTO_TEST_CASE(RequestsLeaveAServerThatFellSilent) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("ready", 2);
  const auto ExpectedReplica = [](const Network::Http1Exchange &Exchange) {
    return Exchange.header("X-Sycamorereach-Expect-Replica").value_or("");
  };
  std::set<std::string> SeenServers;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        SeenServers.insert(ExpectedReplica(*Exchange));
        RoutedCluster::respond(*Exchange);
      };
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    Fixture.request("/a/x");
    return SeenServers.size() == 2;
  }));
  // Four idempotent requests and four that must not be repeated, spread over
  // both servers. shop-1 never responds, and its connections stay open.
  std::vector<std::shared_ptr<Network::Http1Exchange>> PendingExchanges;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        PendingExchanges.push_back(Exchange);
      };
  std::vector<std::shared_ptr<RoutedResponse>> SafeCalls;
  std::vector<std::shared_ptr<RoutedResponse>> UnsafeCalls;
  for (int I = 0; I < 4; ++I)
    SafeCalls.push_back(Fixture.startRequest("/a/x"));
  for (int I = 0; I < 4; ++I)
    UnsafeCalls.push_back(Fixture.startRequest("/a/once/x"));
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return PendingExchanges.size() == 8; }));
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        if (ExpectedReplica(*Exchange) != "shop-1")
          RoutedCluster::respond(*Exchange);
      };
  int SafeOnSilentServer = 0;
  int UnsafeOnSilentServer = 0;
  for (const auto &Exchange : PendingExchanges) {
    if (ExpectedReplica(*Exchange) != "shop-1")
      RoutedCluster::respond(*Exchange);
    else if (Exchange->path() == "/a/x")
      ++SafeOnSilentServer;
    else
      ++UnsafeOnSilentServer;
  }
  BOOST_REQUIRE(SafeOnSilentServer > 0);
  BOOST_REQUIRE(UnsafeOnSilentServer > 0);
  // Responses of the other server show that the entry daemon itself is not
  // cut off.
  const auto Done = [](const auto &Call) { return Call->Done; };
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    Fixture.request("/a/x");
    return std::all_of(SafeCalls.begin(), SafeCalls.end(), Done);
  }));
  for (const auto &Call : SafeCalls)
    BOOST_TEST(Call->Status == 200);
  // Requests that must not be repeated are not sent to another server.
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return std::all_of(UnsafeCalls.begin(), UnsafeCalls.end(), Done);
  }));
  BOOST_TEST(std::count_if(UnsafeCalls.begin(), UnsafeCalls.end(),
                           [](const auto &Call) {
                             return Call->Status == 504;
                           }) == UnsafeOnSilentServer);
}

BOOST_AUTO_TEST_CASE(ASilentServerIsWaitedForWhileNoOtherTakesMore) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("ready", 2);
  // The second server has an open stream and then drains: it takes no new
  // requests.
  std::shared_ptr<Network::Http1Exchange> Stream;
  std::shared_ptr<Network::Http1Exchange> PendingExchange;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        if (Exchange->header("X-Sycamorereach-Expect-Replica") != "shop-2") {
          RoutedCluster::respond(*Exchange);
          return;
        }
        Stream = Exchange;
        Exchange->startStream(200,
                              RoutedCluster::eventStreamHeaders(*Exchange));
      };
  std::vector<std::shared_ptr<RoutedResponse>> Streams;
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    if (!Stream)
      Streams.push_back(Fixture.startRequest("/a/flow/x"));
    return Stream != nullptr;
  }));
  Fixture.announce("draining", 2);
  int LastEventId = 0;
  const auto EventTimer = Fixture.loop().callEvery(
      std::chrono::milliseconds(50), [&Stream, &LastEventId] {
        Stream->sendChunk("id: " + std::to_string(++LastEventId) +
                          "\ndata: a\n\n");
      });
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        // One of the many streams may arrive late.
        if (Exchange->path() == "/a/x")
          PendingExchange = Exchange;
        else
          RoutedCluster::respond(*Exchange);
      };
  const auto Response = Fixture.startRequest("/a/x");
  BOOST_REQUIRE(Fixture.waitUntil([&] { return PendingExchange != nullptr; }));
  // The first server is silent beyond its limit while the second one still
  // sends. No other server takes the request, so its response is awaited.
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return LastEventId > 30 || Response->Done; }));
  BOOST_TEST(!Response->Done);
  RoutedCluster::respond(*PendingExchange);
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Response->Done; }));
  BOOST_TEST(Response->Status == 200);
}

BOOST_AUTO_TEST_CASE(ATeamsPriorityGoesBeforeItsRoutes) {
  RoutedCluster Fixture;
  Fixture.startAll();
  std::string Priority;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        Priority =
            Exchange->header("X-Sycamorereach-Request-Priority").value_or("");
        RoutedCluster::respond(*Exchange);
      };
  const auto SendPrompt = [&Fixture](const std::string &Key) {
    return Fixture
        .call(Fixture.entryAddress(), "POST", "/a/x", "body",
              {{"X-Sycamorereach-Request-Id", "prompt-" + Key},
               {"X-Sycamorereach-Model", "m"},
               {"X-Sycamorereach-Token-Count", "10,10"},
               {"Authorization", "Bearer " + Key}})
        .Status;
  };
  BOOST_TEST(SendPrompt("key-1") == 200);
  BOOST_TEST(Priority == "1");
  BOOST_TEST(SendPrompt("key-2") == 200);
  BOOST_TEST(Priority == "0");
}

BOOST_AUTO_TEST_CASE(PromptsThatWouldWaitTooLongAreRefusedAtOnce) {
  RoutedCluster Fixture;
  Fixture.startAll();
  std::vector<std::shared_ptr<Network::Http1Exchange>> PendingExchanges;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        PendingExchanges.push_back(Exchange);
      };
  const auto SendPrompt = [&Fixture](const std::string &Id) {
    return Fixture.startCall(Fixture.entryAddress(), "POST", "/a/once/x",
                             "body",
                             {{"X-Sycamorereach-Request-Id", Id},
                              {"X-Sycamorereach-Model", "m"},
                              {"X-Sycamorereach-Token-Count", "500000,10"},
                              {"Authorization", "Bearer key-1"}});
  };
  // The only server needs longer for this prompt than callers wait. A request
  // is not refused for its own length, only for the queue ahead of it.
  const auto First = SendPrompt("first");
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return PendingExchanges.size() == 1; }));
  const auto Second = SendPrompt("second");
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Second->Done; }));
  BOOST_TEST(Second->Status == 503);
  BOOST_TEST(Network::findHeader(Second->Headers, "Retry-After").has_value());
  BOOST_TEST(PendingExchanges.size() == 1u);
  BOOST_TEST(!First->Done);
  RoutedCluster::respond(*PendingExchanges.front());
  BOOST_REQUIRE(Fixture.waitUntil([&] { return First->Done; }));
  BOOST_TEST(First->Status == 200);
}

BOOST_AUTO_TEST_CASE(AStreamThatCannotGoOnEndsItsConnection) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.OnServerRequest =
      [&Fixture](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        Exchange->startStream(200,
                              RoutedCluster::eventStreamHeaders(*Exchange));
        Exchange->sendChunk("id: 1\ndata: a\n\n");
        Fixture.loop().defer([Exchange] { Exchange->abort(); });
      };
  // No other server is there to resume the stream.
  const RoutedResponse Response = Fixture.request("/a/flow/x");
  BOOST_TEST(Response.Status == 200);
  BOOST_TEST(Response.Body == "id: 1\ndata: a\n\n");
  BOOST_TEST((Response.Result == Network::Http1CallResult::Truncated));
}

// Guards against a broken stream that reaches the caller as complete because a
// response that does not continue it was taken for its end.
BOOST_AUTO_TEST_CASE(OnlyAStreamCompletesABrokenStream) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("ready", 2);
  struct Case {
    const char *Description;
    int Status;
    /// A header of a valid stream that the response lacks.
    const char *MissingHeader;
    const char *ContentType;
    const char *Body;
  };
  const std::vector<Case> Cases = {
      {"error", 500, "", "application/json", ""},
      {"no content", 204, "", "text/event-stream", ""},
      {"other content", 200, "", "text/plain", "done\n\n"},
      {"unsigned", 200, "X-Sycamorereach-Replica-Signature",
       "text/event-stream", SecondEvent},
      {"without request id", 200, "X-Sycamorereach-Request-Id",
       "text/event-stream", SecondEvent},
  };
  for (const Case &Each : Cases)
    BOOST_TEST_CONTEXT(Each.Description) {
      const RoutedResponse Response =
          breakAndResume(Fixture, [&](Network::Http1Exchange &Exchange) {
            Network::HttpHeaders Headers =
                RoutedCluster::eventStreamHeaders(Exchange);
            Headers.front().Value = Each.ContentType;
            std::erase_if(Headers, [&](const Network::HttpHeader &Header) {
              return Header.Name == Each.MissingHeader;
            });
            Exchange.reply(Each.Status, Headers, Each.Body);
          });
      BOOST_TEST(Response.Body == FirstEvent);
      BOOST_TEST((Response.Result == Network::Http1CallResult::Truncated));
    }
  const RoutedResponse Response =
      breakAndResume(Fixture, [](Network::Http1Exchange &Exchange) {
        Exchange.reply(200, RoutedCluster::eventStreamHeaders(Exchange),
                       SecondEvent);
      });
  BOOST_TEST(Response.Body == std::string(FirstEvent) + SecondEvent);
  BOOST_TEST((Response.Result == Network::Http1CallResult::Complete));
}

// Guards against a stream that ends as complete within an event, and against
// one that is broken off although its continuation ended as complete.
BOOST_AUTO_TEST_CASE(AStreamIsCompleteAfterAWholeEvent) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("ready", 2);
  const RoutedResponse Partial =
      breakAndResume(Fixture, [](Network::Http1Exchange &Exchange) {
        Exchange.reply(200, RoutedCluster::eventStreamHeaders(Exchange),
                       "id: 2\ndata: b\n");
      });
  BOOST_TEST(Partial.Body == FirstEvent);
  BOOST_TEST((Partial.Result == Network::Http1CallResult::Truncated));
  // All events had been sent before the first server broke off.
  const RoutedResponse Whole =
      breakAndResume(Fixture, [](Network::Http1Exchange &Exchange) {
        Exchange.reply(200, RoutedCluster::eventStreamHeaders(Exchange), "");
      });
  BOOST_TEST(Whole.Body == FirstEvent);
  BOOST_TEST((Whole.Result == Network::Http1CallResult::Complete));
}

// Guards against events that reach the caller twice because the server that was
// asked to resume the stream started it anew.
BOOST_AUTO_TEST_CASE(AStreamThatStartsAnewDoesNotResumeABrokenOne) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("ready", 2);
  const RoutedResponse Response =
      breakAndResume(Fixture, [](Network::Http1Exchange &Exchange) {
        Exchange.reply(200, RoutedCluster::eventStreamHeaders(Exchange),
                       std::string(FirstEvent) + SecondEvent);
      });
  BOOST_TEST(Response.Body == FirstEvent);
  BOOST_TEST((Response.Result == Network::Http1CallResult::Truncated));
}

// Guards against memory that grows without bound while a server sends an event
// that does not end.
BOOST_AUTO_TEST_CASE(AnEventThatDoesNotEndIsCutOff) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("ready", 2);
  bool CutOff = false;
  std::shared_ptr<Network::Http1Exchange> Endless;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        if (Exchange->header("Last-Event-Id")) {
          Exchange->reply(200, RoutedCluster::eventStreamHeaders(*Exchange),
                          SecondEvent);
          return;
        }
        Endless = Exchange;
        Exchange->onCallerDisconnected([&CutOff] { CutOff = true; });
        Exchange->startStream(200,
                              RoutedCluster::eventStreamHeaders(*Exchange));
        Exchange->sendChunk(FirstEvent);
      };
  // More than an event may have, and never its end.
  const std::string Part(64u << 10, 'a');
  const auto PartTimer =
      Fixture.loop().callEvery(std::chrono::milliseconds(5), [&] {
        if (Endless && Endless->unsentBytes() == 0)
          Endless->sendChunk(Part);
      });
  const RoutedResponse Response = Fixture.request("/a/flow/x");
  BOOST_TEST(Response.Body == std::string(FirstEvent) + SecondEvent);
  BOOST_TEST((Response.Result == Network::Http1CallResult::Complete));
  BOOST_TEST(Fixture.waitUntil([&CutOff] { return CutOff; }));
}

// Guards against a stream that is given up while its caller still waits for it,
// and against waiting that uses up the retry budget.
BOOST_AUTO_TEST_CASE(ABrokenStreamIsResumedWhileItsCallerWaits) {
  RoutedCluster Fixture;
  Fixture.startAll();
  bool Broken = false;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        if (Exchange->header("Last-Event-Id")) {
          Exchange->reply(200, RoutedCluster::eventStreamHeaders(*Exchange),
                          SecondEvent);
          return;
        }
        Exchange->startStream(200,
                              RoutedCluster::eventStreamHeaders(*Exchange));
        Exchange->sendChunk(FirstEvent);
        Fixture.loop().defer([&Broken, Exchange] {
          Exchange->abort();
          Broken = true;
        });
      };
  const auto Response =
      Fixture.startCall(Fixture.entryAddress(), "POST", "/a/slow-flow/x", "",
                        {{"X-Sycamorereach-Request-Id", "slow-flow"},
                         {"X-Sycamorereach-Request-Deadline", "10000"},
                         {"Authorization", "Bearer key-1"}});
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Broken; }));
  // Another server appears halfway to the pause after which callers abandon a
  // stream: 8 times the route's gap-target-ms.
  constexpr Common::Duration AbandonPause = std::chrono::milliseconds(8 * 500);
  const Common::TimePoint BrokenAt = Fixture.loop().now();
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Response->Done ||
           Fixture.loop().now() - BrokenAt >= AbandonPause / 2;
  }));
  BOOST_TEST(!Response->Done);
  Fixture.announce("ready", 2);
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Response->Done; }));
  BOOST_TEST(Response->Body == std::string(FirstEvent) + SecondEvent);
  BOOST_TEST((Response->Result == Network::Http1CallResult::Complete));
}

// LOST: a stream was taken away from a server that paused, as another one would
// accept it by this daemon's figures; that one rejected it, and the stream was
// broken off. A server's silence is no reason to end a response sooner.
BOOST_AUTO_TEST_CASE(AStreamStaysAtASilentServerIfOthersRejectIt) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.announce("ready", 2);
  // shop-2 sends events of another stream, and shop-1 pauses. Requests that
  // arrive at the other server than wanted are answered at once.
  std::shared_ptr<Network::Http1Exchange> Active;
  std::shared_ptr<Network::Http1Exchange> Paused;
  int Rejections = 0;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        const bool AtFirst =
            Exchange->header("X-Sycamorereach-Expect-Replica") == "shop-1";
        const bool Slow = Exchange->path() == "/a/slow-flow/x";
        Network::HttpHeaders Headers =
            RoutedCluster::eventStreamHeaders(*Exchange);
        if (Exchange->header("Last-Event-Id")) {
          ++Rejections;
          Headers.push_back({"X-Sycamorereach-Not-Executed", "full"});
          Exchange->reply(503, Headers, "");
        } else if (AtFirst == Slow && !(Slow ? Paused : Active)) {
          (Slow ? Paused : Active) = Exchange;
          Exchange->startStream(200, Headers);
          Exchange->sendChunk(FirstEvent);
        } else {
          Exchange->reply(200, Headers, FirstEvent);
        }
      };
  const PausedStream Stream =
      startActiveAndPausedStream(Fixture, Active, Paused);
  const std::shared_ptr<RoutedResponse> &Response = Stream.Response;
  // Callers wait for 8 times the route's gap-target-ms.
  constexpr Common::Duration AbandonPause = std::chrono::milliseconds(8 * 500);
  const Common::TimePoint PausedAt = Fixture.loop().now();
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Rejections > 0 || Response->Done ||
           Fixture.loop().now() - PausedAt > AbandonPause * 3 / 4;
  }));
  Paused->sendChunk(SecondEvent);
  Paused->endStream();
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Response->Done; }));
  BOOST_TEST(Response->Body == std::string(FirstEvent) + SecondEvent);
  BOOST_TEST((Response->Result == Network::Http1CallResult::Complete));
}

// A server pauses within a stream, and the other one accepts it late, or is
// lost with it. Guards against events that are lost or passed on twice, and
// against a first server that goes on working on a stream that has left it.
BOOST_AUTO_TEST_CASE(AStreamLeavesASilentServerOnceAnotherAccepts) {
  for (const bool Accepts : {true, false}) {
    RoutedCluster Fixture;
    Fixture.startAll();
    Fixture.announce("ready", 2);
    std::shared_ptr<Network::Http1Exchange> Active;
    std::shared_ptr<Network::Http1Exchange> Paused;
    bool FirstLeft = false;
    int Resumed = 0;
    Network::EventHandle AcceptTimer;
    Fixture.OnServerRequest =
        [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
          const bool AtFirst =
              Exchange->header("X-Sycamorereach-Expect-Replica") == "shop-1";
          const bool Slow = Exchange->path() == "/a/slow-flow/x";
          const Network::HttpHeaders Headers =
              RoutedCluster::eventStreamHeaders(*Exchange);
          if (Exchange->header("Last-Event-Id")) {
            ++Resumed;
            AcceptTimer = Fixture.loop().callAfter(
                std::chrono::milliseconds(300), [&, Headers, Exchange] {
                  if (!Accepts) {
                    Exchange->abort();
                    return;
                  }
                  Exchange->startStream(200, Headers);
                  Exchange->sendChunk(SecondEvent);
                  Exchange->endStream();
                });
          } else if (AtFirst == Slow && !(Slow ? Paused : Active)) {
            (Slow ? Paused : Active) = Exchange;
            Exchange->startStream(200, Headers);
            Exchange->sendChunk(FirstEvent);
            if (Slow)
              Exchange->onCallerDisconnected([&] { FirstLeft = true; });
          } else {
            Exchange->reply(200, Headers, FirstEvent);
          }
        };
    const PausedStream Stream =
        startActiveAndPausedStream(Fixture, Active, Paused);
    const std::shared_ptr<RoutedResponse> &Response = Stream.Response;
    BOOST_REQUIRE(Fixture.waitUntil([&] { return Resumed > 0; }));
    BOOST_TEST(!FirstLeft);
    if (Accepts) {
      BOOST_TEST(Fixture.waitUntil([&] { return FirstLeft; }));
    } else {
      const Common::TimePoint End =
          Fixture.loop().now() + std::chrono::milliseconds(600);
      BOOST_REQUIRE(
          Fixture.waitUntil([&] { return Fixture.loop().now() > End; }));
      BOOST_TEST(!FirstLeft);
      Paused->sendChunk(SecondEvent);
      Paused->endStream();
    }
    BOOST_REQUIRE(Fixture.waitUntil([&] { return Response->Done; }));
    BOOST_TEST(Response->Body == std::string(FirstEvent) + SecondEvent);
    BOOST_TEST((Response->Result == Network::Http1CallResult::Complete));
    BOOST_TEST(Resumed == 1);
  }
}

// LOST: a stream that broke shortly before its deadline was given up at once,
// which is excused only once the deadline has passed.
BOOST_AUTO_TEST_CASE(AStreamThatBreaksLateIsKeptUntilItsDeadline) {
  RoutedCluster Fixture;
  Fixture.startAll();
  constexpr Common::Duration Deadline = std::chrono::milliseconds(1000);
  constexpr Common::Duration BreaksBefore = std::chrono::milliseconds(150);
  Network::EventHandle BreakTimer;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        Exchange->startStream(200,
                              RoutedCluster::eventStreamHeaders(*Exchange));
        Exchange->sendChunk(FirstEvent);
        BreakTimer = Fixture.loop().callAfter(
            Deadline - BreaksBefore, [Exchange] { Exchange->abort(); });
      };
  const auto Response =
      Fixture.startRequest("/a/flow/x", "key-1", "POST",
                           static_cast<int>(Common::toMilliseconds(Deadline)));
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Response->Done; }));
  BOOST_TEST((Response->Result == Network::Http1CallResult::Truncated));
  BOOST_TEST(Fixture.log("entry").find("event=stream_out_of_time") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ARefusalIsNotPromisedOnceAServerRanTheRequest) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.OnServerRequest =
      [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        RoutedCluster::respond(*Exchange, 500);
      };
  Fixture.announce("ready", 3);
  // One server fails with 500 and the other one cannot be reached. A 503 would
  // wrongly say that the request was not executed.
  BOOST_TEST(Fixture.waitUntil([&] {
    const int RequestsBefore = Fixture.ServerRequests;
    const int Status = Fixture.request("/a/x").Status;
    BOOST_TEST(Status != 503);
    return Status == 502 && Fixture.ServerRequests == RequestsBefore + 1;
  }));
}

BOOST_AUTO_TEST_CASE(DeclarationsOutliveTheLeader) {
  RoutedCluster Fixture;
  Fixture.startAll();
  const int Leader = Fixture.leader();
  BOOST_REQUIRE(Leader != 0);
  Fixture.crash("state" + std::to_string(Leader));
  const std::string NewDeclaration = RoutedCluster::declaration(9, "/b/");
  BOOST_TEST(Fixture.operatorCall("POST", ReplacePath, NewDeclaration, 200));
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/b/x").Status == 200; }));
  Fixture.startStateDaemon(Leader, false);
  std::string CurrentDeclaration;
  BOOST_TEST(
      Fixture.operatorCall("GET", ReadPath, "", 200, &CurrentDeclaration));
  BOOST_TEST(CurrentDeclaration == NewDeclaration);
}

BOOST_AUTO_TEST_CASE(ALostDiskIsReplacedBeforeTheNextOneIsLost) {
  RoutedCluster Fixture;
  Fixture.startAll();
  std::uint64_t Version = 10;
  // The three founders lose their disks one after the other. The group survives
  // only if each lost voter is replaced by one that holds the whole state.
  for (int LostMember = 1; LostMember <= 3; ++LostMember) {
    Fixture.crash("state" + std::to_string(LostMember));
    Fixture.wipeDisk(LostMember);
    Fixture.startStateDaemon(LostMember, false);
    for (int I = 0; I < 3; ++I)
      BOOST_TEST(Fixture.operatorCall(
          "POST", ReplacePath, RoutedCluster::declaration(++Version, "/a/"),
          200));
    BOOST_TEST(Fixture.waitUntil([&] { return Fixture.isGroupHealthy(); }));
  }
  std::string CurrentDeclaration;
  BOOST_TEST(
      Fixture.operatorCall("GET", ReadPath, "", 200, &CurrentDeclaration));
  BOOST_TEST(CurrentDeclaration == RoutedCluster::declaration(Version, "/a/"));
}

// Guards against a declaration that no daemon answers for: a state daemon is
// stopped for good, and right after its end the disk of another one is lost.
BOOST_AUTO_TEST_CASE(AStoppedStateDaemonHandsItsVoteOn) {
  for (const bool StopsLeader : {false, true}) {
    RoutedCluster Fixture;
    Fixture.startAll();
    BOOST_REQUIRE(Fixture.waitUntil([&] { return Fixture.isGroupHealthy(); }));
    const std::string Declared = RoutedCluster::declaration(10, "/a/");
    BOOST_REQUIRE(Fixture.operatorCall("POST", ReplacePath, Declared, 200));
    constexpr int Founders = 3;
    const int Leader = Fixture.leader();
    const int Follower = Leader % Founders + 1;
    const int Stopped = StopsLeader ? Leader : Follower;
    const int Lost = StopsLeader ? Follower : Leader;
    const std::string StoppedName = "state" + std::to_string(Stopped);
    Fixture.process(StoppedName).signal(SIGTERM);
    BOOST_REQUIRE(Fixture.waitUntil(
        [&] { return Fixture.process(StoppedName).hasExited(); }));
    Fixture.crash("state" + std::to_string(Lost));
    Fixture.wipeDisk(Lost);
    Fixture.startStateDaemon(Lost, false);
    std::string Current;
    BOOST_TEST(Fixture.operatorCall("GET", ReadPath, "", 200, &Current));
    BOOST_TEST(Current == Declared);
    BOOST_TEST(Fixture.operatorCall(
        "POST", ReplacePath, RoutedCluster::declaration(11, "/a/"), 200));
  }
}

// Guards against a leader that loses its leadership after a restart because it
// decodes each declaration of its log, and answers nobody meanwhile.
BOOST_AUTO_TEST_CASE(ARestartedLeaderInstallsTheNewestDeclarationOnly) {
  RoutedCluster Fixture;
  Fixture.startAll();
  std::uint64_t Version = 10;
  for (; Version < 30; ++Version)
    BOOST_REQUIRE(Fixture.operatorCall(
        "POST", ReplacePath, RoutedCluster::declaration(Version, "/a/"), 200));
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Fixture.crash("state" + std::to_string(I));
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Fixture.startStateDaemon(I, false);
  const int Leader = Fixture.leader();
  BOOST_REQUIRE(Leader != 0);
  const std::string Log = Fixture.log("state" + std::to_string(Leader));
  const std::string Event = "event=declaration_in_force";
  int Installed = 0;
  for (std::size_t At = Log.find(Event); At != std::string::npos;
       At = Log.find(Event, At + 1))
    ++Installed;
  BOOST_TEST(Installed == 1);
  BOOST_TEST(Log.find(Event + " version=29") != std::string::npos);
}

// Guards against a stop that closes an open declaration without an answer.
BOOST_AUTO_TEST_CASE(AnOpenDeclarationIsAnsweredBeforeTheStop) {
  RoutedCluster Fixture;
  Fixture.startAll();
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Fixture.isGroupHealthy(); }));
  const int Leader = Fixture.leader();
  BOOST_REQUIRE(Leader != 0);
  Process &Stopped = Fixture.process("state" + std::to_string(Leader));
  const int Before = Fixture.proposals(Leader);
  // No other daemon can confirm the declaration.
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    if (I != Leader)
      Fixture.process("state" + std::to_string(I)).signal(SIGSTOP);
  const auto Call =
      Fixture.startCall(Fixture.controlAddress(Leader), "POST", ReplacePath,
                        RoutedCluster::declaration(10, "/a/"), {});
  bool Proposed = false;
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    Proposed = Fixture.proposals(Leader) > Before;
    return Proposed || Call->Done;
  }));
  Stopped.signal(SIGTERM);
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Call->Done; }));
  // The outcome of a proposed declaration is unknown. Without a quorum the
  // leader may have found that it cannot propose, and refused the call.
  BOOST_TEST(Call->Status == (Proposed ? 500 : 503));
  BOOST_TEST(Fixture.waitUntil([&] { return Stopped.hasExited(); }));
}

BOOST_AUTO_TEST_CASE(EverythingRestartsAtOnceAndNothingIsLost) {
  RoutedCluster Fixture;
  Fixture.startAll();
  const std::string NewDeclaration = RoutedCluster::declaration(12, "/b/");
  BOOST_TEST(Fixture.operatorCall("POST", ReplacePath, NewDeclaration, 200));
  Fixture.crashAndRestartAll();
  std::string CurrentDeclaration;
  BOOST_TEST(
      Fixture.operatorCall("GET", ReadPath, "", 200, &CurrentDeclaration));
  BOOST_TEST(CurrentDeclaration == NewDeclaration);
  Fixture.announce("ready");
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/b/x").Status == 200; }));
}

BOOST_AUTO_TEST_CASE(AnEntryDaemonThatStartsServesItsFirstRequest) {
  RoutedCluster Fixture;
  Fixture.startAll();
  Fixture.crash("entry");
  // The first poll gets no response until the request has arrived.
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Fixture.process("state" + std::to_string(I)).signal(SIGSTOP);
  Fixture.startEntryDaemon();
  BOOST_TEST(Fixture.waitUntil([&] {
    return Fixture
               .call(Fixture.readinessAddress(), "GET", "/sycamorereach/ready")
               .Status == 503;
  }));
  const auto ResumeTimer =
      Fixture.loop().callAfter(std::chrono::milliseconds(100), [&Fixture] {
        for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
          Fixture.process("state" + std::to_string(I)).signal(SIGCONT);
      });
  BOOST_TEST(Fixture.request("/a/x").Status == 200);
}

BOOST_AUTO_TEST_CASE(KeysAreNotObeyedOnceNoLeaderStandsBehindThem) {
  RoutedCluster Fixture;
  Fixture.startAll();
  // Paused, not killed: the entry daemon's link stays open and silent.
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Fixture.process("state" + std::to_string(I)).signal(SIGSTOP);
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/a/x").Status == 503; }));
  const int RequestsBefore = Fixture.ServerRequests;
  for (int I = 0; I < 5; ++I)
    BOOST_TEST(Fixture.request("/a/x").Status == 503);
  BOOST_TEST(Fixture.ServerRequests == RequestsBefore);
  BOOST_TEST(
      Fixture.call(Fixture.readinessAddress(), "GET", "/sycamorereach/ready")
          .Status == 503);
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Fixture.process("state" + std::to_string(I)).signal(SIGCONT);
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/a/x").Status == 200; }));
}

// Guards against CONFIG: with a revoked key, requests ran behind a cut where
// the held configuration calls the route public or has no teams.
BOOST_AUTO_TEST_CASE(AKeyNeedsAConfirmedConfigurationOnAnyRoute) {
  using Json = nlohmann::json;
  for (const bool HasTeams : {true, false}) {
    RoutedCluster Fixture;
    Fixture.startAll();
    Json Open = Json::parse(RoutedCluster::declaration(4, "/open/"));
    for (Json &Each : Open["routes"])
      Each["public"] = HasTeams;
    if (!HasTeams)
      Open.erase("tenants");
    BOOST_REQUIRE(Fixture.operatorCall("POST", "/sycamorereach/config/replace",
                                       Open.dump(), 200));
    BOOST_REQUIRE(Fixture.waitUntil([&] {
      Fixture.announce("ready");
      return Fixture.request("/open/x").Status == 200;
    }));
    for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
      Fixture.process("state" + std::to_string(I)).signal(SIGSTOP);
    const auto Refused = [&](const char *Key) {
      return Fixture.request("/open/x", Key).Status == 503;
    };
    BOOST_TEST(Fixture.waitUntil([&] { return Refused("key-1"); }));
    const int RequestsBefore = Fixture.ServerRequests;
    for (const char *Key : {"key-1", "key-2", "key-of-nobody"})
      BOOST_TEST(Refused(Key), Key);
    BOOST_TEST(Fixture.ServerRequests == RequestsBefore);
    // What needs no key is still served.
    BOOST_TEST(Fixture.request("/open/x", "").Status == 200);
    for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
      Fixture.process("state" + std::to_string(I)).signal(SIGCONT);
    BOOST_TEST(Fixture.waitUntil([&] { return !Refused("key-1"); }));
  }
}

BOOST_AUTO_TEST_CASE(AShutdownEndsWhatItTookAndThenRefuses) {
  RoutedCluster Fixture;
  Fixture.startAll();
  std::shared_ptr<Network::Http1Exchange> PendingExchange;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        // The signal arrives while the server is executing the request.
        Fixture.process("entry").signal(SIGTERM);
        PendingExchange = Exchange;
        Fixture.loop().defer(
            [&PendingExchange] { RoutedCluster::respond(*PendingExchange); });
      };
  const RoutedResponse Response = Fixture.request("/a/x");
  BOOST_TEST(Response.Status == 200);
  BOOST_TEST(Fixture.waitUntil([&] {
    return Fixture
               .call(Fixture.readinessAddress(), "GET", "/sycamorereach/ready")
               .Status == 503;
  }));
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.process("entry").hasExited(); }));
  BOOST_TEST(Fixture.process("entry").exitCode() == 0);
}

// LOST: a stream that was taken more than 3 s after SIGTERM was cut when the
// grace period ended. Callers can send such a request to another daemon.
BOOST_AUTO_TEST_CASE(ARequestThatMightOutlastTheProcessIsRefused) {
  RoutedCluster Fixture;
  Fixture.ShutdownSeconds = 5;
  Fixture.startAll();
  std::set<std::string> PathsThatReachedServer;
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        PathsThatReachedServer.insert(Exchange->path());
        if (Exchange->path() == "/a/x") {
          RoutedCluster::respond(*Exchange);
          return;
        }
        Exchange->startStream(200,
                              RoutedCluster::eventStreamHeaders(*Exchange));
        Exchange->sendChunk("id: 1\ndata: a\n\n");
      };
  struct SentRequest {
    std::string Path;
    Common::TimePoint SentAt;
    std::shared_ptr<RoutedResponse> Response;
  };
  std::vector<SentRequest> Long;
  std::vector<SentRequest> Short;
  constexpr Common::Duration SendPeriod = std::chrono::milliseconds(20);
  const Common::TimePoint SignalledAt = Fixture.loop().now();
  Fixture.process("entry").signal(SIGTERM);
  BOOST_TEST(Fixture.waitUntil([&] {
    const Common::TimePoint Now = Fixture.loop().now();
    if (!Long.empty() && Now - Long.back().SentAt < SendPeriod)
      return Fixture.process("entry").hasExited();
    const std::string Path = "/a/flow/" + std::to_string(Long.size());
    Long.push_back({Path, Now, Fixture.startRequest(Path)});
    Short.push_back(
        {"/a/x", Now, Fixture.startRequest("/a/x", "key-1", "POST", 300)});
    return Fixture.process("entry").hasExited();
  }));
  const Common::TimePoint ExitedAt = Fixture.loop().now();
  BOOST_TEST(Fixture.process("entry").exitCode() == 0);
  BOOST_TEST(Fixture.waitUntil([&] {
    return std::all_of(Long.begin(), Long.end(),
                       [](const auto &Each) { return Each.Response->Done; });
  }));
  // A request that is sent later may not be cut at the end of the grace period.
  constexpr Common::Duration MaySendUntil = std::chrono::seconds(3);
  // Within the time that a request may stay unanswered.
  constexpr Common::Duration ExitDelay = std::chrono::milliseconds(200);
  int Refused = 0;
  for (const SentRequest &Each : Long) {
    if (Each.SentAt - SignalledAt <= MaySendUntil)
      continue;
    BOOST_TEST(!PathsThatReachedServer.contains(Each.Path));
    // The last requests find the process gone, or cross its exit.
    if (Each.Response->Result == Network::Http1CallResult::NotSent)
      continue;
    if (Each.Response->Result == Network::Http1CallResult::NoResponse) {
      BOOST_TEST((ExitedAt - Each.SentAt < ExitDelay));
      continue;
    }
    BOOST_TEST((Each.Response->Result == Network::Http1CallResult::Complete));
    BOOST_TEST(Each.Response->Status == 503);
    BOOST_TEST(
        Network::findHeader(Each.Response->Headers, "Retry-After").has_value());
    ++Refused;
  }
  BOOST_TEST(Refused > 1);
  // One whose deadline is before the stop is served until the stop.
  int Served = 0;
  for (const SentRequest &Each : Short)
    if (Each.SentAt - SignalledAt > MaySendUntil &&
        Each.Response->Status == 200)
      ++Served;
  BOOST_TEST(Served > 0);
}

// LOST: a call that waited when the grace period ended was closed without a
// status.
BOOST_AUTO_TEST_CASE(ACallThatWaitsAtTheEndOfAShutdownIsRefused) {
  RoutedCluster Fixture;
  Fixture.ShutdownSeconds = 1;
  // Without a state daemon the call waits for a declaration.
  Fixture.startEntryDaemon();
  BOOST_TEST(Fixture.waitUntil([&] {
    return Fixture
               .call(Fixture.readinessAddress(), "GET", "/sycamorereach/ready")
               .Status == 503;
  }));
  const auto Response = Fixture.startRequest("/a/x");
  Fixture.call(Fixture.readinessAddress(), "GET", "/sycamorereach/ready");
  Fixture.process("entry").signal(SIGTERM);
  BOOST_TEST(Fixture.waitUntil([&] { return Response->Done; }));
  BOOST_TEST((Response->Result == Network::Http1CallResult::Complete));
  BOOST_TEST(Response->Status == 503);
  BOOST_TEST(Response->Body.find("shutting_down") != std::string::npos);
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.process("entry").hasExited(); }));
}

// LOST: a call whose server had not answered when the grace period ended was
// closed without a status. The server may have executed it.
BOOST_AUTO_TEST_CASE(ACallThatRunsAtTheEndOfAShutdownIsAnswered) {
  RoutedCluster Fixture;
  Fixture.ShutdownSeconds = 1;
  Fixture.startAll();
  Fixture.OnServerRequest =
      [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        // The server never responds.
        Exchange->onCallerDisconnected([Exchange] {});
        Fixture.process("entry").signal(SIGTERM);
      };
  const RoutedResponse Response = Fixture.request("/a/once/x");
  BOOST_TEST((Response.Result == Network::Http1CallResult::Complete));
  BOOST_TEST(Response.Status == 502);
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.process("entry").hasExited(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
