#include "Telemetry/LogEvents.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string_view>

namespace UnitTests {

namespace {

using namespace Telemetry;

template <typename Event, typename... Value>
concept LoggedWith = requires(const Event &Logged, const Value &...Values) {
  log(Logged, Values...);
};

using CallerGoneEvent = std::remove_const_t<decltype(Events::CallerGone)>;
static_assert(LoggedWith<CallerGoneEvent, std::string, int>);
static_assert(!LoggedWith<CallerGoneEvent, std::string>,
              "a field may not be left out");
static_assert(!LoggedWith<CallerGoneEvent, std::string, int, int>);

template <std::size_t Count>
constexpr bool namesRequest(LogEvent<Count> Event) {
  return std::any_of(Event.Fields.begin(), Event.Fields.end(),
                     [](std::string_view Field) { return Field == "request"; });
}

static_assert(namesRequest(Events::RequestSent) &&
              namesRequest(Events::RequestServed) &&
              namesRequest(Events::RequestFailed) &&
              namesRequest(Events::ConnectionCut) &&
              namesRequest(Events::AttemptFailed) &&
              namesRequest(Events::AllowanceShort) &&
              namesRequest(Events::ServerSilent) &&
              namesRequest(Events::StreamBroken) &&
              namesRequest(Events::StreamOutOfTime) &&
              namesRequest(Events::CallerGone));

} // namespace

BOOST_AUTO_TEST_SUITE(LogEvents_)

BOOST_AUTO_TEST_CASE(
    InfoLinesBeyondTheRateLimitAreSuppressedAndWarningsAreNot) {
  // The rate limit's second may end once during the loop.
  std::uint64_t SuppressedLines = 0;
  int Info = 0;
  int Warnings = 0;
  for (int I = 0; I < 1000; ++I) {
    Info += detail::tryConsumeLine(LogLevel::Info, "test_info", SuppressedLines)
                ? 1
                : 0;
    Warnings += detail::tryConsumeLine(LogLevel::Warning, "test_failure",
                                       SuppressedLines)
                    ? 1
                    : 0;
  }
  BOOST_TEST(Info >= 200);
  BOOST_TEST(Info <= 400);
  BOOST_TEST(Warnings == 1000);
}

BOOST_AUTO_TEST_CASE(FieldsAreQuotedWhenNecessary) {
  BOOST_TEST(formatLogField("a", "b") == " a=b");
  BOOST_TEST(formatLogField("a", "") == " a=\"\"");
  BOOST_TEST(formatLogField("a", "b c\n\"d\"") == " a=\"b c \\\"d\\\"\"");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
