#include "FaultTests/RoutedCluster.h"
#include "FaultTests/RoutedRawServer.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <set>

// What a server in trouble sends instead of an answer reaches no caller, and
// proves nothing about the request or the server.
namespace FaultTests {

namespace {

using namespace std::chrono_literals;

/// What a server sends in place of the answer to the request of this id.
using BrokenAnswer = std::function<std::string(const std::string &RequestId)>;

/// A response without a length that begins with the head of its request, and
/// whose connection is reset after a delay, while the body of the request is
/// not read.
struct EarlyAnswer {
  /// Whether the stream from the server ends in an orderly way before that.
  bool HalfClosed = false;
  Common::Duration ResetAfter{};
};

/// Within the limit of a request, and more than sockets buffer.
constexpr std::size_t LargeUploadBytes = 4'000'000;

constexpr const char *ProperBody = "proper";
constexpr const char *FirstEvent = "id: 1\ndata: a\n\n";
constexpr const char *SecondEvent = "id: 2\ndata: b\n\n";
constexpr const char *ProperEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr std::array Routes = {"/a/", "/a/once/", "/a/flow/"};

bool isStream(const std::string &Target) {
  return Target.find("/flow/") != std::string::npos;
}

/// A complete response whose status line, fields and body are given. It is
/// signed and names the request; Fields are further header lines.
std::string responseTo(const std::string &RequestId,
                       const std::string &StatusLine,
                       const std::string &Fields = "") {
  return StatusLine + "\r\nX-Sycamorereach-Request-Id: " + RequestId +
         "\r\nX-Sycamorereach-Replica-Signature: signed\r\n" + Fields +
         "Content-Length: 6\r\n\r\nbroken";
}

/// Servers that send a broken answer to a request the first time that it
/// arrives at either of them, and a proper one after that.
class BreakingServers {
public:
  explicit BreakingServers(RoutedCluster &Cluster) : Cluster(Cluster) {
    for (const char *Ip : Ips) {
      this->Servers.push_back(std::make_unique<RoutedRawServer>(
          Cluster.loop(), RoutedCluster::serverAddress(Ip)));
      RoutedRawServer *const Server = this->Servers.back().get();
      Server->OnHead = [this, Server](const RoutedRawServer::Arrival &Arrived) {
        if (this->Early && this->Sends[Arrived.RequestId] == 0)
          this->answerEarly(*Server, Arrived);
      };
      Server->OnRequest = [this,
                           Server](const RoutedRawServer::Arrival &Arrived) {
        this->answer(*Server, Arrived);
      };
    }
    Cluster.announce("draining");
    BOOST_REQUIRE(this->Cluster.waitUntil([&] {
      this->announceAll();
      return this->Cluster.request("/a/").Body == ProperBody;
    }));
  }

  /// Sends requests to Path until one has reached a server, and returns the
  /// response to that one.
  RoutedResponse request(const std::string &Path, int &Arrivals) {
    std::shared_ptr<RoutedResponse> Response;
    BOOST_REQUIRE(this->Cluster.waitUntil([&] {
      if (Response && !Response->Done)
        return false;
      if (Response && this->Sends.count(this->lastId()) != 0)
        return true;
      if (Response)
        this->announceAll();
      Response = this->start(Path);
      return false;
    }));
    Arrivals = this->Sends[this->lastId()];
    return *Response;
  }

  /// Sends one request to Path and returns the response.
  RoutedResponse requestOnce(const std::string &Path) {
    const auto Response = this->start(Path);
    BOOST_REQUIRE(this->Cluster.waitUntil([&] { return Response->Done; }));
    return *Response;
  }

  /// Servers that have sent a broken answer.
  std::size_t reachedServers() const { return this->Broke.size(); }

  BrokenAnswer Broken;
  /// Sent instead of Broken if it is set.
  std::optional<EarlyAnswer> Early;
  std::string RequestBody = "body";

private:
  static constexpr std::array Ips = {"127.0.8.40", "127.0.8.41", "127.0.8.42"};

  std::string lastId() const {
    return "broken-" + std::to_string(this->LastRequest);
  }

  std::shared_ptr<RoutedResponse> start(const std::string &Path) {
    ++this->LastRequest;
    return this->Cluster.startCall(
        this->Cluster.entryAddress(), "POST", Path, this->RequestBody,
        {{"X-Sycamorereach-Request-Id", this->lastId()},
         {"X-Sycamorereach-Request-Deadline", "3000"},
         {"Authorization", "Bearer key-1"}});
  }

  void announceAll() {
    for (std::size_t I = 0; I < Ips.size(); ++I)
      this->Cluster.announceAt("breaking-" + std::to_string(I), Ips[I]);
  }

  void answer(RoutedRawServer &Server,
              const RoutedRawServer::Arrival &Arrived) {
    if (this->Sends[Arrived.RequestId]++ == 0 && this->Broken) {
      this->Broke.insert(&Server);
      Server.send(Arrived.Connection, this->Broken(Arrived.RequestId));
    } else if (isStream(Arrived.Head.Target))
      this->sendStream(Server, Arrived);
    else
      Server.send(Arrived.Connection,
                  RawResponse::success(Arrived.RequestId, ProperBody));
  }

  void answerEarly(RoutedRawServer &Server,
                   const RoutedRawServer::Arrival &Arrived) {
    ++this->Sends[Arrived.RequestId];
    const auto Connection = Arrived.Connection;
    Server.stopReading(Connection);
    Server.send(Connection,
                RawResponse::streamHead(Arrived.RequestId) +
                    (isStream(Arrived.Head.Target) ? FirstEvent : "part"));
    if (this->Early->HalfClosed)
      Server.endWriting(Connection);
    this->Timers.push_back(this->Cluster.loop().callAfter(
        this->Early->ResetAfter,
        [&Server, Connection] { Server.reset(Connection); }));
  }

  void sendStream(RoutedRawServer &Server,
                  const RoutedRawServer::Arrival &Arrived) {
    const bool Resumed =
        Network::findHeader(Arrived.Head.Headers, "Last-Event-Id").has_value();
    Server.send(Arrived.Connection, RawResponse::streamHead(Arrived.RequestId) +
                                        (Resumed ? SecondEvent : ProperEvents));
    this->Cluster.loop().defer([&Server, Connection = Arrived.Connection] {
      Server.close(Connection);
    });
  }

  RoutedCluster &Cluster;
  std::vector<std::unique_ptr<RoutedRawServer>> Servers;
  /// How often each request has arrived.
  std::map<std::string, int> Sends;
  std::set<const RoutedRawServer *> Broke;
  int LastRequest = 0;
  std::vector<Network::EventHandle> Timers;
};

/// Checks that the caller of a request whose first server sent Broken got the
/// proper answer of a second one, or a failure if it may not be repeated.
void checkOnAllRoutes(BreakingServers &Servers, const std::string &Description,
                      const BrokenAnswer &Broken) {
  Servers.Broken = Broken;
  for (const std::string Path : Routes)
    BOOST_TEST_CONTEXT(Description << ", " << Path) {
      int Arrivals = 0;
      const RoutedResponse Response = Servers.request(Path, Arrivals);
      BOOST_CHECK(Response.Result == Network::Http1CallResult::Complete);
      if (Path == "/a/once/") {
        BOOST_TEST(Response.Status == 502);
        BOOST_TEST(Arrivals == 1);
        continue;
      }
      BOOST_TEST(Response.Status == 200);
      BOOST_TEST(Response.Body == (isStream(Path) ? ProperEvents : ProperBody));
      BOOST_TEST(Arrivals == 2);
    }
}

RoutedCluster &startedCluster(RoutedCluster &Cluster) {
  Cluster.RetryRatio = 100;
  Cluster.startAll();
  return Cluster;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedBrokenAnswers)

// Guards against MIXED: a status line that is none of HTTP/1.x was passed on
// with its body.
BOOST_AUTO_TEST_CASE(AStatusThatIsNoneReachesNoCaller) {
  RoutedCluster Fixture;
  BreakingServers Servers(startedCluster(Fixture));
  for (const std::string StatusLine :
       {"HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 99 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK", "HTTP/2.0 200 OK",
        "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x01K"})
    checkOnAllRoutes(Servers, StatusLine, [&](const std::string &Id) {
      return responseTo(Id, StatusLine);
    });
  BOOST_TEST(Fixture.log("entry").find("event=malformed_answer") !=
             std::string::npos);
}

// Guards against TWICE: a mark that says "not executed" in what is no answer
// let a request that may run only once be sent to a second server.
BOOST_AUTO_TEST_CASE(AMarkInWhatIsNoAnswerProvesNothing) {
  RoutedCluster Fixture;
  BreakingServers Servers(startedCluster(Fixture));
  for (const std::string StatusLine :
       {"HTTP/1.1 000 Busy", "HTTP/1.1 50 Busy", "HTTP/1.1 0503 Busy",
        "HTTP/1.1 999 Busy", "HTTP/3.0 503 Busy"})
    checkOnAllRoutes(Servers, StatusLine, [&](const std::string &Id) {
      return responseTo(Id, StatusLine,
                        "X-Sycamorereach-Not-Executed: full\r\n"
                        "Retry-After: 3\r\nServer-Leaving: 1\r\n");
    });
}

// Guards against MIXED: a line whose field name is no token was passed on, or
// changed where the body ends.
BOOST_AUTO_TEST_CASE(AFieldNameThatIsNoTokenReachesNoCaller) {
  RoutedCluster Fixture;
  BreakingServers Servers(startedCluster(Fixture));
  for (const std::string Field :
       {"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", "X\x01Odd: 1", "X-Odd\x7f: 1",
        ": 1", "X-Odd", "Content-Length : 3", "Content Length: 3",
        "Transfer-Encoding : chunked"})
    checkOnAllRoutes(Servers, Field, [&](const std::string &Id) {
      return responseTo(Id, "HTTP/1.1 200 OK", Field + "\r\n");
    });
}

// Guards against MIXED: part of a body without a length was passed on as the
// whole, although its connection was reset while the upload was still being
// written.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsResetDuringAnUploadIsIncomplete) {
  RoutedCluster Fixture;
  BreakingServers Servers(startedCluster(Fixture));
  Servers.RequestBody = std::string(LargeUploadBytes, 'u');
  for (const bool HalfClosed : {false, true})
    for (const auto Delay : {1ms, 20ms, 300ms}) {
      Servers.Early = EarlyAnswer{HalfClosed, Delay};
      checkOnAllRoutes(Servers,
                       std::string(HalfClosed ? "half-closed, " : "") +
                           "reset after " + std::to_string(Delay.count()) +
                           " ms",
                       nullptr);
    }
}

// Guards against sound requests being refused because what their servers sent
// in place of an answer was taken for the crash of each server.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsNoneIsNoCrash) {
  RoutedCluster Fixture;
  BreakingServers Servers(startedCluster(Fixture));
  Servers.RequestBody = "the same content";
  Servers.Broken = [](const std::string &Id) {
    return responseTo(Id, "HTTP/1.1 000 OK");
  };
  int Arrivals = 0;
  while (Servers.reachedServers() < 3)
    BOOST_TEST(Servers.request("/a/once/", Arrivals).Status == 502);
  Servers.Broken = nullptr;
  // Longer than a report takes to the leader, and its decision back.
  const Common::TimePoint End = Fixture.loop().now() + 2s;
  while (Fixture.loop().now() < End)
    BOOST_TEST(Servers.requestOnce("/a/once/").Body == ProperBody);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
