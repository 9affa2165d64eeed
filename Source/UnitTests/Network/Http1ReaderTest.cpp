#include "Network/Http1Reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace UnitTests {

namespace {

using Network::Http1Reader;
using State = Http1Reader::State;

struct RequestCase {
  const char *Description;
  std::string Bytes;
  State Expected;
};

/// Feeds Bytes at once, or byte by byte, until the message ends.
State readAll(Http1Reader &Reader, const std::string &Bytes, bool ByteByByte) {
  std::size_t Offset = 0;
  while (Offset < Bytes.size() && Reader.state() == State::NeedsMore) {
    const std::size_t Length = ByteByByte ? 1 : Bytes.size() - Offset;
    const std::size_t Consumed =
        Reader.feed(std::string_view(Bytes).substr(Offset, Length));
    if (Consumed == 0)
      break;
    Offset += Consumed;
  }
  return Reader.state();
}

const std::vector<RequestCase> RequestCases = {
    {"a request without a body", "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n",
     State::Complete},
    {"a body with a length",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
     State::Complete},
    {"a chunked body",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n0\r\n\r\n",
     State::Complete},
    {"an incomplete body",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab",
     State::NeedsMore},
    {"two different lengths",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
     "Content-Length: 4\r\n\r\nabcd",
     State::Malformed},
    {"two equal lengths",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
     "Content-Length: 3\r\n\r\nabc",
     State::Malformed},
    {"a length and chunked encoding",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     State::Malformed},
    {"an encoding other than chunked",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n",
     State::Malformed},
    {"an encoding in two headers",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     State::Malformed},
    {"a folded header",
     "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n Content-Length: 9\r\n\r\n",
     State::Malformed},
    {"a space before the colon",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc",
     State::Malformed},
    {"a negative length",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\nabc",
     State::Malformed},
    {"an invalid chunk size",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "zz\r\nabc\r\n0\r\n\r\n",
     State::Malformed},
    {"an upgrade",
     "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
     "Upgrade: websocket\r\n\r\n",
     State::Malformed},
    {"not an HTTP request", "hello\r\n\r\n", State::Malformed},
    {"headers too large",
     "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a') + "\r\n\r\n",
     State::HeadersTooLarge},
    {"body too large",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n",
     State::BodyTooLarge},
    {"chunked body too large",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "7d0\r\n" +
         std::string(2000, 'a') + "\r\n0\r\n\r\n",
     State::BodyTooLarge}};

} // namespace

BOOST_AUTO_TEST_SUITE(Http1Reader_)

BOOST_AUTO_TEST_CASE(ParsesOrRejectsRequests) {
  for (const RequestCase &Each : RequestCases)
    for (const bool ByteByByte : {false, true}) {
      Http1Reader Reader(Http1Reader::Kind::Requests, {1000, 1000});
      BOOST_TEST_CONTEXT(Each.Description
                         << (ByteByByte ? ", byte by byte" : ""))
      BOOST_CHECK(readAll(Reader, Each.Bytes, ByteByByte) == Each.Expected);
    }
}

BOOST_AUTO_TEST_CASE(KeepsTargetAndHeadersUnchanged) {
  Http1Reader Reader(Http1Reader::Kind::Requests, {});
  readAll(Reader,
          "GET //a/%2F/..?q=%20&&x HTTP/1.1\r\nHost: h\r\n"
          "X-Odd:  two  words \r\n\r\n",
          true);
  BOOST_REQUIRE(Reader.state() == State::Complete);
  BOOST_TEST(Reader.head().Target == "//a/%2F/..?q=%20&&x");
  BOOST_TEST(*Network::findHeader(Reader.head().Headers, "x-odd") ==
             "two  words ");
}

// Guards against a trailer that arrives together with the head being taken for
// a header field, by which a server could mark a request as not executed.
BOOST_AUTO_TEST_CASE(TrailersAreNoHeaders) {
  for (const bool ByteByByte : {false, true}) {
    Http1Reader Reader(Http1Reader::Kind::Responses, {});
    const std::string Bytes =
        "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
        "3\r\nabc\r\n0\r\nX-Trailer: 1\r\nRetry-After: 9\r\n\r\n";
    BOOST_CHECK(readAll(Reader, Bytes, ByteByByte) == State::Complete);
    BOOST_TEST(Reader.takeBody() == "abc");
    BOOST_TEST(Reader.head().Headers.size() == 2u);
    BOOST_TEST(!Network::findHeader(Reader.head().Headers, "X-Trailer"));
    BOOST_TEST(*Network::findHeader(Reader.head().Headers, "A") == "b");
  }
}

BOOST_AUTO_TEST_CASE(StopsAtEndOfMessage) {
  Http1Reader Reader(Http1Reader::Kind::Requests, {});
  const std::string First = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string Second = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_TEST(Reader.feed(First + Second) == First.size());
  BOOST_TEST(Reader.head().Target == "/1");
  Reader.reset();
  BOOST_TEST(Reader.feed(Second) == Second.size());
  BOOST_TEST(Reader.head().Target == "/2");
}

BOOST_AUTO_TEST_CASE(ConnectionEndCompletesResponseWithoutLength) {
  Http1Reader Reader(Http1Reader::Kind::Responses, {});
  Reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_CHECK(Reader.state() == State::NeedsMore);
  BOOST_TEST(Reader.head().CloseDelimited);
  BOOST_TEST(Reader.takeBody() == "abc");
  BOOST_TEST(Reader.handleConnectionEnd());
}

BOOST_AUTO_TEST_CASE(EarlyConnectionEndLeavesResponseIncomplete) {
  Http1Reader Reader(Http1Reader::Kind::Responses, {});
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  BOOST_TEST(!Reader.handleConnectionEnd());
  Http1Reader Chunked(Http1Reader::Kind::Responses, {});
  Chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n");
  BOOST_TEST(!Chunked.handleConnectionEnd());
}

BOOST_AUTO_TEST_CASE(ResponseToHeadRequestHasNoBody) {
  Http1Reader Reader(Http1Reader::Kind::Responses, {});
  Reader.expectNoBody(true);
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  BOOST_CHECK(Reader.state() == State::Complete);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
