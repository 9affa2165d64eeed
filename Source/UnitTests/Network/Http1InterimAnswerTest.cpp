#include "Network/CallOutcome.h"
#include "Network/RawPeer.h"

#include <boost/test/unit_test.hpp>
#include <vector>

// Interim responses (1xx), which end no call and prove nothing.
namespace UnitTests {

namespace {

using namespace Network;
using namespace std::chrono_literals;

constexpr Common::Duration IdleTimeout = 300ms;
const std::string Final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string Processing = "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n";

struct Case {
  const char *Description;
  std::string Interim;
  Http1CallResult Expected;
};

const std::vector<Case> Cases = {
    {"100", "HTTP/1.1 100 Continue\r\n\r\n", Http1CallResult::Complete},
    {"several", Processing + Processing + "HTTP/1.1 103 Early Hints\r\n\r\n",
     Http1CallResult::Complete},
    {"a length, which means nothing",
     "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\n",
     Http1CallResult::Complete},
    {"chunks, which mean nothing",
     "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
     Http1CallResult::Complete},
    {"a body", "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nbody",
     Http1CallResult::Malformed},
    {"a change of protocol that was not asked for",
     "HTTP/1.1 101 Switching Protocols\r\n\r\n", Http1CallResult::Malformed},
    {"an upgrade that was not asked for",
     "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
     "Upgrade: x\r\n\r\n",
     Http1CallResult::Malformed}};

} // namespace

BOOST_AUTO_TEST_SUITE(Http1InterimAnswer)

BOOST_AUTO_TEST_CASE(TheFinalAnswerFollows) {
  for (const Case &Each : Cases) {
    const auto Loop = *EventLoop::create();
    RawServer Server(*Loop, {{Each.Interim + Final}});
    Http1Client Client(*Loop);
    const auto Result = post(Client, Server.address(), "", IdleTimeout);
    BOOST_TEST_CONTEXT(Each.Description) {
      BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
      BOOST_CHECK(*Result->CallResult == Each.Expected);
      const bool Complete = Each.Expected == Http1CallResult::Complete;
      BOOST_TEST(Result->Status == (Complete ? 200 : 0));
      BOOST_TEST(Result->Body == (Complete ? "ok" : ""));
    }
  }
}

// Guards against a call that never ends, as each interim response renewed its
// idle time.
BOOST_AUTO_TEST_CASE(InterimAnswersDoNotRenewTheIdleTime) {
  const auto Loop = *EventLoop::create();
  RawServer Server(*Loop, {{Processing}});
  Http1Client Client(*Loop);
  const auto Result = post(Client, Server.address(), "", IdleTimeout);
  const auto Timer =
      Loop->callEvery(IdleTimeout / 10, [&] { Server.write(Processing); });
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
  BOOST_CHECK(*Result->CallResult == Http1CallResult::NoResponse);
  BOOST_TEST(Result->Status == 0);
}

// Guards against a head that arrives without end doing the same.
BOOST_AUTO_TEST_CASE(PartsOfAHeadDoNotRenewTheIdleTime) {
  const auto Loop = *EventLoop::create();
  RawServer Server(*Loop, {{"HTTP/1.1 200 OK\r\n"}});
  Http1Client Client(*Loop);
  const auto Result = post(Client, Server.address(), "", IdleTimeout);
  const auto Timer =
      Loop->callEvery(IdleTimeout / 10, [&] { Server.write("A: b\r\n"); });
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
  BOOST_CHECK(*Result->CallResult == Http1CallResult::NoResponse);
}

// Guards against a server that keeps its daemon busy with interim responses.
BOOST_AUTO_TEST_CASE(TooManyInterimAnswersAreNone) {
  const auto Loop = *EventLoop::create();
  std::string Interims;
  for (int I = 0; I < 1000; ++I)
    Interims += Processing;
  RawServer Server(*Loop, {{Interims + Final}});
  Http1Client Client(*Loop);
  const auto Result = post(Client, Server.address(), "", IdleTimeout);
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
  BOOST_CHECK(*Result->CallResult == Http1CallResult::Malformed);
  BOOST_TEST(Result->Status == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
