#include "Network/Http1Client.h"
#include "Network/RawPeer.h"

#include <boost/test/unit_test.hpp>
#include <optional>

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

struct Outcome {
  std::optional<Http1CallResult> CallResult;
  int Status = 0;
  std::string Body;

  bool hasResult(Http1CallResult Expected) const {
    return this->CallResult == Expected;
  }
};

std::shared_ptr<Outcome> upload(Http1Client &Client, const Address &To,
                                std::size_t Bytes) {
  auto Result = std::make_shared<Outcome>();
  Http1Call Request;
  Request.To = To;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Headers = {{"Host", "h"}};
  Request.Body = std::string(Bytes, 'u');
  Http1CallHandlers Handlers;
  Handlers.OnHead = [Result](const Http1Head &Head) {
    Result->Status = Head.Status;
    return true;
  };
  Handlers.OnBody = [Result](const std::string &Part) { Result->Body += Part; };
  Handlers.OnDone = [Result](Http1CallResult CallResult) {
    Result->CallResult = CallResult;
  };
  Client.start(std::move(Request), std::move(Handlers));
  return Result;
}

RawServer::Step earlyAnswer(const std::string &Bytes) {
  RawServer::Step Result;
  Result.Write = Bytes;
  Result.BeforeBody = true;
  return Result;
}

void runFor(EventLoop &Loop, Common::Duration Time) {
  const Common::TimePoint End = Loop.now() + Time;
  runUntil(Loop, [&] { return Loop.now() >= End; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Http1EarlyAnswer)

BOOST_AUTO_TEST_CASE(AnUnframedAnswerThatIsResetDuringTheUploadIsTruncated) {
  for (const auto Delay : {0ms, 5ms, 100ms}) {
    auto Loop = *EventLoop::create();
    RawServer::Step Step = earlyAnswer(Unframed);
    Step.StopReading = true;
    RawServer Server(*Loop, {Step});
    Http1Client Client(*Loop);
    const auto Result = upload(Client, Server.address(), LargeUploadBytes);
    BOOST_REQUIRE(runUntil(*Loop, [&] { return !Result->Body.empty(); }));
    runFor(*Loop, Delay);
    Server.resetAll();
    BOOST_REQUIRE(
        runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
    BOOST_TEST(Result->hasResult(Http1CallResult::Truncated));
  }
}

// Guards against an answer being taken for complete although its server, which
// had closed its side of the connection, reset it during the upload: the end
// of a process looks like that.
BOOST_AUTO_TEST_CASE(AHalfClosedConnectionThatIsResetTruncatesItsAnswer) {
  for (const std::size_t Bytes : {LargeUploadBytes, BufferedUploadBytes})
    for (const auto Delay : {5ms, 100ms, 300ms}) {
      auto Loop = *EventLoop::create();
      RawServer::Step Step = earlyAnswer(Unframed);
      Step.EndWriting = true;
      Step.StopReading = true;
      RawServer Server(*Loop, {Step}, SmallBufferBytes);
      Http1Client Client(*Loop);
      const auto Result = upload(Client, Server.address(), Bytes);
      BOOST_REQUIRE(runUntil(*Loop, [&] { return !Result->Body.empty(); }));
      runFor(*Loop, Delay);
      BOOST_TEST(!Result->CallResult.has_value());
      Server.resetAll();
      BOOST_REQUIRE(
          runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
      BOOST_TEST(Result->hasResult(Http1CallResult::Truncated),
                 Bytes << " bytes");
    }
}

// Guards against MIXED: a server closes its connection as it ends, and answers
// what still arrives with a reset.
BOOST_AUTO_TEST_CASE(AnAnswerThatEndsWithItsProcessDuringTheUploadIsTruncated) {
  auto Loop = *EventLoop::create();
  RawServer::Step Step = earlyAnswer(Unframed);
  Step.Close = true;
  RawServer Server(*Loop, {Step});
  Http1Client Client(*Loop);
  const auto Result = upload(Client, Server.address(), LargeUploadBytes);
  BOOST_REQUIRE(
      runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
  BOOST_TEST(!Result->hasResult(Http1CallResult::Complete));
}

// RFC 9112, section 9.6: a server that answers early closes its side, and reads
// on until the client has closed the connection.
BOOST_AUTO_TEST_CASE(AnAnswerWhoseServerReadsOnIsComplete) {
  auto Loop = *EventLoop::create();
  RawServer::Step Step = earlyAnswer(Unframed);
  Step.EndWriting = true;
  RawServer Server(*Loop, {Step});
  Http1Client Client(*Loop);
  const auto Result = upload(Client, Server.address(), LargeUploadBytes);
  BOOST_REQUIRE(
      runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
  BOOST_TEST(Result->hasResult(Http1CallResult::Complete));
  BOOST_TEST(Result->Status == 200);
  BOOST_TEST(Result->Body == "part");
}

// Nothing speaks against the orderly end of its answer.
BOOST_AUTO_TEST_CASE(AnAnswerWhoseServerStaysWithoutReadingIsComplete) {
  auto Loop = *EventLoop::create();
  RawServer::Step Step = earlyAnswer(Unframed);
  Step.EndWriting = true;
  Step.StopReading = true;
  RawServer Server(*Loop, {Step});
  Http1Client Client(*Loop);
  const auto Result = upload(Client, Server.address(), LargeUploadBytes);
  BOOST_REQUIRE(
      runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
  BOOST_TEST(Result->hasResult(Http1CallResult::Complete));
  BOOST_TEST(Result->Body == "part");
}

BOOST_AUTO_TEST_CASE(AFramedAnswerIsCompleteWhateverBecomesOfTheUpload) {
  auto Loop = *EventLoop::create();
  RawServer::Step Step = earlyAnswer(Framed);
  Step.EndWriting = true;
  Step.StopReading = true;
  RawServer Server(*Loop, {Step});
  Http1Client Client(*Loop);
  const auto Result = upload(Client, Server.address(), LargeUploadBytes);
  BOOST_REQUIRE(
      runUntil(*Loop, [&] { return Result->CallResult.has_value(); }));
  BOOST_TEST(Result->hasResult(Http1CallResult::Complete));
  BOOST_TEST(Result->Status == 413);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
