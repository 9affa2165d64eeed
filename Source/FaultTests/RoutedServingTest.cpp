#include "FaultTests/RoutedCluster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

namespace FaultTests {

namespace {

constexpr const char *ReadCall = "/sycamorereach/config/read";
constexpr const char *ReplaceCall = "/sycamorereach/config/replace";

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedServing)

BOOST_AUTO_TEST_CASE(RequestsFollowTheDeclarationInForce) {
  RoutedCluster Of;
  Of.startAll();
  const RoutedReply Served = Of.ask("/a/b?c=%20d");
  BOOST_TEST(Served.Body == "served /a/b for mill");
  BOOST_TEST(Of.ask("/none/").Status == 404);
  BOOST_TEST(Of.ask("/a/b", "other-key").Status == 401);
  BOOST_TEST(Of.call(Of.ready(), "GET", "/sycamorereach/ready").Status == 200);
  // A newer declaration moves the routes; an older one and other content
  // under the same version change nothing.
  const std::string Newer = RoutedCluster::declaration(8, "/b/");
  BOOST_TEST(Of.operatorCall("POST", ReplaceCall, Newer, 200));
  BOOST_TEST(Of.await([&] { return Of.ask("/b/x").Status == 200; }));
  BOOST_TEST(Of.ask("/a/x").Status == 404);
  BOOST_TEST(Of.operatorCall("POST", ReplaceCall,
                             RoutedCluster::declaration(8, "/c/"), 200));
  BOOST_TEST(Of.operatorCall("POST", ReplaceCall,
                             RoutedCluster::declaration(5, "/d/"), 200));
  BOOST_TEST(Of.operatorCall("POST", ReplaceCall,
                             Newer.substr(0, Newer.size() / 2), 400));
  std::string Held;
  BOOST_TEST(Of.operatorCall("GET", ReadCall, "", 200, &Held));
  BOOST_TEST(Held == Newer);
  BOOST_TEST(Of.ask("/c/x").Status == 404);
}

BOOST_AUTO_TEST_CASE(AServerThatLeavesGetsNothingMore) {
  RoutedCluster Of;
  Of.startAll();
  Of.announce("draining");
  BOOST_TEST(Of.await([&] { return Of.ask("/a/x").Status == 503; }));
  const int Before = Of.Served;
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(Of.ask("/a/x").Status == 503);
  BOOST_TEST(Of.Served == Before);
}

BOOST_AUTO_TEST_CASE(WhatMayNotBeRepeatedRunsOnce) {
  RoutedCluster Of;
  Of.startAll();
  // The server runs the request and its answer is lost.
  Of.OnServed = [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    Exchange->abort();
  };
  int Before = Of.Served;
  BOOST_TEST(Of.ask("/a/once/x").Status == 502);
  BOOST_TEST(Of.Served == Before + 1);
  // A server that answers 503 without saying that it did not run the request
  // gets no promise made of it.
  Of.OnServed = [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    RoutedCluster::answer(*Exchange, 503);
  };
  Before = Of.Served;
  BOOST_TEST(Of.ask("/a/once/x").Status == 502);
  BOOST_TEST(Of.Served == Before + 1);
}

BOOST_AUTO_TEST_CASE(RequestsLeaveAServerThatFellSilent) {
  RoutedCluster Of;
  Of.startAll();
  Of.announce("ready", 2);
  const auto ServerOf = [](const Network::Http1Exchange &Exchange) {
    return Exchange.header("X-Sycamorereach-Expect-Replica").value_or("");
  };
  std::set<std::string> Seen;
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    Seen.insert(ServerOf(*Exchange));
    RoutedCluster::answer(*Exchange);
  };
  BOOST_REQUIRE(Of.await([&] {
    Of.ask("/a/x");
    return Seen.size() == 2;
  }));
  // Four requests that may be repeated and four that may not, spread over both
  // servers. One of these never says a word; its connections stay open.
  std::vector<std::shared_ptr<Network::Http1Exchange>> Held;
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    Held.push_back(Exchange);
  };
  std::vector<std::shared_ptr<RoutedReply>> Safe;
  std::vector<std::shared_ptr<RoutedReply>> Once;
  for (int I = 0; I < 4; ++I)
    Safe.push_back(Of.startAsking("/a/x"));
  for (int I = 0; I < 4; ++I)
    Once.push_back(Of.startAsking("/a/once/x"));
  BOOST_REQUIRE(Of.await([&] { return Held.size() == 8; }));
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    if (ServerOf(*Exchange) != "shop-1")
      RoutedCluster::answer(*Exchange);
  };
  int SafeLost = 0;
  int OnceLost = 0;
  for (const auto &Each : Held) {
    if (ServerOf(*Each) != "shop-1")
      RoutedCluster::answer(*Each);
    else if (Each->path() == "/a/x")
      ++SafeLost;
    else
      ++OnceLost;
  }
  BOOST_REQUIRE(SafeLost > 0);
  BOOST_REQUIRE(OnceLost > 0);
  // The other server goes on answering, which shows that it is not the entry
  // daemon that is cut off.
  const auto Done = [](const auto &Each) { return Each->Done; };
  BOOST_REQUIRE(Of.await([&] {
    Of.ask("/a/x");
    return std::all_of(Safe.begin(), Safe.end(), Done);
  }));
  for (const auto &Each : Safe)
    BOOST_TEST(Each->Status == 200);
  // What may run once stays where it may have run.
  BOOST_REQUIRE(
      Of.await([&] { return std::all_of(Once.begin(), Once.end(), Done); }));
  BOOST_TEST(std::count_if(Once.begin(), Once.end(), [](const auto &Each) {
               return Each->Status == 504;
             }) == OnceLost);
}

BOOST_AUTO_TEST_CASE(ASilentServerIsWaitedForWhileNoOtherTakesMore) {
  RoutedCluster Of;
  Of.startAll();
  Of.announce("ready", 2);
  // The second server has a stream under way and then takes nothing new.
  std::shared_ptr<Network::Http1Exchange> Stream;
  std::shared_ptr<Network::Http1Exchange> Held;
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    if (Exchange->header("X-Sycamorereach-Expect-Replica") != "shop-2") {
      RoutedCluster::answer(*Exchange);
      return;
    }
    Stream = Exchange;
    Exchange->startStream(
        200, {{"Content-Type", "text/event-stream"},
              {"X-Sycamorereach-Request-Id",
               Exchange->header("X-Sycamorereach-Request-Id").value_or("")},
              {"X-Sycamorereach-Replica-Signature", "signed"}});
  };
  std::vector<std::shared_ptr<RoutedReply>> Streams;
  BOOST_REQUIRE(Of.await([&] {
    if (!Stream)
      Streams.push_back(Of.startAsking("/a/flow/x"));
    return Stream != nullptr;
  }));
  Of.announce("draining", 2);
  int Event = 0;
  const auto Ticks =
      Of.loop().callEvery(std::chrono::milliseconds(50), [&Stream, &Event] {
        Stream->sendChunk("id: " + std::to_string(++Event) + "\ndata: a\n\n");
      });
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    Held = Exchange;
  };
  const auto Reply = Of.startAsking("/a/x");
  BOOST_REQUIRE(Of.await([&] { return Held != nullptr; }));
  // The first server says nothing for longer than it may, while the second
  // one is heard. Nobody else could answer, so the answer is waited for.
  BOOST_REQUIRE(Of.await([&] { return Event > 30 || Reply->Done; }));
  BOOST_TEST(!Reply->Done);
  RoutedCluster::answer(*Held);
  BOOST_REQUIRE(Of.await([&] { return Reply->Done; }));
  BOOST_TEST(Reply->Status == 200);
}

BOOST_AUTO_TEST_CASE(ATeamsPriorityGoesBeforeItsRoutes) {
  RoutedCluster Of;
  Of.startAll();
  std::string Priority;
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    Priority =
        Exchange->header("X-Sycamorereach-Request-Priority").value_or("");
    RoutedCluster::answer(*Exchange);
  };
  const auto Ask = [&Of](const std::string &Key) {
    return Of
        .call(Of.entry(), "POST", "/a/x", "body",
              {{"X-Sycamorereach-Request-Id", "prompt-" + Key},
               {"X-Sycamorereach-Model", "m"},
               {"X-Sycamorereach-Token-Count", "10,10"},
               {"Authorization", "Bearer " + Key}})
        .Status;
  };
  BOOST_TEST(Ask("key-1") == 200);
  BOOST_TEST(Priority == "1");
  BOOST_TEST(Ask("key-2") == 200);
  BOOST_TEST(Priority == "0");
}

BOOST_AUTO_TEST_CASE(PromptsThatWouldWaitTooLongAreRefusedAtOnce) {
  RoutedCluster Of;
  Of.startAll();
  std::vector<std::shared_ptr<Network::Http1Exchange>> Held;
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    Held.push_back(Exchange);
  };
  const auto Ask = [&Of](const std::string &Id) {
    return Of.start(Of.entry(), "POST", "/a/once/x", "body",
                    {{"X-Sycamorereach-Request-Id", Id},
                     {"X-Sycamorereach-Model", "m"},
                     {"X-Sycamorereach-Token-Count", "500000,10"},
                     {"Authorization", "Bearer key-1"}});
  };
  // The one server reads this prompt for longer than callers wait. Its own
  // length is no reason to refuse it.
  const auto First = Ask("first");
  BOOST_REQUIRE(Of.await([&] { return Held.size() == 1; }));
  const auto Second = Ask("second");
  BOOST_REQUIRE(Of.await([&] { return Second->Done; }));
  BOOST_TEST(Second->Status == 503);
  BOOST_TEST(Network::findHeader(Second->Headers, "Retry-After").has_value());
  BOOST_TEST(Held.size() == 1u);
  BOOST_TEST(!First->Done);
  RoutedCluster::answer(*Held.front());
  BOOST_REQUIRE(Of.await([&] { return First->Done; }));
  BOOST_TEST(First->Status == 200);
}

BOOST_AUTO_TEST_CASE(AStreamThatCannotGoOnEndsItsConnection) {
  RoutedCluster Of;
  Of.startAll();
  Of.OnServed = [&Of](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    Exchange->startStream(
        200, {{"Content-Type", "text/event-stream"},
              {"X-Sycamorereach-Request-Id",
               Exchange->header("X-Sycamorereach-Request-Id").value_or("")},
              {"X-Sycamorereach-Replica-Signature", "signed"}});
    Exchange->sendChunk("id: 1\ndata: a\n\n");
    Of.loop().defer([Exchange] { Exchange->abort(); });
  };
  // There is no other server where it could be resumed.
  const RoutedReply Reply = Of.ask("/a/flow/x");
  BOOST_TEST(Reply.Status == 200);
  BOOST_TEST(Reply.Body == "id: 1\ndata: a\n\n");
  BOOST_TEST((Reply.End == Network::Http1CallResult::Truncated));
}

BOOST_AUTO_TEST_CASE(ARefusalIsNotPromisedOnceAServerRanTheRequest) {
  RoutedCluster Of;
  Of.startAll();
  Of.OnServed = [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    RoutedCluster::answer(*Exchange, 500);
  };
  Of.announce("ready", 3);
  // The one server fails, and the other one cannot be reached: 503 would say
  // that the request did not run.
  BOOST_TEST(Of.await([&] {
    const int Before = Of.Served;
    const int Status = Of.ask("/a/x").Status;
    BOOST_TEST(Status != 503);
    return Status == 502 && Of.Served == Before + 1;
  }));
}

BOOST_AUTO_TEST_CASE(DeclarationsOutliveTheLeader) {
  RoutedCluster Of;
  Of.startAll();
  const int Leader = Of.leader();
  BOOST_REQUIRE(Leader != 0);
  Of.kill("state" + std::to_string(Leader));
  const std::string Newer = RoutedCluster::declaration(9, "/b/");
  BOOST_TEST(Of.operatorCall("POST", ReplaceCall, Newer, 200));
  BOOST_TEST(Of.await([&] { return Of.ask("/b/x").Status == 200; }));
  Of.startState(Leader, false);
  std::string Held;
  BOOST_TEST(Of.operatorCall("GET", ReadCall, "", 200, &Held));
  BOOST_TEST(Held == Newer);
}

BOOST_AUTO_TEST_CASE(ALostDiskIsReplacedBeforeTheNextOneIsLost) {
  RoutedCluster Of;
  Of.startAll();
  std::uint64_t Version = 10;
  // Each of the founders loses its disk, one after the other. The group lives
  // on only if every lost voter was replaced by one that holds everything.
  for (int Lost = 1; Lost <= 3; ++Lost) {
    Of.kill("state" + std::to_string(Lost));
    Of.wipe(Lost);
    Of.startState(Lost, false);
    for (int I = 0; I < 3; ++I)
      BOOST_TEST(Of.operatorCall("POST", ReplaceCall,
                                 RoutedCluster::declaration(++Version, "/a/"),
                                 200));
    BOOST_TEST(Of.await([&] { return Of.groupIsWhole(); }));
  }
  std::string Held;
  BOOST_TEST(Of.operatorCall("GET", ReadCall, "", 200, &Held));
  BOOST_TEST(Held == RoutedCluster::declaration(Version, "/a/"));
}

BOOST_AUTO_TEST_CASE(EverythingRestartsAtOnceAndNothingIsLost) {
  RoutedCluster Of;
  Of.startAll();
  const std::string Newer = RoutedCluster::declaration(12, "/b/");
  BOOST_TEST(Of.operatorCall("POST", ReplaceCall, Newer, 200));
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Of.kill("state" + std::to_string(I));
  Of.kill("entry");
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Of.startState(I, false);
  Of.startEntry();
  std::string Held;
  BOOST_TEST(Of.operatorCall("GET", ReadCall, "", 200, &Held));
  BOOST_TEST(Held == Newer);
  Of.announce("ready");
  BOOST_TEST(Of.await([&] { return Of.ask("/b/x").Status == 200; }));
}

BOOST_AUTO_TEST_CASE(AnEntryDaemonThatStartsServesItsFirstRequest) {
  RoutedCluster Of;
  Of.startAll();
  Of.kill("entry");
  // Nobody answers its first poll until the request is there.
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Of.process("state" + std::to_string(I)).signal(SIGSTOP);
  Of.startEntry();
  BOOST_TEST(Of.await([&] {
    return Of.call(Of.ready(), "GET", "/sycamorereach/ready").Status == 503;
  }));
  const auto Thaw = Of.loop().callAfter(std::chrono::milliseconds(100), [&Of] {
    for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
      Of.process("state" + std::to_string(I)).signal(SIGCONT);
  });
  BOOST_TEST(Of.ask("/a/x").Status == 200);
}

BOOST_AUTO_TEST_CASE(KeysAreNotObeyedOnceNoLeaderStandsBehindThem) {
  RoutedCluster Of;
  Of.startAll();
  // Frozen, not killed: the entry daemon's link stays open and silent.
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Of.process("state" + std::to_string(I)).signal(SIGSTOP);
  BOOST_TEST(Of.await([&] { return Of.ask("/a/x").Status == 503; }));
  const int Before = Of.Served;
  for (int I = 0; I < 5; ++I)
    BOOST_TEST(Of.ask("/a/x").Status == 503);
  BOOST_TEST(Of.Served == Before);
  BOOST_TEST(Of.call(Of.ready(), "GET", "/sycamorereach/ready").Status == 503);
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Of.process("state" + std::to_string(I)).signal(SIGCONT);
  BOOST_TEST(Of.await([&] { return Of.ask("/a/x").Status == 200; }));
}

BOOST_AUTO_TEST_CASE(AShutdownEndsWhatItTookAndThenRefuses) {
  RoutedCluster Of;
  Of.startAll();
  std::shared_ptr<Network::Http1Exchange> Held;
  Of.OnServed = [&](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    // The signal comes while the request is at its server.
    Of.process("entry").signal(SIGTERM);
    Held = Exchange;
    Of.loop().defer([&Held] { RoutedCluster::answer(*Held); });
  };
  const RoutedReply Reply = Of.ask("/a/x");
  BOOST_TEST(Reply.Status == 200);
  BOOST_TEST(Of.await([&] {
    return Of.call(Of.ready(), "GET", "/sycamorereach/ready").Status == 503;
  }));
  BOOST_TEST(Of.await([&] { return Of.process("entry").ended(); }));
  BOOST_TEST(Of.process("entry").exitCode() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
