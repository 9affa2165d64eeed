#include "FaultTests/RoutedCluster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

// Admission levels with real daemons.

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

class AdmissionSetting {
public:
  AdmissionSetting() { setenv("SYCAMORE_ADMISSION", "1", 1); }
  ~AdmissionSetting() { unsetenv("SYCAMORE_ADMISSION"); }
  AdmissionSetting(const AdmissionSetting &) = delete;
  AdmissionSetting &operator=(const AdmissionSetting &) = delete;
};

bool contains(const std::string &Text, const char *Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedAdmission)

// Guards against a service short of room whose leader does not tell the entry
// daemons, against refused requests that reach a server, and against a level
// that stays when there is room again.
BOOST_AUTO_TEST_CASE(ALevelFollowsTheRoomOfAService) {
  const AdmissionSetting Setting;
  RoutedCluster Fixture;
  Fixture.startAll();
  bool Full = true;
  Fixture.OnServerRequest =
      [&Full](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        if (Full)
          Exchange->reply(503, {{"X-Sycamorereach-Not-Executed", "1"}}, "full");
        else
          RoutedCluster::respond(*Exchange);
      };
  std::vector<std::shared_ptr<RoutedResponse>> Responses;
  const auto Timer = Fixture.loop().callEvery(
      20ms, [&] { Responses.push_back(Fixture.startRequest("/a/x")); });
  const auto Announcing =
      Fixture.loop().callEvery(1s, [&] { Fixture.announce("ready"); });
  const int Leader = Fixture.leader();
  BOOST_REQUIRE(Leader != 0);
  const std::string LeaderName = "state" + std::to_string(Leader);
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return contains(Fixture.log("entry"), "event=admission_refused") &&
           contains(Fixture.log("entry"), "by=leader");
  }));
  BOOST_TEST(contains(Fixture.log(LeaderName), "event=admission_level"));
  const auto Refused = [&Responses] {
    return std::find_if(
        Responses.begin(), Responses.end(), [](const auto &Each) {
          return Each->Done &&
                 Network::findHeader(Each->Headers, "X-Request-Outcome") ==
                     "admission_limited";
        });
  };
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Refused() != Responses.end(); }));
  BOOST_TEST((*Refused())->Status == 503);
  BOOST_TEST(
      Network::findHeader((*Refused())->Headers, "Retry-After").has_value());
  Full = false;
  BOOST_TEST(Fixture.waitUntil(
      [&] { return contains(Fixture.log(LeaderName), "rank=all"); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
