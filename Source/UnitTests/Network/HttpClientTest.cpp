#include "Network/HttpClient.h"

#include "Network/HttpServer.h"
#include "Network/SocketAddress.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Network;

const Address Where{"127.0.0.1", 20'990};

/// What a bad server does with a connection.
enum class Misdeed {
  CloseAtOnce,
  ReadThenClose,
  ReadThenReset,
  HalfAnAnswer,
  /// Answers the first request, closes on the second.
  CloseKeptAlive,
};

/// Counts the requests that reach it and behaves badly.
class BadServer {
public:
  BadServer(EventLoop &Loop, Misdeed What) : Loop(Loop), What(What) {
    this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int On = 1;
    setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Bound = toSocketAddress(Where);
    BOOST_REQUIRE(bind(this->Listener,
                       reinterpret_cast<const sockaddr *>(&Bound),
                       sizeof(Bound)) == 0);
    BOOST_REQUIRE(listen(this->Listener, 16) == 0);
    this->Acceptable =
        Loop.onReadable(this->Listener, [this] { this->acceptOne(); });
  }
  ~BadServer() {
    this->Acceptable.cancel();
    close(this->Listener);
  }

  int requests() const { return this->Requests; }

private:
  void acceptOne() {
    const int Descriptor = accept(this->Listener, nullptr, nullptr);
    if (this->What == Misdeed::CloseAtOnce) {
      close(Descriptor);
      return;
    }
    this->Readable.push_back(this->Loop.onReadable(
        Descriptor, [this, Descriptor] { this->read(Descriptor); }));
  }

  void read(int Descriptor) {
    char Buffer[4096];
    const ssize_t Size = recv(Descriptor, Buffer, sizeof(Buffer), 0);
    const bool Request = Size > 0;
    this->Requests += Request ? 1 : 0;
    if (Request && this->What == Misdeed::CloseKeptAlive &&
        this->Requests == 1) {
      const std::string Good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      send(Descriptor, Good.data(), Good.size(), MSG_NOSIGNAL);
      return;
    }
    if (Request && this->What == Misdeed::HalfAnAnswer) {
      const std::string Half = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
      send(Descriptor, Half.data(), Half.size(), MSG_NOSIGNAL);
    }
    if (this->What == Misdeed::ReadThenReset) {
      const linger Hard{1, 0};
      setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    }
    this->Loop.defer([this, Descriptor] {
      this->Readable.clear();
      close(Descriptor);
    });
  }

  EventLoop &Loop;
  Misdeed What;
  int Listener = -1;
  int Requests = 0;
  EventHandle Acceptable;
  std::vector<EventHandle> Readable;
};

CallResult post(EventLoop &Loop, HttpClient &Http, ConnectionUse Use) {
  HttpCall Call;
  Call.To = Where;
  Call.Timeout = 5s;
  Call.Use = Use;
  Call.Request.Method = HttpMethod::Post;
  Call.Request.Target = "/reserve";
  Call.Request.Body = "{}";
  std::optional<CallResult> Result;
  HttpCallHandlers Handle;
  Handle.OnDone = [&](CallResult How, const HttpAnswer &) { Result = How; };
  Http.start(std::move(Call), std::move(Handle));
  while (!Result)
    Loop.runOnce(10ms);
  // Time for a repeat, should there be one.
  for (int I = 0; I < 20; ++I)
    Loop.runOnce(5ms);
  return *Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

/// A call that may not be repeated is never sent twice, by evhttp either, and
/// counts as not sent only when nothing was written.
BOOST_AUTO_TEST_CASE(lostCallsAreNeverRepeated) {
  for (const Misdeed What : {Misdeed::CloseAtOnce, Misdeed::ReadThenClose,
                             Misdeed::ReadThenReset, Misdeed::HalfAnAnswer}) {
    const auto Loop = *EventLoop::create();
    BadServer Server(*Loop, What);
    HttpClient Http(*Loop);
    const CallResult Result = post(*Loop, Http, ConnectionUse::Fresh);
    BOOST_TEST((Result == CallResult::Lost), int(What));
    BOOST_TEST(Server.requests() == (What == Misdeed::CloseAtOnce ? 0 : 1));
  }
}

BOOST_AUTO_TEST_CASE(closedKeptAliveConnectionIsNotRepeatedEither) {
  const auto Loop = *EventLoop::create();
  BadServer Server(*Loop, Misdeed::CloseKeptAlive);
  HttpClient Http(*Loop);
  BOOST_TEST(
      (post(*Loop, Http, ConnectionUse::Pooled) == CallResult::Answered));
  BOOST_TEST((post(*Loop, Http, ConnectionUse::Pooled) == CallResult::Lost));
  BOOST_TEST(Server.requests() == 2);
}

BOOST_AUTO_TEST_CASE(refusedConnectionProvesThatNothingWasSent) {
  const auto Loop = *EventLoop::create();
  HttpClient Http(*Loop);
  BOOST_TEST((post(*Loop, Http, ConnectionUse::Fresh) == CallResult::NotSent));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
