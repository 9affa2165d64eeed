#include "Network/HttpClient.h"

#include "Network/HttpServer.h"
#include "Network/RawPeer.h"
#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Network;

const Address ServerAddress = allocateAddress();

/// How a faulty server treats a connection.
enum class ServerFault {
  CloseOnAccept,
  ReadThenClose,
  ReadThenReset,
  TruncateResponse,
  /// Responds to the first request and closes the connection on the second.
  CloseOnSecondRequest,
};

/// Counts the requests that it receives and shows the given fault.
class FaultyServer {
public:
  FaultyServer(EventLoop &Loop, ServerFault Fault) : Loop(Loop), Fault(Fault) {
    this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int On = 1;
    setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Endpoint = toSocketAddress(ServerAddress);
    BOOST_REQUIRE(bind(this->Listener,
                       reinterpret_cast<const sockaddr *>(&Endpoint),
                       sizeof(Endpoint)) == 0);
    BOOST_REQUIRE(listen(this->Listener, 16) == 0);
    this->AcceptEvent =
        Loop.onReadable(this->Listener, [this] { this->acceptOne(); });
  }
  ~FaultyServer() {
    this->AcceptEvent.cancel();
    close(this->Listener);
  }

  int requests() const { return this->Requests; }

private:
  void acceptOne() {
    const int Descriptor = accept(this->Listener, nullptr, nullptr);
    if (this->Fault == ServerFault::CloseOnAccept) {
      close(Descriptor);
      return;
    }
    this->ReadEvents.push_back(this->Loop.onReadable(
        Descriptor, [this, Descriptor] { this->read(Descriptor); }));
  }

  void read(int Descriptor) {
    char Buffer[4096];
    const ssize_t Size = recv(Descriptor, Buffer, sizeof(Buffer), 0);
    const bool HasRequest = Size > 0;
    this->Requests += HasRequest ? 1 : 0;
    if (HasRequest && this->Fault == ServerFault::CloseOnSecondRequest &&
        this->Requests == 1) {
      const std::string Response =
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      send(Descriptor, Response.data(), Response.size(), MSG_NOSIGNAL);
      return;
    }
    if (HasRequest && this->Fault == ServerFault::TruncateResponse) {
      const std::string Truncated =
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
      send(Descriptor, Truncated.data(), Truncated.size(), MSG_NOSIGNAL);
    }
    if (this->Fault == ServerFault::ReadThenReset) {
      const linger ResetOnClose{1, 0};
      setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &ResetOnClose,
                 sizeof(ResetOnClose));
    }
    this->Loop.defer([this, Descriptor] {
      this->ReadEvents.clear();
      close(Descriptor);
    });
  }

  EventLoop &Loop;
  ServerFault Fault;
  int Listener = -1;
  int Requests = 0;
  EventHandle AcceptEvent;
  std::vector<EventHandle> ReadEvents;
};

HttpCallResult post(EventLoop &Loop, HttpClient &Http, ConnectionPolicy Policy,
                    const Address &To = ServerAddress) {
  HttpCall Call;
  Call.To = To;
  Call.Timeout = 5s;
  Call.Policy = Policy;
  Call.Request.Method = HttpMethod::Post;
  Call.Request.Target = "/reserve";
  Call.Request.Body = "{}";
  std::optional<HttpCallResult> Result;
  HttpCallHandlers Handlers;
  Handlers.OnDone = [&](HttpCallResult CallResult, const HttpResponse &) {
    Result = CallResult;
  };
  Http.start(std::move(Call), std::move(Handlers));
  while (!Result)
    Loop.runOnce(10ms);
  // Leave time for an unwanted retry.
  for (int I = 0; I < 20; ++I)
    Loop.runOnce(5ms);
  return *Result;
}

std::string answer(const std::string &StatusLine, const std::string &Body) {
  return absl::StrCat("HTTP/1.1 ", StatusLine,
                      "\r\nContent-Length: ", Body.size(), "\r\n\r\n", Body);
}

const std::string Refusal = answer("503 Service Unavailable", "refused");
const std::string Success = answer("200 OK", "done");

/// Makes a call with the default policy; returns status and body.
std::string get(EventLoop &Loop, HttpClient &Http, const Address &To) {
  HttpCall Call;
  Call.To = To;
  Call.Timeout = 2s;
  Call.Request.Target = "/work";
  std::optional<std::string> Outcome;
  HttpCallHandlers Handlers;
  Handlers.OnDone = [&](HttpCallResult, const HttpResponse &Response) {
    Outcome = absl::StrCat(Response.Status, " ", Response.Body);
  };
  Http.start(std::move(Call), std::move(Handlers));
  runUntil(Loop, [&] { return Outcome.has_value(); });
  return Outcome.value_or("no outcome");
}

/// Closed connections to a server that still hold their local port.
int heldPorts(const Address &To) {
  const sockaddr_in Endpoint = toSocketAddress(To);
  const std::string Remote =
      absl::StrFormat("%08X:%04X", Endpoint.sin_addr.s_addr, To.Port);
  constexpr int TimeWait = 6;
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  int Result = 0;
  while (std::getline(Table, Line)) {
    std::istringstream Columns(Line);
    std::string Number;
    std::string Local;
    std::string Peer;
    int State = 0;
    Columns >> Number >> Local >> Peer >> std::hex >> State;
    Result += Peer == Remote && State == TimeWait ? 1 : 0;
  }
  return Result;
}

struct AnswerCase {
  const char *Description;
  RawServer::Step Step;
  /// Status and body; "0 " if there is no answer.
  std::string Expected;
};

RawServer::Step closing(const std::string &Bytes) { return {Bytes, true}; }

const std::vector<AnswerCase> BrokenAnswers = {
    {"status 000", {answer("000 OK", "part")}, "0 "},
    {"status 20", {answer("20 OK", "part")}, "0 "},
    {"status 600", {answer("600 OK", "part")}, "0 "},
    {"status 0200", {answer("0200 OK", "part")}, "0 "},
    {"status 200x", {answer("200x OK", "part")}, "0 "},
    {"a signed status", {answer("+200 OK", "part")}, "0 "},
    {"two spaces ahead of the status", {answer(" 200 OK", "part")}, "0 "},
    {"no status", closing("HTTP/1.1\r\n\r\npart"), "0 "},
    {"HTTP/0.9", closing("HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\npart"),
     "0 "},
    {"a name with a space",
     {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\npart"},
     "0 "},
    {"a space behind a name",
     closing("HTTP/1.1 200 OK\r\nContent-Length : 9\r\n\r\npart"), "0 "},
    {"a name with a control character",
     {"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 4\r\n\r\npart"},
     "0 "},
    {"an empty name",
     {"HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 4\r\n\r\npart"},
     "0 "},
    {"two lengths",
     {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 6\r\n\r\n"
      "partly"},
     "0 "},
    {"a length with a sign",
     {"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\npart"},
     "0 "},
    {"an unknown coding",
     closing("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
             "4\r\npart\r\n0\r\n\r\n"),
     "0 "},
    {"a chunk with two sizes",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4 4\r\npart\r\n0\r\n\r\n"},
     "0 "},
    {"a chunk that is too long",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\npart\r\n0\r\n\r\n"},
     "0 "},
    {"a change of protocol", {answer("101 Switching", "part")}, "0 "}};

const std::vector<AnswerCase> ProperAnswers = {
    {"no length, connection closed", closing("HTTP/1.1 200 OK\r\n\r\nwhole"),
     "200 whole"},
    {"no length, although the connection would stay open",
     closing("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nwhole"),
     "200 whole"},
    {"HTTP/1.0", closing("HTTP/1.0 200 OK\r\n\r\nwhole"), "200 whole"},
    {"no reason phrase",
     {"HTTP/1.1 404\r\nContent-Length: 5\r\n\r\nwhole"},
     "404 whole"},
    {"interim responses",
     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n"
      "\r\n" +
      Success},
     "200 done"},
    {"a chunk with an extension",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;a=b\r\nwhole\r\n0\r\n\r\n"},
     "200 whole"},
    {"trailers",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\nA: b\r\n\r\n"},
     "200 whole"},
    {"no body", {"HTTP/1.1 204 No Content\r\n\r\n"}, "204 "},
    {"a status 599", {answer("599 Odd", "whole")}, "599 whole"}};

void checkAnswers(const std::vector<AnswerCase> &Cases) {
  for (const AnswerCase &Each : Cases) {
    const auto Loop = *EventLoop::create();
    RawServer Server(*Loop, {Each.Step});
    HttpClient Http(*Loop);
    BOOST_TEST_CONTEXT(Each.Description)
    BOOST_TEST(get(*Loop, Http, Server.address()) == Each.Expected);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against what is no answer being passed on to the callers of plain
// services and models, and being kept in the journal.
BOOST_AUTO_TEST_CASE(WhatIsNoAnswerIsNotPassedOn) {
  checkAnswers(BrokenAnswers);
}

BOOST_AUTO_TEST_CASE(ProperAnswersAreComplete) { checkAnswers(ProperAnswers); }

/// A request must be sent at most once, also by evhttp, and must be reported as
/// not sent only if nothing was written.
BOOST_AUTO_TEST_CASE(failedCallsAreNotRetried) {
  for (const ServerFault Fault :
       {ServerFault::CloseOnAccept, ServerFault::ReadThenClose,
        ServerFault::ReadThenReset, ServerFault::TruncateResponse}) {
    const auto Loop = *EventLoop::create();
    FaultyServer Server(*Loop, Fault);
    HttpClient Http(*Loop);
    const HttpCallResult Result =
        post(*Loop, Http, ConnectionPolicy::Dedicated);
    BOOST_TEST((Result == HttpCallResult::Incomplete), int(Fault));
    BOOST_TEST(Server.requests() ==
               (Fault == ServerFault::CloseOnAccept ? 0 : 1));
  }
}

/// A response that broke off must not be passed on as complete.
BOOST_AUTO_TEST_CASE(brokenResponsesAreIncomplete) {
  const std::vector<RawServer::Step> Steps = {
      // Without a length, then reset.
      {"HTTP/1.1 200 OK\r\n\r\nok", false, true},
      // Closed before the last chunk, and within a chunk.
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", true}};
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    const auto Loop = *EventLoop::create();
    RawServer Server(*Loop, {Steps[I]});
    HttpClient Http(*Loop);
    const HttpCallResult Result =
        post(*Loop, Http, ConnectionPolicy::Dedicated, Server.address());
    BOOST_TEST((Result == HttpCallResult::Incomplete), "step " << I);
    BOOST_TEST(Server.requests().size() == 1u);
  }
}

BOOST_AUTO_TEST_CASE(callOnClosedKeepAliveConnectionIsNotRetried) {
  const auto Loop = *EventLoop::create();
  FaultyServer Server(*Loop, ServerFault::CloseOnSecondRequest);
  HttpClient Http(*Loop);
  BOOST_TEST((post(*Loop, Http, ConnectionPolicy::Pooled) ==
              HttpCallResult::Complete));
  BOOST_TEST((post(*Loop, Http, ConnectionPolicy::Pooled) ==
              HttpCallResult::Incomplete));
  BOOST_TEST(Server.requests() == 2);
}

BOOST_AUTO_TEST_CASE(refusedConnectionProvesThatNothingWasSent) {
  const auto Loop = *EventLoop::create();
  HttpClient Http(*Loop);
  BOOST_TEST((post(*Loop, Http, ConnectionPolicy::Dedicated) ==
              HttpCallResult::NotSent));
}

/// A server may send a copy of its answer, at any time. It must not be taken
/// for the answer to the next request: that was perhaps executed, and its
/// caller would get what belongs to another.
BOOST_AUTO_TEST_CASE(CopyWithTheAnswerAnswersNoOtherCall) {
  const auto Loop = *EventLoop::create();
  RawServer Server(*Loop, {{Refusal + Refusal}, {Success}});
  HttpClient Http(*Loop);
  BOOST_TEST(get(*Loop, Http, Server.address()) == "503 refused");
  BOOST_TEST(get(*Loop, Http, Server.address()) == "200 done");
}

BOOST_AUTO_TEST_CASE(CopyDuringTheNextCallAnswersNoOtherCall) {
  const auto Loop = *EventLoop::create();
  RawServer Server(*Loop, {{Refusal}, {Success, false, false, false, Refusal}});
  HttpClient Http(*Loop);
  BOOST_TEST(get(*Loop, Http, Server.address()) == "503 refused");
  BOOST_TEST(get(*Loop, Http, Server.address()) == "200 done");
}

BOOST_AUTO_TEST_CASE(CopyOnAnIdleConnectionAnswersNoOtherCall) {
  for (const bool ReadWhileIdle : {true, false}) {
    const auto Loop = *EventLoop::create();
    RawServer Server(*Loop, {{Refusal}, {Success}});
    HttpClient Http(*Loop);
    BOOST_TEST(get(*Loop, Http, Server.address()) == "503 refused");
    Server.write(Refusal);
    for (int I = 0; ReadWhileIdle && I < 20; ++I)
      Loop->runOnce(5ms);
    BOOST_TEST(get(*Loop, Http, Server.address()) == "200 done",
               "read while idle: " << ReadWhileIdle);
  }
}

/// Guards against calls that fail because earlier ones have taken all ports.
BOOST_AUTO_TEST_CASE(CompletedCallsReleaseTheirPorts) {
  constexpr std::size_t Calls = 20;
  const auto Loop = *EventLoop::create();
  RawServer Server(*Loop, std::vector<RawServer::Step>(Calls, {Success}));
  HttpClient Http(*Loop);
  for (std::size_t I = 0; I < Calls; ++I)
    BOOST_TEST(get(*Loop, Http, Server.address()) == "200 done");
  BOOST_TEST(Server.connections() == Calls);
  // Until the server has seen the last connection close.
  for (int I = 0; I < 20; ++I)
    Loop->runOnce(5ms);
  BOOST_TEST(heldPorts(Server.address()) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
