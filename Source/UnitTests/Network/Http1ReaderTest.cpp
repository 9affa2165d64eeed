#include "Network/Http1Reader.h"

#include "Common/Random.h"
#include "TestSeeds.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace UnitTests {

namespace {

using Network::Http1Reader;
using State = Http1Reader::State;

struct MessageCase {
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

const std::vector<MessageCase> RequestCases = {
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
    {"other bytes where a chunk ends",
     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabcXX0\r\n\r\n",
     State::Malformed},
    {"a head that ends in a carriage return only",
     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\rXabc",
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

/// A response with a body of two bytes.
std::string responseTo(const std::string &StatusLine) {
  return StatusLine + "\r\nContent-Length: 2\r\n\r\nok";
}

const std::vector<MessageCase> StatusLineCases = {
    {"a status line", responseTo("HTTP/1.1 200 OK"), State::Complete},
    {"an unregistered status", responseTo("HTTP/1.1 599 Odd"), State::Complete},
    {"HTTP/1.0", responseTo("HTTP/1.0 200 OK"), State::Complete},
    {"a later minor version", responseTo("HTTP/1.2 200 OK"), State::Complete},
    {"an empty reason phrase", responseTo("HTTP/1.1 200 "), State::Complete},
    {"no reason phrase", responseTo("HTTP/1.1 200"), State::Complete},
    {"a reason phrase outside of ASCII",
     responseTo("HTTP/1.1 404 Pas trouv\xe9"), State::Complete},
    {"a reason phrase with a tab", responseTo("HTTP/1.1 200 O\tK"),
     State::Complete},
    {"empty lines ahead", "\r\n\r\n" + responseTo("HTTP/1.1 200 OK"),
     State::Complete},
    {"lines that end in a line feed only",
     "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", State::Complete},
    {"status 000", responseTo("HTTP/1.1 000 OK"), State::Malformed},
    {"status 099", responseTo("HTTP/1.1 099 OK"), State::Malformed},
    {"status 600", responseTo("HTTP/1.1 600 OK"), State::Malformed},
    {"status 999", responseTo("HTTP/1.1 999 OK"), State::Malformed},
    {"a status of one digit", responseTo("HTTP/1.1 2 OK"), State::Malformed},
    {"a status of two digits", responseTo("HTTP/1.1 20 OK"), State::Malformed},
    {"a status of four digits", responseTo("HTTP/1.1 0200 OK"),
     State::Malformed},
    {"a negative status", responseTo("HTTP/1.1 -20 OK"), State::Malformed},
    {"no status", responseTo("HTTP/1.1 OK"), State::Malformed},
    {"two spaces ahead of the status", responseTo("HTTP/1.1  200 OK"),
     State::Malformed},
    {"a tab ahead of the status", responseTo("HTTP/1.1\t200 OK"),
     State::Malformed},
    {"a tab behind the status", responseTo("HTTP/1.1 200\tOK"),
     State::Malformed},
    {"a control character in the reason phrase",
     responseTo("HTTP/1.1 200 O\x01K"), State::Malformed},
    {"HTTP/2.0", responseTo("HTTP/2.0 200 OK"), State::Malformed},
    {"HTTP/0.9", responseTo("HTTP/0.9 200 OK"), State::Malformed},
    {"a minor version of two digits", responseTo("HTTP/1.10 200 OK"),
     State::Malformed},
    {"a lower-case protocol", responseTo("http/1.1 200 OK"), State::Malformed},
    {"another protocol", responseTo("ICY 200 OK"), State::Malformed},
    {"a space ahead of the protocol", responseTo(" HTTP/1.1 200 OK"),
     State::Malformed},
    {"a status line and a folded line behind empty lines",
     "\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
     State::Malformed}};

const std::vector<MessageCase> FieldCases = [] {
  std::vector<MessageCase> Result;
  for (const char *Name :
       {"X Odd", "X-Odd ", "X-Odd\t", "X\x01Odd", "X\x7fOdd", "X\xe9Odd", "",
        "Content-Length ", "Content Length", "Transfer-Encoding "})
    Result.push_back({Name,
                      std::string("HTTP/1.1 200 OK\r\n") + Name +
                          ": 1\r\nContent-Length: 2\r\n\r\nok",
                      State::Malformed});
  Result.push_back({"no colon",
                    "HTTP/1.1 200 OK\r\nX-Odd\r\nContent-Length: 2\r\n\r\nok",
                    State::Malformed});
  for (const char *Length : {"", " ", "+2", "-2", "2 2", "2, 2", "2x", "0x2",
                             "99999999999999999999999"})
    Result.push_back({Length,
                      std::string("HTTP/1.1 200 OK\r\nContent-Length: ") +
                          Length + "\r\n\r\nok",
                      State::Malformed});
  for (const char *Value : {"a\x01", "a\x7f", "a\rb"})
    Result.push_back({Value,
                      std::string("HTTP/1.1 200 OK\r\nX-Odd: ") + Value +
                          "\r\nContent-Length: 2\r\n\r\nok",
                      State::Malformed});
  for (const char *Value : {"", " a b\t", "a\xe9"})
    Result.push_back({Value,
                      std::string("HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9:") +
                          Value + "\r\nContent-Length: 2\r\n\r\nok",
                      State::Complete});
  return Result;
}();

/// A response whose body is given with its chunk framing.
std::string chunkedResponse(const std::string &Chunks) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks;
}

const std::vector<MessageCase> ChunkCases = {
    {"two chunks", chunkedResponse("2\r\nok\r\n1\r\n!\r\n0\r\n\r\n"),
     State::Complete},
    {"upper case and leading zeros",
     chunkedResponse("00A\r\n0123456789\r\n000\r\n\r\n"), State::Complete},
    {"data that looks like framing",
     chunkedResponse("7\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n"), State::Complete},
    {"an extension", chunkedResponse("2;a=\"b c\"\r\nok\r\n0;z\r\n\r\n"),
     State::Complete},
    {"an extension behind a space",
     chunkedResponse("2 ; a=b\r\nok\r\n0\r\n\r\n"), State::Complete},
    {"a size padded with spaces", chunkedResponse("2  \r\nok\r\n0 \r\n\r\n"),
     State::Complete},
    {"trailers", chunkedResponse("2\r\nok\r\n0\r\nA: b\r\nC:\r\n\r\n"),
     State::Complete},
    {"two sizes in a line", chunkedResponse("2 2\r\nok\r\n0\r\n\r\n"),
     State::Malformed},
    {"a sign ahead of a size", chunkedResponse("+2\r\nok\r\n0\r\n\r\n"),
     State::Malformed},
    {"a prefix ahead of a size", chunkedResponse("0x2\r\nok\r\n0\r\n\r\n"),
     State::Malformed},
    {"no size", chunkedResponse("\r\nok\r\n0\r\n\r\n"), State::Malformed},
    {"a size line that ends in a carriage return only",
     chunkedResponse("2\rXok\r\n0\r\n\r\n"), State::Malformed},
    {"a control character in an extension",
     chunkedResponse("2;\x01\r\nok\r\n0\r\n\r\n"), State::Malformed},
    {"other bytes where a chunk ends", chunkedResponse("2\r\nokXX0\r\n\r\n"),
     State::Malformed},
    {"two carriage returns where a chunk ends",
     chunkedResponse("2\r\nok\r\r0\r\n\r\n"), State::Malformed},
    {"a chunk longer than its size", chunkedResponse("2\r\nok!!\r\n0\r\n\r\n"),
     State::Malformed},
    {"another byte where the body ends", chunkedResponse("2\r\nok\r\n0\r\n\rX"),
     State::Malformed},
    {"a trailer whose name is no token",
     chunkedResponse("2\r\nok\r\n0\r\nA b: c\r\n\r\n"), State::Malformed},
    {"a folded trailer", chunkedResponse("2\r\nok\r\n0\r\nA: b\r\n c\r\n\r\n"),
     State::Malformed},
    {"a trailer without a colon",
     chunkedResponse("2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n"),
     State::Malformed}};

const std::vector<MessageCase> LineEndCases = {
    {"a status line that ends in a carriage return only",
     "HTTP/1.1 200\rXContent-Length: 2\r\n\r\nok", State::Malformed},
    {"a reason phrase that ends in a carriage return only",
     "HTTP/1.1 200 OK\rXContent-Length: 2\r\n\r\nok", State::Malformed},
    {"a field that ends in a carriage return only",
     "HTTP/1.1 200 OK\r\nA: b\rContent-Length: 2\r\n\r\nok", State::Malformed},
    {"a head that ends in a carriage return only",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rXok", State::Malformed},
    {"two carriage returns ahead of a line feed",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\r\nok", State::Malformed}};

void checkResponses(const std::vector<MessageCase> &Cases) {
  for (const MessageCase &Each : Cases)
    for (const bool ByteByByte : {false, true}) {
      Http1Reader Reader(Http1Reader::Kind::Responses, {1000, 1000});
      BOOST_TEST_CONTEXT(Each.Description
                         << (ByteByByte ? ", byte by byte" : ""))
      BOOST_CHECK(readAll(Reader, Each.Bytes, ByteByByte) == Each.Expected);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Http1Reader_)

// Guards against a status that is none, such as 000, being passed on.
BOOST_AUTO_TEST_CASE(ReadsStatusLinesOfHttp1Only) {
  checkResponses(StatusLineCases);
}

// Guards against lines whose field name is no token being passed on, or framing
// the body.
BOOST_AUTO_TEST_CASE(ReadsFieldsOfResponses) { checkResponses(FieldCases); }

// Guards against bytes being left out of a body, or passed on with it, because
// its framing was not what it says.
BOOST_AUTO_TEST_CASE(ReadsChunksOfResponses) { checkResponses(ChunkCases); }

// Guards against a byte being skipped where a line feed is due, so that the
// rest of the message is read as something else.
BOOST_AUTO_TEST_CASE(RejectsLinesThatEndInACarriageReturn) {
  checkResponses(LineEndCases);
}

BOOST_AUTO_TEST_CASE(ParsesOrRejectsRequests) {
  for (const MessageCase &Each : RequestCases)
    for (const bool ByteByByte : {false, true}) {
      Http1Reader Reader(Http1Reader::Kind::Requests, {1000, 1000});
      BOOST_TEST_CONTEXT(Each.Description
                         << (ByteByByte ? ", byte by byte" : ""))
      BOOST_CHECK(readAll(Reader, Each.Bytes, ByteByByte) == Each.Expected);
    }
}

// Guards against damaged messages being read differently if their bytes arrive
// in other parts, or bytes behind them being consumed.
BOOST_AUTO_TEST_CASE(ReadsDamagedResponsesAlikeInAnyParts) {
  const std::vector<std::string> Sound = {
      responseTo("HTTP/1.1 200 OK"),
      chunkedResponse("2\r\nok\r\n3 ;a=b\r\nall\r\n0\r\nA: b\r\n\r\n")};
  const std::string Replacements = "\r\n \t:;0129AZ\x01\x7f\xe9H/.";
  const TestSeeds Seeds = TestSeeds::create(2000);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    Common::Random Random(Seed);
    std::string Bytes = Sound[Random.below(Sound.size())];
    const std::size_t At = Random.below(Bytes.size());
    if (Random.chance(0.3))
      Bytes.erase(At, 1 + Random.below(3));
    else
      Bytes[At] = Replacements[Random.below(Replacements.size())];
    Bytes += "HTTP/1.1 200 OK\r\n";
    std::optional<std::pair<State, std::string>> Expected;
    for (const std::size_t Part :
         {std::size_t{1}, std::size_t{3}, 1 + Random.below(20), Bytes.size()}) {
      Http1Reader Reader(Http1Reader::Kind::Responses, {1000, 1000});
      std::size_t Offset = 0;
      while (Offset < Bytes.size() && Reader.state() == State::NeedsMore)
        if (const std::size_t Consumed =
                Reader.feed(std::string_view(Bytes).substr(Offset, Part)))
          Offset += Consumed;
        else
          break;
      // How much of a malformed body came ahead of the damage may differ.
      const bool Complete = Reader.state() == State::Complete;
      const std::pair Read(Reader.state(),
                           Complete ? Reader.takeBody() + Bytes.substr(Offset)
                                    : "");
      BOOST_TEST((!Expected || *Expected == Read),
                 "seed " << Seed << ", parts of " << Part);
      Expected = Read;
    }
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
