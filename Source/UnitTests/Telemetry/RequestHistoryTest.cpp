#include "Telemetry/RequestHistory.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Telemetry;

std::string line(const std::string &Time, const std::string &Host,
                 const std::string &Rest) {
  return "2026-12-04T09:00:" + Time +
         " level=info program=sycamore-entry datacentre=east host=" + Host +
         " event=" + Rest;
}

/// Where Part stands in Text; fails when it does not.
std::size_t place(const std::string &Text, const std::string &Part) {
  const std::size_t At = Text.find(Part);
  BOOST_TEST_INFO(Text);
  BOOST_TEST(At != std::string::npos, Part << " is missing");
  return At;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestHistory_)

BOOST_AUTO_TEST_CASE(ALineIsReadBackWithQuotedFields) {
  const auto Read = LogLine::create(
      "  4.1004 edge-1 " +
      line(
          "01.000250", "edge-1",
          R"(state_daemon_changed from=10.3.0.10:7160 reason="no \"answer\"")"));
  BOOST_REQUIRE(Read.ok());
  BOOST_TEST(Read->Event == "state_daemon_changed");
  BOOST_TEST(Read->Daemon.str() == "edge-1");
  BOOST_TEST(Read->Level == "info");
  BOOST_TEST(Read->field("from") == "10.3.0.10:7160");
  BOOST_TEST(Read->field("reason") == "no \"answer\"");
  BOOST_TEST(Read->field("none").empty());
  const auto Later = LogLine::create(line("02.000000", "edge-1", "started"));
  BOOST_REQUIRE(Later.ok());
  BOOST_TEST((Later->Time - Read->Time).count() == 999'750);
}

BOOST_AUTO_TEST_CASE(OtherLinesAreRefused) {
  for (const char *Text :
       {"", "hello", "2026-12-04T09:00:01.000000 no event here",
        "2026-12-04 09:00:01.000000 event=started", "event=started"})
    BOOST_TEST(!LogLine::create(Text).ok(), Text);
}

BOOST_AUTO_TEST_CASE(ARequestsHistoryIsToldInOrderWithWhatDecidedIt) {
  RequestHistory Of("r1");
  // In the order of the files, not of time.
  Of.add(line("05.900000", "core-1",
              "server_changed server=s1 phase=leaving started=1 sequence=9"));
  Of.add(line("06.400000", "edge-1",
              "request_failed request=r1 reason=server_lost status=502"));
  Of.add(line("05.000000", "edge-1", "request_sent request=r1 server=s1"));
  Of.add(line("05.100000", "edge-1", "request_sent request=r2 server=s2"));
  Of.add(line("06.300000", "edge-1",
              "attempt_failed request=r1 server=s1 reason=server_lost"));
  Of.add(line("05.200000", "edge-1",
              "server_known server=s2 phase=1 started=1 sequence=2"));
  Of.add(line("04.000000", "edge-1", "declaration_in_force version=7"));
  Of.add(line("04.000000", "edge-2", "declaration_in_force version=6"));
  Of.add("a line of another program");
  const auto Told = Of.report();
  BOOST_REQUIRE(Told.ok());
  const std::size_t Version = place(*Told, "declaration_in_force version=7");
  const std::size_t Sent =
      place(*Told, "> 09:00:05.000000 edge-1 request_sent");
  const std::size_t Left = place(*Told, "core-1 server_changed server=s1");
  const std::size_t Failed = place(*Told, "attempt_failed");
  const std::size_t Ended = place(*Told, "request_failed");
  BOOST_TEST(Version < Sent);
  BOOST_TEST(Sent < Left);
  BOOST_TEST(Left < Failed);
  BOOST_TEST(Failed < Ended);
  place(*Told, "1 lines could not be parsed as log lines");
  for (const char *Other : {"r2", "s2", "version=6"})
    BOOST_TEST(Told->find(Other) == std::string::npos, Other);
}

BOOST_AUTO_TEST_CASE(ClockDifferencesAreNamed) {
  RequestHistory Of("r1");
  Of.add(line("05.000000", "edge-1", "request_sent request=r1 server=s1"));
  const auto News = [&Of](int Number, const std::string &Second,
                          const std::string &Host, const std::string &Event) {
    Of.add(line(Second, Host,
                Event +
                    " server=s1 started=1 sequence=" + std::to_string(Number)));
  };
  for (int I = 0; I < 4; ++I) {
    News(I, "0" + std::to_string(I) + ".002000", "edge-1", "server_known");
    News(I, "0" + std::to_string(I) + ".252000", "core-1", "server_changed");
  }
  News(0, "00.001000", "core-2", "server_changed");
  const auto Told = Of.report();
  BOOST_REQUIRE(Told.ok());
  place(*Told, "clock of core-1 against edge-1: +250.0 ms");
  place(*Told, "clock of core-2 against edge-1: unknown");
}

BOOST_AUTO_TEST_CASE(AnUnknownRequestIsSaidToBeUnknown) {
  RequestHistory Of("r1");
  Of.add(line("05.000000", "edge-1", "request_sent request=r2 server=s1"));
  const auto Told = Of.report();
  BOOST_TEST(Told.status().code() == absl::StatusCode::kNotFound);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
