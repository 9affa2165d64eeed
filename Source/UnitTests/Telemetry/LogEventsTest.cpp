#include "Telemetry/LogEvents.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string_view>

namespace UnitTests {

namespace {

using namespace Telemetry;

template <typename Event, typename... Value>
concept LoggedWith = requires(const Event &Of, const Value &...Values) {
  log(Of, Values...);
};

using Gone = std::remove_const_t<decltype(Events::CallerGone)>;
static_assert(LoggedWith<Gone, std::string, int>);
static_assert(!LoggedWith<Gone, std::string>, "a field may not be left out");
static_assert(!LoggedWith<Gone, std::string, int, int>);

template <std::size_t Count> constexpr bool namesRequest(LogEvent<Count> Of) {
  return std::any_of(Of.Fields.begin(), Of.Fields.end(),
                     [](std::string_view Each) { return Each == "request"; });
}

static_assert(namesRequest(Events::RequestSent) &&
              namesRequest(Events::RequestServed) &&
              namesRequest(Events::RequestFailed) &&
              namesRequest(Events::RequestRefused) &&
              namesRequest(Events::AttemptFailed) &&
              namesRequest(Events::AllowanceShort) &&
              namesRequest(Events::ServerSilent) &&
              namesRequest(Events::StreamBroken) &&
              namesRequest(Events::StreamOutOfTime) &&
              namesRequest(Events::CallerGone));

} // namespace

BOOST_AUTO_TEST_SUITE(LogEvents_)

BOOST_AUTO_TEST_CASE(LinesBeyondAnEventsBudgetAreCountedAndFailuresAreNot) {
  // The budget's second may end once while the lines are asked for.
  std::uint64_t LeftOut = 0;
  int Info = 0;
  int Warnings = 0;
  for (int I = 0; I < 1000; ++I) {
    Info +=
        detail::tryConsumeLine(LogLevel::Info, "test_info", LeftOut) ? 1 : 0;
    Warnings +=
        detail::tryConsumeLine(LogLevel::Warning, "test_failure", LeftOut) ? 1
                                                                           : 0;
  }
  BOOST_TEST(Info >= 200);
  BOOST_TEST(Info <= 400);
  BOOST_TEST(Warnings == 1000);
}

BOOST_AUTO_TEST_CASE(FieldsAreQuotedWhereTheyNeedToBe) {
  BOOST_TEST(formatLogField("a", "b") == " a=b");
  BOOST_TEST(formatLogField("a", "") == " a=\"\"");
  BOOST_TEST(formatLogField("a", "b c\n\"d\"") == " a=\"b c \\\"d\\\"\"");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
