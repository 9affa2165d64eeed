#include "Telemetry/RequestHistory.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Telemetry;

std::string formatLine(const std::string &Time, const std::string &Host,
                       const std::string &Rest) {
  return "2026-12-04T09:00:" + Time +
         " level=info program=sycamore-entry datacentre=east host=" + Host +
         " event=" + Rest;
}

/// Returns the position of Part in Text; the test fails when it is missing.
std::size_t findPart(const std::string &Text, const std::string &Part) {
  const std::size_t Position = Text.find(Part);
  BOOST_TEST_INFO(Text);
  BOOST_TEST(Position != std::string::npos, Part << " is missing");
  return Position;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestHistory_)

BOOST_AUTO_TEST_CASE(LogLinesWithQuotedFieldsAreParsed) {
  const auto Line = LogLine::create(
      "  4.1004 edge-1 " +
      formatLine(
          "01.000250", "edge-1",
          R"(state_daemon_changed from=10.3.0.10:7160 reason="no \"answer\"")"));
  BOOST_REQUIRE(Line.ok());
  BOOST_TEST(Line->Event == "state_daemon_changed");
  BOOST_TEST(Line->Daemon.str() == "edge-1");
  BOOST_TEST(Line->Level == "info");
  BOOST_TEST(Line->field("from") == "10.3.0.10:7160");
  BOOST_TEST(Line->field("reason") == "no \"answer\"");
  BOOST_TEST(Line->field("none").empty());
  const auto Later =
      LogLine::create(formatLine("02.000000", "edge-1", "started"));
  BOOST_REQUIRE(Later.ok());
  BOOST_TEST((Later->Time - Line->Time).count() == 999'750);
}

BOOST_AUTO_TEST_CASE(LinesOfOtherProgramsAreRefused) {
  for (const char *Text :
       {"", "hello", "2026-12-04T09:00:01.000000 no event here",
        "2026-12-04 09:00:01.000000 event=started", "event=started"})
    BOOST_TEST(!LogLine::create(Text).ok(), Text);
}

BOOST_AUTO_TEST_CASE(AHistoryHasTheRelevantLinesInOrderOfTime) {
  RequestHistory History("r1");
  // In the order of the log files, which is not the order of time.
  History.add(formatLine(
      "05.900000", "core-1",
      "server_changed server=s1 phase=leaving started=1 sequence=9"));
  History.add(
      formatLine("06.400000", "edge-1",
                 "request_failed request=r1 reason=server_lost status=502"));
  History.add(
      formatLine("05.000000", "edge-1", "request_sent request=r1 server=s1"));
  History.add(
      formatLine("05.100000", "edge-1", "request_sent request=r2 server=s2"));
  History.add(
      formatLine("06.300000", "edge-1",
                 "attempt_failed request=r1 server=s1 reason=server_lost"));
  History.add(
      formatLine("05.200000", "edge-1",
                 "server_known server=s2 phase=1 started=1 sequence=2"));
  History.add(
      formatLine("04.000000", "edge-1", "declaration_in_force version=7"));
  History.add(
      formatLine("04.000000", "edge-2", "declaration_in_force version=6"));
  History.add("a line of another program");
  const auto Report = History.report();
  BOOST_REQUIRE(Report.ok());
  const std::size_t Version =
      findPart(*Report, "declaration_in_force version=7");
  const std::size_t Sent =
      findPart(*Report, "> 09:00:05.000000 edge-1 request_sent");
  const std::size_t Left = findPart(*Report, "core-1 server_changed server=s1");
  const std::size_t Failed = findPart(*Report, "attempt_failed");
  const std::size_t Ended = findPart(*Report, "request_failed");
  BOOST_TEST(Version < Sent);
  BOOST_TEST(Sent < Left);
  BOOST_TEST(Left < Failed);
  BOOST_TEST(Failed < Ended);
  findPart(*Report, "1 lines could not be parsed as log lines");
  for (const char *Other : {"r2", "s2", "version=6"})
    BOOST_TEST(Report->find(Other) == std::string::npos, Other);
}

BOOST_AUTO_TEST_CASE(ClockOffsetsAreReported) {
  RequestHistory History("r1");
  History.add(
      formatLine("05.000000", "edge-1", "request_sent request=r1 server=s1"));
  const auto AddServerEvent = [&History](int Sequence,
                                         const std::string &Second,
                                         const std::string &Host,
                                         const std::string &Event) {
    History.add(formatLine(
        Second, Host,
        Event + " server=s1 started=1 sequence=" + std::to_string(Sequence)));
  };
  for (int I = 0; I < 4; ++I) {
    AddServerEvent(I, "0" + std::to_string(I) + ".002000", "edge-1",
                   "server_known");
    AddServerEvent(I, "0" + std::to_string(I) + ".252000", "core-1",
                   "server_changed");
  }
  AddServerEvent(0, "00.001000", "core-2", "server_changed");
  const auto Report = History.report();
  BOOST_REQUIRE(Report.ok());
  findPart(*Report, "clock of core-1 against edge-1: +250.0 ms");
  findPart(*Report, "clock of core-2 against edge-1: unknown");
}

BOOST_AUTO_TEST_CASE(AnUnknownRequestIsNotFound) {
  RequestHistory History("r1");
  History.add(
      formatLine("05.000000", "edge-1", "request_sent request=r2 server=s1"));
  const auto Report = History.report();
  BOOST_TEST(Report.status().code() == absl::StatusCode::kNotFound);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
