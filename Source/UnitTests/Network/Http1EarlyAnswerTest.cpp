#include "Network/CallOutcome.h"
#include "Network/RawPeer.h"

#include <boost/test/unit_test.hpp>

// Answers that begin while the body of their request is still being written.
namespace UnitTests {

namespace {

using namespace Network;
using namespace std::chrono_literals;

/// More than the sockets of both sides buffer.
constexpr std::size_t LargeUploadBytes = 16u << 20;
/// What the socket of the client buffers, and that of a server with
/// SmallBufferBytes does not.
constexpr std::size_t BufferedUploadBytes = 100u << 10;
constexpr int SmallBufferBytes = 4096;

const std::string Unframed = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string Framed =
    "HTTP/1.1 413 Large\r\nContent-Length: 4\r\n\r\npart";

/// Answers when the head of a request has arrived.
RawServer::Step earlyAnswer(const std::string &Bytes) {
  RawServer::Step Result;
  Result.Write = Bytes;
  Result.BeforeBody = true;
  return Result;
}

/// The same, closes its side of the connection, and does not read on.
RawServer::Step earlyAnswerWithoutReading(const std::string &Bytes) {
  RawServer::Step Result = earlyAnswer(Bytes);
  Result.EndWriting = true;
  Result.StopReading = true;
  return Result;
}

std::string upload(std::size_t Bytes) { return std::string(Bytes, 'u'); }

/// Runs a large upload to a server that follows Step until the call ends.
CallOutcome uploadTo(const RawServer::Step &Step) {
  const auto Loop = *EventLoop::create();
  RawServer Server(*Loop, {Step});
  Http1Client Client(*Loop);
  const auto Result = post(Client, Server.address(), upload(LargeUploadBytes));
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
  return *Result;
}

void runFor(EventLoop &Loop, Common::Duration Time) {
  const Common::TimePoint End = Loop.now() + Time;
  runUntil(Loop, [&] { return Loop.now() >= End; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Http1EarlyAnswer)

BOOST_AUTO_TEST_CASE(AnUnframedAnswerThatIsResetDuringTheUploadIsTruncated) {
  for (const auto Delay : {0ms, 5ms, 100ms}) {
    const auto Loop = *EventLoop::create();
    RawServer::Step Step = earlyAnswer(Unframed);
    Step.StopReading = true;
    RawServer Server(*Loop, {Step});
    Http1Client Client(*Loop);
    const auto Result =
        post(Client, Server.address(), upload(LargeUploadBytes));
    BOOST_REQUIRE(runUntil(*Loop, [&] { return !Result->Body.empty(); }));
    runFor(*Loop, Delay);
    Server.resetAll();
    BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
    BOOST_CHECK(Result->CallResult == Http1CallResult::Truncated);
  }
}

// Guards against an answer being taken for complete although its server, which
// had closed its side of the connection, reset it during the upload: the end
// of a process looks like that.
BOOST_AUTO_TEST_CASE(AHalfClosedConnectionThatIsResetTruncatesItsAnswer) {
  for (const std::size_t Bytes : {LargeUploadBytes, BufferedUploadBytes})
    for (const auto Delay : {5ms, 100ms, 300ms}) {
      const auto Loop = *EventLoop::create();
      RawServer Server(*Loop, {earlyAnswerWithoutReading(Unframed)},
                       SmallBufferBytes);
      Http1Client Client(*Loop);
      const auto Result = post(Client, Server.address(), upload(Bytes));
      BOOST_REQUIRE(runUntil(*Loop, [&] { return !Result->Body.empty(); }));
      runFor(*Loop, Delay);
      BOOST_TEST(!Result->isDone());
      Server.resetAll();
      BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
      BOOST_TEST((Result->CallResult == Http1CallResult::Truncated),
                 Bytes << " bytes");
    }
}

// Guards against MIXED: a server closes its connection as it ends, and answers
// what still arrives with a reset.
BOOST_AUTO_TEST_CASE(AnAnswerThatEndsWithItsProcessDuringTheUploadIsTruncated) {
  RawServer::Step Step = earlyAnswer(Unframed);
  Step.Close = true;
  BOOST_CHECK(uploadTo(Step).CallResult != Http1CallResult::Complete);
}

// RFC 9112, section 9.6: a server that answers early closes its side, and reads
// on until the client has closed the connection.
BOOST_AUTO_TEST_CASE(AnAnswerWhoseServerReadsOnIsComplete) {
  RawServer::Step Step = earlyAnswer(Unframed);
  Step.EndWriting = true;
  const CallOutcome Result = uploadTo(Step);
  BOOST_CHECK(Result.CallResult == Http1CallResult::Complete);
  BOOST_TEST(Result.Status == 200);
  BOOST_TEST(Result.Body == "part");
}

// Nothing speaks against the orderly end of its answer.
BOOST_AUTO_TEST_CASE(AnAnswerWhoseServerStaysWithoutReadingIsComplete) {
  const CallOutcome Result = uploadTo(earlyAnswerWithoutReading(Unframed));
  BOOST_CHECK(Result.CallResult == Http1CallResult::Complete);
  BOOST_TEST(Result.Body == "part");
}

BOOST_AUTO_TEST_CASE(AFramedAnswerIsCompleteWhateverBecomesOfTheUpload) {
  const CallOutcome Result = uploadTo(earlyAnswerWithoutReading(Framed));
  BOOST_CHECK(Result.CallResult == Http1CallResult::Complete);
  BOOST_TEST(Result.Status == 413);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
