#include "Configuration/ConfigurationStore.h"

#include "Configuration/FieldValue.h"
#include "Network/Codec.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Configuration;

const std::string SomeHash(64, 'a');

ChangeCommand commandOf(const std::string &Id, Verb ChangeVerb,
                        Subject ChangeSubject, const std::string &Name,
                        std::vector<FieldSetting> Settings = {}) {
  ChangeCommand Command;
  Command.Id = Common::CommandId(Id);
  Command.RequestedChange =
      Change{ChangeVerb, ChangeSubject, Name, std::move(Settings)};
  return Command;
}

bool applied(const ChangeResult &Outcome) {
  return Outcome.Status == ChangeStatus::Applied;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStoreTest)

BOOST_AUTO_TEST_CASE(repeatedCommandReturnsItsFirstResult) {
  ConfigurationStore Store;
  const auto Command = commandOf("c1", Verb::Declare, Subject::Priority,
                                 "urgent", {{"rank", "0"}});
  BOOST_TEST(Store.apply(Command).Version.Value == 1u);
  BOOST_TEST(applied(Store.apply(commandOf("c2", Verb::Set, Subject::Priority,
                                           "urgent", {{"rank", "3"}}))));
  const ChangeResult Again = Store.apply(Command);
  BOOST_TEST(applied(Again));
  BOOST_TEST(Again.Version.Value == 1u);
  // The repeat does not revert the later change.
  BOOST_TEST(Store.current().version().Value == 2u);
  BOOST_TEST(
      Store.current().priorities().at(Common::PriorityName("urgent")).Rank ==
      3u);
}

BOOST_AUTO_TEST_CASE(concurrentChangesOfAVersionConflict) {
  ConfigurationStore Store;
  auto Left = commandOf("a", Verb::Declare, Subject::Service, "left");
  auto Right = commandOf("b", Verb::Declare, Subject::Service, "right");
  Left.ExpectedVersion = Common::ConfigurationVersion{0};
  Right.ExpectedVersion = Common::ConfigurationVersion{0};
  BOOST_TEST(applied(Store.apply(Left)));
  const ChangeResult Lost = Store.apply(Right);
  BOOST_TEST((Lost.Status == ChangeStatus::VersionConflict));
  BOOST_TEST(Lost.Version.Value == 1u);
  BOOST_TEST(Lost.Detail.find("version 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalidChangesAreRefusedAsAWhole) {
  ConfigurationStore Store;
  Store.apply(commandOf("1", Verb::Declare, Subject::Priority, "urgent",
                        {{"floor", "70 %"}}));
  struct Case {
    ChangeCommand Command;
    const char *ExpectedText;
  };
  const std::vector<Case> Cases = {
      {commandOf("2", Verb::Declare, Subject::Priority, "later",
                 {{"floor", "40 %"}}),
       "floors"},
      {commandOf("3", Verb::Declare, Subject::Caller, "yard",
                 {{"keyhash", SomeHash}, {"priority", "nosuch"}}),
       "nosuch"},
      {commandOf("4", Verb::Declare, Subject::Caller, "yard",
                 {{"keyhash", "short"}, {"priority", "urgent"}}),
       "hash-key"},
      {commandOf("5", Verb::Set, Subject::Service, "nosuch",
                 {{"replicas", "1"}}),
       "declare it first"},
      {commandOf("6", Verb::Declare, Subject::Service, "bad name"), "letters"},
      {commandOf("7", Verb::Declare, Subject::Service, "s",
                 {{"idempotent", "GRAB"}}),
       "GRAB"},
      {commandOf("8", Verb::Declare, Subject::Service, "s",
                 {{"colour", "red"}}),
       "no field 'colour'"},
      {commandOf("9", Verb::Remove, Subject::Service, "nosuch"), "nosuch"},
      {commandOf("10", Verb::Set, Subject::Host, "h1"), "drain host"},
  };
  for (const Case &Each : Cases) {
    const ChangeResult Outcome = Store.apply(Each.Command);
    BOOST_TEST((Outcome.Status == ChangeStatus::Refused),
               Each.Command.Id.str());
    BOOST_TEST(Outcome.Detail.find(Each.ExpectedText) != std::string::npos,
               Outcome.Detail);
  }
  BOOST_TEST(Store.current().version().Value == 1u);
}

BOOST_AUTO_TEST_CASE(priorityInUseCannotBeRemoved) {
  ConfigurationStore Store;
  Store.apply(commandOf("1", Verb::Declare, Subject::Priority, "urgent"));
  Store.apply(commandOf("2", Verb::Declare, Subject::Caller, "yard",
                        {{"keyhash", SomeHash}, {"priority", "urgent"}}));
  BOOST_TEST(!applied(
      Store.apply(commandOf("3", Verb::Remove, Subject::Priority, "urgent"))));
  BOOST_TEST(applied(
      Store.apply(commandOf("4", Verb::Remove, Subject::Caller, "yard"))));
  BOOST_TEST(applied(
      Store.apply(commandOf("5", Verb::Remove, Subject::Priority, "urgent"))));
}

BOOST_AUTO_TEST_CASE(retainedResultsAreBoundedAndInTheSnapshot) {
  ConfigurationStore Store;
  for (int I = 0; I < 10'000; ++I)
    Store.apply(commandOf("c" + std::to_string(I), Verb::Drain, Subject::Host,
                          "h" + std::to_string(I % 7)));
  auto Copy = Network::decode<ConfigurationStore>(Network::encode(Store));
  BOOST_REQUIRE(Copy.ok());
  const auto Before = Copy->current().version();
  Copy->apply(commandOf("c9999", Verb::Drain, Subject::Host, "h1"));
  BOOST_TEST(Copy->current().version().Value == Before.Value);
}

BOOST_AUTO_TEST_CASE(fieldValuesAreParsedAndFormatted) {
  using std::chrono::milliseconds;
  BOOST_TEST((*parseDuration("800ms") == milliseconds(800)));
  BOOST_TEST((*parseDuration("2 s") == milliseconds(2000)));
  BOOST_TEST((*parseDuration("1.5min") == milliseconds(90'000)));
  BOOST_TEST(*parseShare("20%") == 0.2);
  BOOST_TEST(*parseShare("0.35") == 0.35);
  for (const char *Bad : {"", "ms", "800", "5 parsecs", "-1s", "1e9h"})
    BOOST_TEST(!parseDuration(Bad).ok(), Bad);
  for (const char *Bad : {"", "120%", "2", "x"})
    BOOST_TEST(!parseShare(Bad).ok(), Bad);
  BOOST_TEST(formatDuration(milliseconds(86'400'000)) == "24 h");
  BOOST_TEST(formatDuration(milliseconds(1500)) == "1500 ms");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
