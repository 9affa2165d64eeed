#include "Operator/Statement.h"

#include "Operator/Table.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

using namespace Operator;

BOOST_AUTO_TEST_SUITE(StatementTest)

BOOST_AUTO_TEST_CASE(keywordsAreCaseInsensitive) {
  const auto Show = parseStatement("SHOW Backends WHERE DataCentre = East");
  BOOST_REQUIRE(Show.ok());
  const auto &Statement = std::get<ShowStatement>(*Show);
  BOOST_TEST((Statement.ShownView == View::Backends));
  BOOST_TEST(Statement.Filter->Column == "datacentre");
  BOOST_TEST(Statement.Filter->Value == "East");
  BOOST_TEST(
      *std::get<ShowStatement>(*parseStatement("show cost by host")).GroupBy ==
      "host");
}

BOOST_AUTO_TEST_CASE(changeStatementsAreParsed) {
  const auto Set =
      parseStatement("set service assistant target 800 ms at version 7");
  BOOST_REQUIRE(Set.ok());
  const auto &Change = std::get<ChangeStatement>(*Set);
  BOOST_TEST(Change.RequestedChange.Name == "assistant");
  BOOST_REQUIRE(Change.RequestedChange.Settings.size() == 1u);
  BOOST_TEST(Change.RequestedChange.Settings[0].Field == "target");
  BOOST_TEST(Change.RequestedChange.Settings[0].Value == "800ms");
  BOOST_TEST(Change.ExpectedVersion->Value == 7u);
  BOOST_TEST(parseStatement("drain host h3").ok());
  BOOST_TEST(parseStatement("set budget per-hour 40").ok());
  BOOST_TEST(parseStatement("declare service orders").ok());
}

BOOST_AUTO_TEST_CASE(errorsSuggestACorrection) {
  struct Case {
    const char *Text;
    const char *ExpectedText;
  };
  const std::vector<Case> Cases = {
      {"", "help"},
      {"shwo services", "did you mean 'show'"},
      {"show servces", "did you mean 'services'"},
      {"show", "needs a view"},
      {"show backends where host=h3", "spaces around"},
      {"show services now", "not expected"},
      {"set servcie a target 1 s", "did you mean 'service'"},
      {"set service a taget 1 s", "did you mean 'target'"},
      {"set service a", "nothing to change"},
      {"set service", "name is missing"},
      {"set service a target", "needs a value"},
      {"set service a target 1 s at 7", "at version N"},
      {"drain host h3 target 1 s", "belong to declare and set"},
      {"add replica nonsense", "IDENTITY@IP:PORT@DATACENTRE"},
  };
  for (const Case &Each : Cases) {
    const auto Parsed = parseStatement(Each.Text);
    BOOST_TEST(absl::IsInvalidArgument(Parsed.status()), Each.Text);
    BOOST_TEST(Parsed.status().message().find(Each.ExpectedText) !=
                   absl::string_view::npos,
               std::string(Parsed.status().message()));
  }
  BOOST_TEST(!parseStatement(std::string(5000, 'x')).ok());
}

BOOST_AUTO_TEST_CASE(tablesFitTheScreenWidth) {
  Table Wide({"name", "remedy"});
  Wide.add({"a", std::string(200, 'x')});
  std::string Text = Wide.format();
  std::size_t Start = 0;
  while (Start < Text.size()) {
    const std::size_t End = Text.find('\n', Start);
    BOOST_TEST(End - Start <= 80u);
    Start = End + 1;
  }
}

BOOST_AUTO_TEST_CASE(tablesFilterAndGroup) {
  Table Hosts({"host", "datacentre", "per-hour"});
  Hosts.add({"h1", "east", "0.5"});
  Hosts.add({"h2", "East", "1"});
  Hosts.add({"h3", "west", "2"});
  BOOST_TEST(Hosts.filter("DATACENTRE", "east").rows().size() == 2u);
  const Table Sums = Hosts.filter("datacentre", "west").groupBy("datacentre");
  BOOST_REQUIRE(Sums.rows().size() == 1u);
  BOOST_TEST(Sums.rows()[0][2] == "2");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
