#include "Network/Http1Reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace UnitTests {

namespace {

using Network::Http1Reader;
using State = Http1Reader::State;

struct Row {
  const char *What;
  std::string Bytes;
  State Expected;
};

/// Feeds all of Bytes at once, or byte by byte.
State readAll(Http1Reader &Reader, const std::string &Bytes, bool Split) {
  std::size_t At = 0;
  while (At < Bytes.size() && Reader.state() == State::NeedsMore) {
    const std::size_t Length = Split ? 1 : Bytes.size() - At;
    const std::size_t Taken =
        Reader.feed(std::string_view(Bytes).substr(At, Length));
    if (Taken == 0)
      break;
    At += Taken;
  }
  return Reader.state();
}

const std::vector<Row> Requests = {
    {"a plain request", "GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n",
     State::Complete},
    {"a body with a length",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
     State::Complete},
    {"a body in chunks",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n0\r\n\r\n",
     State::Complete},
    {"half a body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab",
     State::NeedsMore},
    {"two lengths",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
     "Content-Length: 4\r\n\r\nabcd",
     State::Malformed},
    {"two equal lengths",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
     "Content-Length: 3\r\n\r\nabc",
     State::Malformed},
    {"a length beside chunks",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     State::Malformed},
    {"an encoding that is not chunked",
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
    {"a chunk of a wrong size",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "zz\r\nabc\r\n0\r\n\r\n",
     State::Malformed},
    {"an upgrade",
     "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
     "Upgrade: websocket\r\n\r\n",
     State::Malformed},
    {"no request", "hello\r\n\r\n", State::Malformed},
    {"large headers",
     "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a') + "\r\n\r\n",
     State::HeadersTooLarge},
    {"a large body",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n",
     State::BodyTooLarge},
    {"large chunks",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "7d0\r\n" +
         std::string(2000, 'a') + "\r\n0\r\n\r\n",
     State::BodyTooLarge}};

} // namespace

BOOST_AUTO_TEST_SUITE(Http1Reader_)

BOOST_AUTO_TEST_CASE(RequestsAreReadOrRefusedWholeAndByteByByte) {
  for (const Row &Each : Requests)
    for (const bool Split : {false, true}) {
      Http1Reader Reader(Http1Reader::Kind::Requests, {1000, 1000});
      BOOST_TEST_CONTEXT(Each.What << (Split ? ", split" : ""))
      BOOST_CHECK(readAll(Reader, Each.Bytes, Split) == Each.Expected);
    }
}

BOOST_AUTO_TEST_CASE(TargetAndHeadersAreKeptByteForByte) {
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

BOOST_AUTO_TEST_CASE(BytesBehindAMessageStayWithTheCaller) {
  Http1Reader Reader(Http1Reader::Kind::Requests, {});
  const std::string First = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string Second = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_TEST(Reader.feed(First + Second) == First.size());
  BOOST_TEST(Reader.head().Target == "/1");
  Reader.reset();
  BOOST_TEST(Reader.feed(Second) == Second.size());
  BOOST_TEST(Reader.head().Target == "/2");
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutLengthEndsOnlyInAnOrderlyWay) {
  Http1Reader Reader(Http1Reader::Kind::Answers, {});
  Reader.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_CHECK(Reader.state() == State::NeedsMore);
  BOOST_TEST(Reader.head().EndsWithConnection);
  BOOST_TEST(Reader.takeBody() == "abc");
  BOOST_TEST(Reader.endOfConnection());
}

BOOST_AUTO_TEST_CASE(AnAnswerThatEndsEarlyIsNotComplete) {
  Http1Reader Reader(Http1Reader::Kind::Answers, {});
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  BOOST_TEST(!Reader.endOfConnection());
  Http1Reader Chunked(Http1Reader::Kind::Answers, {});
  Chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3\r\nabc\r\n");
  BOOST_TEST(!Chunked.endOfConnection());
}

BOOST_AUTO_TEST_CASE(TheAnswerToAHeadRequestHasNoBody) {
  Http1Reader Reader(Http1Reader::Kind::Answers, {});
  Reader.expectNoBody(true);
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  BOOST_CHECK(Reader.state() == State::Complete);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
