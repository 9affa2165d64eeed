#include "platform/ConfigurationDocument.h"
#include "platform/ControlCalls.h"
#include "platform/DutyCalls.h"
#include "platform/Heartbeat.h"
#include "platform/RequestHeaders.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace UnitTests {

namespace {

using Json = nlohmann::json;

Json soundDocument() {
  return Json::parse(R"({"version":7,
    "routes":[{"name":"r","host":"h","path-prefix":"/a/",
      "route-kind":"streaming","timeout-ms":15000,"slo-ms":2500,"priority":2,
      "backends":[{"service":"s","weight":90},{"service":"t","weight":10}],
      "max-attempts":2,"public":false,"sticky":true,"resumable":true,
      "gap-target-ms":500}],
    "services":[{"name":"s","health-path":"/health","max-conns":370,
      "engine":{"slots":64,"kv-capacity":579467,"stride":6},
      "scaling":{"min":1,"max":6,"boot-s":4.0,"spot-price":0.22,
        "zone-prices":{"z":1.25}}},{"name":"t"}],
    "limits":{"max-header-bytes":16384,"idle-timeout-ms":15000},
    "tenants":[{"name":"team","api-keys":["k"],"priority":1,"unit":"tokens",
      "plain-tokens":200,"rate-per-s":241319,"burst":5}]})");
}

Json soundBeat() {
  return Json::parse(R"({"service":"s","address":"10.1.0.9:80","zone":"z",
    "version":"v1","slots":64,"state":"ready","cold-left-ms":0,"sequence":4,
    "born":1774353768076,"spot":true})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Platform_)

BOOST_AUTO_TEST_CASE(AConfigurationIsDecodedIntoTheProjectsWords) {
  const auto Map = Platform::decodeConfiguration(soundDocument().dump());
  BOOST_REQUIRE_MESSAGE(Map.ok(), Map.status().message());
  BOOST_TEST(Map->version().Value == 7u);
  const Configuration::Route *Route = Map->route("h", "/a/b");
  BOOST_REQUIRE(Route);
  BOOST_TEST(Route->isIdempotent());
  BOOST_TEST(Common::toSeconds(Route->Timeout) == 15);
  BOOST_TEST(Route->Services.size() == 2u);
  BOOST_TEST(Route->MaxAttempts == 2u);
  const auto *Service = Map->service(Common::ServiceName("s"));
  BOOST_TEST(Service->Engine->TokensPerEvent == 6u);
  BOOST_TEST(Service->Scaling->ReclaimablePriceRatio == 0.22);
  const auto *Team = Map->findTeamByKey("k");
  BOOST_REQUIRE(Team);
  BOOST_TEST(Team->TokenRate == 241319);
  BOOST_TEST(Team->PlainRequestTokens == 200);
}

BOOST_AUTO_TEST_CASE(InvalidConfigurationsAreRefused) {
  struct Row {
    const char *What;
    std::function<void(Json &)> Spoil;
  };
  const std::vector<Row> Rows = {
      {"no version", [](Json &J) { J.erase("version"); }},
      {"a version that is a text", [](Json &J) { J["version"] = "7"; }},
      {"no routes", [](Json &J) { J.erase("routes"); }},
      {"no services", [](Json &J) { J.erase("services"); }},
      {"an unknown service",
       [](Json &J) { J["routes"][0]["backends"][0]["service"] = "u"; }},
      {"weights of 0",
       [](Json &J) {
         J["routes"][0]["backends"][0]["weight"] = 0;
         J["routes"][0]["backends"][1]["weight"] = 0;
       }},
      {"a time-out of 0", [](Json &J) { J["routes"][0]["timeout-ms"] = 0; }},
      {"an unknown kind",
       [](Json &J) { J["routes"][0]["route-kind"] = "odd"; }},
      {"two routes at one place",
       [](Json &J) { J["routes"].push_back(J["routes"][0]); }},
      {"a shared key",
       [](Json &J) {
         J["tenants"].push_back(J["tenants"][0]);
         J["tenants"][1]["name"] = "other";
       }},
      {"a key that is a number",
       [](Json &J) { J["tenants"][0]["api-keys"][0] = 5; }}};
  for (const Row &Each : Rows) {
    Json Spoiled = soundDocument();
    Each.Spoil(Spoiled);
    BOOST_TEST(!Platform::decodeConfiguration(Spoiled.dump()).ok(), Each.What);
  }
  const std::string Whole = soundDocument().dump();
  for (std::size_t Length = 0; Length < Whole.size(); Length += 7)
    BOOST_TEST(!Platform::decodeConfiguration(Whole.substr(0, Length)).ok());
}

BOOST_AUTO_TEST_CASE(HeartbeatsThatNameNoServerAreRefused) {
  const Common::BackendServerId Id("i-1");
  const auto Sound = Platform::decodeHeartbeat(Id, soundBeat().dump());
  BOOST_REQUIRE(Sound.ok());
  BOOST_TEST(Sound->StartedAt == 1774353768076u);
  BOOST_TEST(Sound->Reclaimable);
  BOOST_CHECK(Sound->Phase == Membership::ServerPhase::Serving);
  struct Row {
    const char *Field;
    Json Value;
  };
  const std::vector<Row> Rows = {
      {"service", 5},     {"service", nullptr}, {"address", "x"},
      {"address", 7},     {"zone", nullptr},    {"slots", "64"},
      {"slots", -1},      {"slots", 0},         {"state", "odd"},
      {"state", nullptr}, {"sequence", 1.5},    {"sequence", "4"},
      {"sequence", -4},   {"born", "x"},        {"born", -5},
      {"spot", "yes"}};
  for (const Row &Each : Rows) {
    Json Spoiled = soundBeat();
    if (Each.Value.is_null())
      Spoiled.erase(Each.Field);
    else
      Spoiled[Each.Field] = Each.Value;
    BOOST_TEST(!Platform::decodeHeartbeat(Id, Spoiled.dump()).ok(),
               Each.Field << " = " << Each.Value);
  }
  for (const char *Each : {"", "{", "[]", "5", "\xff\xfe"})
    BOOST_TEST(!Platform::decodeHeartbeat(Id, Each).ok());
}

BOOST_AUTO_TEST_CASE(ControlCallsAreToldApartByTheirWholePath) {
  const auto Is = [](const char *Method, const char *Path) {
    return Platform::decodeControlCall(Method, Path).index();
  };
  BOOST_TEST(Is("POST", "/sycamorereach/replicas/i-1/heartbeat") == 0u);
  BOOST_TEST(Is("POST", "/sycamorereach/replicas/i-1/deregister") == 1u);
  BOOST_TEST(Is("POST", "/sycamorereach/config/replace") == 2u);
  BOOST_TEST(Is("GET", "/sycamorereach/config/read") == 3u);
  BOOST_TEST(Is("GET", "/sycamorereach/config/replace") == 4u);
  BOOST_TEST(Is("POST", "/sycamorereach/replicas//heartbeat") == 4u);
  BOOST_TEST(Is("POST", "/sycamorereach/replicas/a/b/heartbeat") == 4u);
  BOOST_TEST(Is("POST", "/") == 4u);
}

BOOST_AUTO_TEST_CASE(CallersHeadersAreReadOrRefused) {
  const auto Read = [](const char *Name, const char *Value) {
    return Platform::decodeCallerHeaders({{Name, Value}});
  };
  BOOST_TEST(Common::toSeconds(
                 *Read("x-sycamorereach-request-deadline", "1500")->TimeLeft) ==
             1.5);
  BOOST_TEST(!Read("X-Sycamorereach-Request-Deadline", "soon").ok());
  BOOST_TEST(!Read("X-Sycamorereach-Request-Deadline", "-1").ok());
  BOOST_TEST(!Read("X-Sycamorereach-Request-Deadline", "nan").ok());
  BOOST_TEST(
      Read("X-Sycamorereach-Token-Count", "1460,80")->Prompt->totalTokens() ==
      1540u);
  BOOST_TEST(!Read("X-Sycamorereach-Token-Count", "1460").ok());
  const auto Prefix = Read("X-Sycamorereach-Prefix-Hash", "5c:800,91:410");
  BOOST_REQUIRE(Prefix.ok());
  BOOST_TEST(Prefix->Prompt->Parts[1].Tokens == 410u);
  BOOST_TEST(!Read("X-Sycamorereach-Prefix-Hash", "5c").ok());
}

BOOST_AUTO_TEST_CASE(OnlyThisSystemSetsItsHeaders) {
  const Network::HttpHeaders From = {
      {"Host", "h"},
      {"Authorization", "Bearer secret"},
      {"X-Sycamorereach-Tenant", "forged"},
      {"X-Sycamorereach-Hold", "1"},
      {"x-sycamorereach-pin-duration", "9"},
      {"X-Sycamorereach-Kv-Backup", "10.0.0.1:1"},
      {"Kv-From", "10.0.0.1:1/1"},
      {"Kv-Fetch", "10.0.0.1:1"},
      {"X-Sycamorereach-Request-Priority", "0"},
      {"X-Sycamorereach-Request-Deadline", "99999"},
      {"X-Sycamorereach-Request-Id", "id-1"},
      {"Connection", "close, X-Mine, X-Sycamorereach-Request-Id"},
      {"X-Mine", "dropped"},
      {"Transfer-Encoding", "chunked"},
      {"X-Other", "kept"}};
  Platform::OnwardHeaders Set;
  Set.TimeLeft = std::chrono::milliseconds(1500);
  Set.Server = Common::BackendServerId("i-1");
  Set.Team = Configuration::TeamName("team");
  const auto To = Platform::encodeOnwardHeaders(From, Set);
  const auto Of = [&To](const char *Name) {
    return Network::findHeader(To, Name).value_or("none");
  };
  BOOST_TEST(Of("Authorization") == "none");
  BOOST_TEST(Of("X-Sycamorereach-Tenant") == "team");
  BOOST_TEST(Of("X-Sycamorereach-Hold") == "none");
  BOOST_TEST(Of("X-Sycamorereach-Pin-Duration") == "none");
  BOOST_TEST(Of("X-Sycamorereach-Kv-Backup") == "none");
  BOOST_TEST(Of("Kv-From") == "none");
  BOOST_TEST(Of("Kv-Fetch") == "none");
  BOOST_TEST(Of("X-Sycamorereach-Request-Priority") == "none");
  BOOST_TEST(Of("X-Sycamorereach-Request-Deadline") == "1500");
  BOOST_TEST(Of("X-Sycamorereach-Request-Id") == "id-1");
  BOOST_TEST(Of("X-Sycamorereach-Expect-Replica") == "i-1");
  BOOST_TEST(Of("Transfer-Encoding") == "none");
  BOOST_TEST(Of("X-Mine") == "none");
  BOOST_TEST(Of("X-Other") == "kept");
}

BOOST_AUTO_TEST_CASE(AnswersSayWhetherTheRequestRan) {
  const auto Facts = [](int Status, const char *Name) {
    return Platform::decodeAnswer(Status, {{Name, "1"}});
  };
  BOOST_TEST(Facts(503, "X-Sycamorereach-Not-Executed").NotRun);
  BOOST_TEST(!Facts(503, "Other").NotRun);
  BOOST_TEST(!Facts(429, "Other").NotRun);
  BOOST_TEST(Facts(421, "Other").NotRun);
  BOOST_TEST(Facts(200, "X-Sycamorereach-Replica-Signature").Signed);
}

BOOST_AUTO_TEST_CASE(DutyCallsCarryHolderAndFencingNumber) {
  const auto Call = Platform::encodeScale(
      Common::DaemonId("s1"), {12},
      {Common::ServiceName("s"), Common::DataCentreId("z"), 6, true});
  BOOST_TEST(Call.Target == "/scale");
  BOOST_TEST(*Network::findHeader(Call.Headers,
                                  "X-Sycamorereach-Fencing-Token") == "12");
  const Json Body = Json::parse(Call.Body);
  BOOST_TEST(Body["desired"] == 6);
  BOOST_TEST(Body["spot"] == true);
  const auto Usage =
      Platform::encodeUsage(Common::DaemonId("s1"), {12}, {9},
                            {{Configuration::TeamName("team"), 41}});
  BOOST_TEST(Json::parse(Usage.Body)["counts"]["team"] == 41);
  BOOST_TEST(Json::parse(Usage.Body)["window-id"] == 9);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
