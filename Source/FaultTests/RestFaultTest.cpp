#include "FaultTests/Cluster.h"

#include <boost/test/unit_test.hpp>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

constexpr Common::Duration RestTime = 3s;
/// Requests of one entry daemon that may reach a resting server later than half
/// a second after it asked for rest.
constexpr int MaxLateRejections = 2;

const Network::HttpHeaders CallerHeaders = {
    {"Authorization", std::string("Bearer ") + Cluster::CallerKey}};

void rest(Cluster &Fixture, int Port, Common::Duration Time = RestTime) {
  BOOST_REQUIRE(
      Fixture
          .call(Port, Network::HttpMethod::Post,
                "/rest/" + std::to_string(Common::toMilliseconds(Time)))
          .Status == 200);
}

nlohmann::json restReport(Cluster &Fixture, int Port) {
  return Fixture.call(Port, Network::HttpMethod::Get, "/rest").json();
}

CallResponse readStock(Cluster &Fixture, int Number) {
  return Fixture.call(Fixture.entryHttp(1), Network::HttpMethod::Get,
                      "/services/orders/stock?n=" + std::to_string(Number), "",
                      CallerHeaders);
}

/// Repeats a call at once while a server rests. Returns how many calls were
/// served.
int repeatWhileResting(Cluster &Fixture,
                       const std::function<CallResponse()> &Call,
                       int &Refused) {
  int Served = 0;
  const auto End = std::chrono::steady_clock::now() + RestTime;
  while (std::chrono::steady_clock::now() < End) {
    ++(Call().Status == 200 ? Served : Refused);
    Fixture.runLoopFor(5ms);
  }
  return Served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RestFaultTest)

// Guards against BUDGET: an engine that had asked for rest with 503 and
// Retry-After got prompts from the same entry daemon all the while.
BOOST_AUTO_TEST_CASE(anEngineThatAskedForRestGetsNothing) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startEngine("engine1", 1, 1);
  Fixture.startEngine("engine2", 2, 1);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 2; }));
  rest(Fixture, Fixture.enginePort(1));
  int Number = 0;
  int Refused = 0;
  const int Served = repeatWhileResting(
      Fixture,
      [&] { return Fixture.chat(1, "prompt " + std::to_string(++Number), 2); },
      Refused);
  const auto Report = restReport(Fixture, Fixture.enginePort(1));
  BOOST_TEST(Report.value("rejected", 0) >= 1);
  BOOST_TEST(Report.value("late", 0) <= MaxLateRejections);
  BOOST_TEST(Served >= 19 * Refused);
  BOOST_TEST(Served >= 50);
}

// Guards against BUDGET: the same for a plain service whose calls may be
// repeated, and for calls that may not, which wait for the journal.
BOOST_AUTO_TEST_CASE(aServiceThatAskedForRestGetsNothing) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startService("orders1", 1);
  Fixture.startService("orders2", 2);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 2; }));
  rest(Fixture, Fixture.servicePort(1));
  int Number = 0;
  int Refused = 0;
  const int Served = repeatWhileResting(
      Fixture,
      [&] {
        ++Number;
        if (Number % 4 == 0)
          return Fixture.reserve(1, "rest-" + std::to_string(Number));
        return readStock(Fixture, Number);
      },
      Refused);
  const auto Report = restReport(Fixture, Fixture.servicePort(1));
  BOOST_TEST(Report.value("rejected", 0) >= 1);
  BOOST_TEST(Report.value("late", 0) <= MaxLateRejections);
  BOOST_TEST(Served >= 19 * Refused);
  BOOST_TEST(Served >= 50);
}

// Guards against BUDGET: the only server had asked for rest and got the
// requests nevertheless. A call that can be served in its time waits.
BOOST_AUTO_TEST_CASE(aCallWaitsForTheEndOfAShortRest) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startService("orders1", 1);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 1; }));
  rest(Fixture, Fixture.servicePort(1));
  BOOST_TEST(readStock(Fixture, 1).Status == 503);
  BOOST_TEST(readStock(Fixture, 2).Status == 200);
  BOOST_TEST(restReport(Fixture, Fixture.servicePort(1)).value("rejected", 0) ==
             1);
}

// Guards against calls that are held until their deadline although their only
// server rests for longer, and that learn no time at which to return.
BOOST_AUTO_TEST_CASE(callsAreRefusedAtOnceIfTheRestIsTooLong) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startService("orders1", 1);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 1; }));
  // The callers' target is 20 s.
  rest(Fixture, Fixture.servicePort(1), 40s);
  BOOST_TEST(readStock(Fixture, 1).Status == 503);
  for (int I = 2; I < 10; ++I) {
    const CallResponse Response = readStock(Fixture, I);
    BOOST_TEST(Response.Status == 503);
    BOOST_TEST(Response.outcome() == "not_run");
    BOOST_TEST(Response.title() == "servers_resting");
    const auto RetryAfter =
        Network::findHeader(Response.Headers, "Retry-After").value_or("0");
    BOOST_TEST(std::stod(RetryAfter) >= 20);
    BOOST_TEST(std::stod(RetryAfter) <= 42);
  }
  BOOST_TEST(restReport(Fixture, Fixture.servicePort(1)).value("rejected", 0) ==
             1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
