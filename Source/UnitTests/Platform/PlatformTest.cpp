#include "platform/ConfigurationDocument.h"
#include "platform/ControlRequests.h"
#include "platform/DutyRequests.h"
#include "platform/Heartbeat.h"
#include "platform/RequestHeaders.h"
#include "platform/RolloutDocuments.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace UnitTests {

namespace {

using Json = nlohmann::json;

Json validDocument() {
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

Json validHeartbeat() {
  return Json::parse(R"({"service":"s","address":"10.1.0.9:80","zone":"z",
    "version":"v1","slots":64,"state":"ready","cold-left-ms":0,"sequence":4,
    "born":1774353768076,"spot":true})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Platform_)

BOOST_AUTO_TEST_CASE(DecodesConfigurationDocument) {
  const auto Map = Platform::decodeConfiguration(validDocument().dump());
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

// A configuration whose last team was removed admitted requests with any key.
BOOST_AUTO_TEST_CASE(AnEmptyListOfTeamsStillRequiresKeys) {
  Json Document = validDocument();
  Document["tenants"] = Json::array();
  const auto NoTeams = Platform::decodeConfiguration(Document.dump());
  BOOST_REQUIRE_MESSAGE(NoTeams.ok(), NoTeams.status().message());
  BOOST_TEST(NoTeams->requiresKeys());
  Document.erase("tenants");
  const auto NoKeys = Platform::decodeConfiguration(Document.dump());
  BOOST_REQUIRE(NoKeys.ok());
  BOOST_TEST(!NoKeys->requiresKeys());
}

BOOST_AUTO_TEST_CASE(RejectsInvalidConfigurations) {
  struct Case {
    const char *Description;
    std::function<void(Json &)> Invalidate;
  };
  const std::vector<Case> Cases = {
      {"no version", [](Json &J) { J.erase("version"); }},
      {"a string as version", [](Json &J) { J["version"] = "7"; }},
      {"no routes", [](Json &J) { J.erase("routes"); }},
      {"no services", [](Json &J) { J.erase("services"); }},
      {"an unknown service",
       [](Json &J) { J["routes"][0]["backends"][0]["service"] = "u"; }},
      {"no weight above 0",
       [](Json &J) {
         J["routes"][0]["backends"][0]["weight"] = 0;
         J["routes"][0]["backends"][1]["weight"] = 0;
       }},
      {"a timeout of 0", [](Json &J) { J["routes"][0]["timeout-ms"] = 0; }},
      {"an unknown route kind",
       [](Json &J) { J["routes"][0]["route-kind"] = "odd"; }},
      {"two routes with the same host and path",
       [](Json &J) { J["routes"].push_back(J["routes"][0]); }},
      {"an API key of two teams",
       [](Json &J) {
         J["tenants"].push_back(J["tenants"][0]);
         J["tenants"][1]["name"] = "other";
       }},
      {"a number as API key",
       [](Json &J) { J["tenants"][0]["api-keys"][0] = 5; }},
      {"a list as document", [](Json &J) { J = Json::array({J}); }}};
  for (const Case &Current : Cases) {
    Json Invalid = validDocument();
    Current.Invalidate(Invalid);
    BOOST_TEST(!Platform::decodeConfiguration(Invalid.dump()).ok(),
               Current.Description);
  }
  const std::string Document = validDocument().dump();
  for (std::size_t Length = 0; Length < Document.size(); Length += 7)
    BOOST_TEST(!Platform::decodeConfiguration(Document.substr(0, Length)).ok());
}

// Guards against a number that is converted to another one, so that a version
// of -1 became the highest one and two weights added up to more than 0.
BOOST_AUTO_TEST_CASE(RejectsNumbersOutOfRange) {
  const std::vector<std::string> Counts = {
      "/routes/0/priority",        "/routes/0/max-attempts",
      "/services/0/max-conns",     "/services/0/engine/slots",
      "/services/0/engine/stride", "/services/0/scaling/min",
      "/services/0/scaling/max",   "/tenants/0/priority"};
  const std::vector<std::string> Amounts = {"/routes/0/timeout-ms",
                                            "/routes/0/slo-ms",
                                            "/routes/0/gap-target-ms",
                                            "/routes/0/backends/0/weight",
                                            "/services/0/engine/kv-capacity",
                                            "/services/0/engine/kv-token-bytes",
                                            "/services/0/scaling/boot-s",
                                            "/services/0/scaling/spot-price",
                                            "/services/0/scaling/zone-prices/z",
                                            "/tenants/0/rate-per-s",
                                            "/tenants/0/burst",
                                            "/tenants/0/plain-tokens",
                                            "/limits/max-header-bytes",
                                            "/limits/max-body-bytes",
                                            "/limits/header-timeout-ms",
                                            "/limits/idle-timeout-ms"};
  const auto Accepts = [](const std::string &Path, const Json &Value) {
    Json Document = validDocument();
    Document[Json::json_pointer(Path)] = Value;
    return Platform::decodeConfiguration(Document.dump()).ok();
  };
  for (const Json &Value :
       {Json(-1), Json(-0.5), Json(8.7), Json(1e30), Json(true), Json("7")}) {
    BOOST_TEST(!Accepts("/version", Value), Value);
    for (const std::string &Path : Counts)
      BOOST_TEST(!Accepts(Path, Value), Path << " = " << Value);
  }
  for (const std::string &Path : Counts) {
    BOOST_TEST(!Accepts(Path, 4294967296), Path);
    BOOST_TEST(Accepts(Path, 4294967295), Path);
    BOOST_TEST(Accepts(Path, 2.0), Path);
  }
  for (const std::string &Path : Amounts) {
    for (const Json &Value : {Json(-1), Json(-0.5), Json(true), Json("7")})
      BOOST_TEST(!Accepts(Path, Value), Path << " = " << Value);
    for (const Json &Value : {Json(7), Json(7.5), Json(1e300)})
      BOOST_TEST(Accepts(Path, Value), Path << " = " << Value);
  }
}

BOOST_AUTO_TEST_CASE(KeepsTheVersionOfADocument) {
  const auto VersionOf = [](const std::string &Text) {
    Json Document = validDocument();
    Document.erase("version");
    const std::string Rest = Document.dump().substr(1);
    const auto Map =
        Platform::decodeConfiguration("{\"version\":" + Text + "," + Rest);
    BOOST_REQUIRE_MESSAGE(Map.ok(), Map.status().message());
    return Map->version().Value;
  };
  BOOST_TEST(VersionOf("0") == 0u);
  BOOST_TEST(VersionOf("7.0") == 7u);
  BOOST_TEST(VersionOf("1e3") == 1000u);
  BOOST_TEST(VersionOf("9007199254740993") == 9007199254740993u);
  BOOST_TEST(VersionOf("18446744073709551615") == 18446744073709551615u);
}

// Guards against an operator's template without a value: null and {} were taken
// for empty lists, so that a configuration lost its routes.
BOOST_AUTO_TEST_CASE(RejectsOtherValuesThanListsAndTables) {
  const std::vector<std::string> Lists = {"/routes", "/services", "/tenants",
                                          "/routes/0/backends",
                                          "/tenants/0/api-keys"};
  const std::vector<std::string> Tables = {"/limits",
                                           "/routes/0",
                                           "/services/0",
                                           "/tenants/0",
                                           "/services/0/engine",
                                           "/services/0/scaling",
                                           "/services/0/scaling/zone-prices"};
  const auto ExpectRefused = [](const std::string &Path, const Json &Value) {
    Json Document = validDocument();
    Document[Json::json_pointer(Path)] = Value;
    BOOST_TEST(!Platform::decodeConfiguration(Document.dump()).ok(),
               Path << " = " << Value);
  };
  for (const Json &Value : {Json(), Json(7), Json(""), Json(false)})
    for (const auto &Paths : {Lists, Tables})
      for (const std::string &Path : Paths)
        ExpectRefused(Path, Value);
  for (const std::string &Path : Lists) {
    ExpectRefused(Path, Json::object());
    ExpectRefused(Path, Json{{"0", validDocument()["routes"][0]}});
  }
  for (const std::string &Path : Tables)
    ExpectRefused(Path, Json::array());
}

BOOST_AUTO_TEST_CASE(NullStandsForAMissingValue) {
  Json Document = validDocument();
  for (const char *Path :
       {"/routes/0/slo-ms", "/routes/0/priority", "/routes/0/public",
        "/services/0/max-conns", "/services/0/engine/stride",
        "/services/0/scaling/boot-s", "/tenants/0/priority", "/tenants/0/burst",
        "/limits/idle-timeout-ms"})
    Document[Json::json_pointer(Path)] = nullptr;
  const auto Map = Platform::decodeConfiguration(Document.dump());
  BOOST_REQUIRE_MESSAGE(Map.ok(), Map.status().message());
  BOOST_TEST(!Map->findTeamByKey("k")->Priority);
  BOOST_TEST(!Map->route("h", "/a/b")->Public);
  for (const char *Path : {"/version", "/routes/0/timeout-ms",
                           "/routes/0/backends/0/weight", "/tenants/0/name"}) {
    Json Missing = validDocument();
    Missing[Json::json_pointer(Path)] = nullptr;
    BOOST_TEST(!Platform::decodeConfiguration(Missing.dump()).ok(), Path);
  }
}

// The ratio of the weights counts, also if they are no whole numbers.
BOOST_AUTO_TEST_CASE(WeightsMayHaveFractions) {
  const auto WeightsOf = [](double First, double Second) {
    Json Document = validDocument();
    Document["routes"][0]["backends"][0]["weight"] = First;
    Document["routes"][0]["backends"][1]["weight"] = Second;
    const auto Map = Platform::decodeConfiguration(Document.dump());
    BOOST_REQUIRE_MESSAGE(Map.ok(), Map.status().message());
    const auto &Services = Map->routes()[0].Services;
    return std::make_pair(Services[0].Weight, Services[1].Weight);
  };
  BOOST_CHECK(WeightsOf(90, 10) == std::make_pair(90u, 10u));
  BOOST_CHECK(WeightsOf(0.25, 0.5) == std::make_pair(500'000u, 1'000'000u));
  BOOST_CHECK(WeightsOf(1e12, 0) == std::make_pair(1'000'000u, 0u));
  BOOST_CHECK(WeightsOf(1e12, 1e-3) == std::make_pair(1'000'000u, 1u));
}

// Guards against a document that an earlier release accepted and stored, and
// that keeps a daemon of this release from starting or from later versions.
BOOST_AUTO_TEST_CASE(ReadsWhatEarlierReleasesAccepted) {
  struct Row {
    const char *Path;
    Json Value;
  };
  const std::vector<Row> Rows = {{"/routes", nullptr},
                                 {"/routes", Json::object()},
                                 {"/services/0/max-conns", true},
                                 {"/tenants", nullptr},
                                 {"/tenants", Json::object()},
                                 {"/tenants/0/api-keys", nullptr},
                                 {"/limits", nullptr},
                                 {"/services/0/scaling/zone-prices", nullptr},
                                 {"/version", -1},
                                 {"/version", 8.7},
                                 {"/routes/0/backends/0/weight", -90},
                                 {"/routes/0/backends/0/weight", true},
                                 {"/routes/0/slo-ms", -1e300},
                                 {"/routes/0/timeout-ms", 1e300},
                                 {"/routes/0/priority", -1},
                                 {"/routes/0/max-attempts", 1e30},
                                 {"/services/0/engine/kv-capacity", -1},
                                 {"/services/0/scaling/max", -1},
                                 {"/tenants/0/rate-per-s", -1},
                                 {"/limits/max-body-bytes", -1}};
  for (const Row &Each : Rows) {
    Json Document = validDocument();
    Document[Json::json_pointer(Each.Path)] = Each.Value;
    BOOST_TEST(!Platform::decodeConfiguration(Document.dump()).ok() ==
                   (Each.Value != Json(1e300)),
               Each.Path << " = " << Each.Value);
    const auto Stored = Platform::decodeStoredConfiguration(Document.dump());
    BOOST_TEST(Stored.ok(), Each.Path << " = " << Each.Value);
    if (Stored.ok())
      BOOST_TEST(Stored->requiresKeys());
  }
  const auto StoredVersion = [](const Json &Version) {
    Json Document = validDocument();
    Document["version"] = Version;
    return Platform::decodeStoredConfiguration(Document.dump())
        ->version()
        .Value;
  };
  BOOST_TEST(StoredVersion(7) == 7u);
  BOOST_TEST(StoredVersion(-1) == 0u);
  BOOST_TEST(StoredVersion(8.7) == 7u);
  BOOST_TEST(StoredVersion(0.5) == 0u);
  BOOST_TEST(StoredVersion(1e30) == 0u);
}

BOOST_AUTO_TEST_CASE(RejectsHeartbeatsWithoutUsableServer) {
  const Common::BackendServerId Id("i-1");
  const auto Valid = Platform::decodeHeartbeat(Id, validHeartbeat().dump());
  BOOST_REQUIRE(Valid.ok());
  BOOST_TEST(Valid->StartedAt == 1774353768076u);
  BOOST_TEST(Valid->Reclaimable);
  BOOST_CHECK(Valid->Phase == Membership::ServerPhase::Serving);
  struct Case {
    const char *Field;
    Json Value;
  };
  const std::vector<Case> Cases = {
      {"service", 5},     {"service", nullptr}, {"address", "x"},
      {"address", 7},     {"zone", nullptr},    {"slots", "64"},
      {"slots", -1},      {"slots", 0},         {"state", "odd"},
      {"state", nullptr}, {"sequence", 1.5},    {"sequence", "4"},
      {"sequence", -4},   {"born", "x"},        {"born", -5},
      {"spot", "yes"}};
  for (const Case &Current : Cases) {
    Json Invalid = validHeartbeat();
    if (Current.Value.is_null())
      Invalid.erase(Current.Field);
    else
      Invalid[Current.Field] = Current.Value;
    BOOST_TEST(!Platform::decodeHeartbeat(Id, Invalid.dump()).ok(),
               Current.Field << " = " << Current.Value);
  }
  for (const char *Body : {"", "{", "[]", "5", "\xff\xfe"})
    BOOST_TEST(!Platform::decodeHeartbeat(Id, Body).ok());
}

// Guards against a warm-up time that is converted to another number, or whose
// end lies beyond the clock's range.
BOOST_AUTO_TEST_CASE(WarmUpTimesOfHeartbeatsAreLimited) {
  const auto WarmUpOf = [](const Json &Value) {
    Json Body = validHeartbeat();
    Body["cold-left-ms"] = Value;
    const auto Decoded =
        Platform::decodeHeartbeat(Common::BackendServerId("i-1"), Body.dump());
    BOOST_REQUIRE(Decoded.ok());
    return Decoded->WarmUpMilliseconds;
  };
  constexpr std::uint64_t DayMilliseconds = 86'400'000;
  BOOST_TEST(WarmUpOf(1500) == 1500u);
  BOOST_TEST(WarmUpOf(-1) == 0u);
  BOOST_TEST(WarmUpOf(1e15) == DayMilliseconds);
  BOOST_TEST(WarmUpOf(1e300) == DayMilliseconds);
}

BOOST_AUTO_TEST_CASE(AnUnusableVersionLeavesTheHeartbeatValid) {
  const Common::BackendServerId Id("i-1");
  const auto VersionFor = [&Id](const Json &Value) {
    Json Body = validHeartbeat();
    Body["version"] = Value;
    const auto Decoded = Platform::decodeHeartbeat(Id, Body.dump());
    BOOST_REQUIRE(Decoded.ok());
    return Decoded->Version.str();
  };
  BOOST_TEST(VersionFor("v1") == "v1");
  BOOST_TEST(VersionFor(std::string(64, 'x')) == std::string(64, 'x'));
  const std::vector<Json> Unusable = {
      "",      std::string(65, 'x'), "v\n1",        5,
      nullptr, Json::array({"v1"}),  Json::object()};
  for (const Json &Each : Unusable)
    BOOST_TEST(VersionFor(Each).empty(), Each.dump());
  Json Absent = validHeartbeat();
  Absent.erase("version");
  const auto Decoded = Platform::decodeHeartbeat(Id, Absent.dump());
  BOOST_REQUIRE(Decoded.ok());
  BOOST_TEST(Decoded->Version.empty());
}

BOOST_AUTO_TEST_CASE(MatchesControlRequestsByCompletePath) {
  const auto RequestIndex = [](const char *Method, const char *Path) {
    return Platform::decodeControlRequest(Method, Path).index();
  };
  BOOST_TEST(RequestIndex("POST", "/sycamorereach/replicas/i-1/heartbeat") ==
             0u);
  BOOST_TEST(RequestIndex("POST", "/sycamorereach/replicas/i-1/deregister") ==
             1u);
  BOOST_TEST(RequestIndex("POST", "/sycamorereach/config/replace") == 2u);
  BOOST_TEST(RequestIndex("GET", "/sycamorereach/config/read") == 3u);
  BOOST_TEST(RequestIndex("GET", "/sycamorereach/config/replace") == 4u);
  BOOST_TEST(RequestIndex("POST", "/sycamorereach/replicas//heartbeat") == 4u);
  BOOST_TEST(RequestIndex("POST", "/sycamorereach/replicas/a/b/heartbeat") ==
             4u);
  BOOST_TEST(RequestIndex("POST", "/") == 4u);
  BOOST_TEST(RequestIndex("POST", "/sycamorereach/rollouts/begin") == 5u);
  BOOST_TEST(RequestIndex("GET", "/sycamorereach/rollouts/chat/read") == 6u);
  BOOST_TEST(RequestIndex("GET", "/sycamorereach/rollouts/chat/explain") == 7u);
  BOOST_TEST(RequestIndex("GET", "/sycamorereach/rollouts/begin") == 4u);
  BOOST_TEST(RequestIndex("GET", "/sycamorereach/rollouts//read") == 4u);
}

BOOST_AUTO_TEST_CASE(DecodesOrRejectsCallerHeaders) {
  const auto Decode = [](const char *Name, const char *Value) {
    return Platform::decodeCallerHeaders({{Name, Value}});
  };
  BOOST_TEST(
      Common::toSeconds(
          *Decode("x-sycamorereach-request-deadline", "1500")->TimeLeft) ==
      1.5);
  BOOST_TEST(!Decode("X-Sycamorereach-Request-Deadline", "soon").ok());
  BOOST_TEST(!Decode("X-Sycamorereach-Request-Deadline", "-1").ok());
  BOOST_TEST(!Decode("X-Sycamorereach-Request-Deadline", "nan").ok());
  BOOST_TEST(
      Decode("X-Sycamorereach-Token-Count", "1460,80")->Prompt->totalTokens() ==
      1540u);
  BOOST_TEST(!Decode("X-Sycamorereach-Token-Count", "1460").ok());
  const auto Prefix = Decode("X-Sycamorereach-Prefix-Hash", "5c:800,91:410");
  BOOST_REQUIRE(Prefix.ok());
  BOOST_TEST(Prefix->Prompt->Parts[1].Tokens == 410u);
  BOOST_TEST(!Decode("X-Sycamorereach-Prefix-Hash", "5c").ok());
}

// Guards against token counts whose sum overflows, so that a request takes
// nothing from its team's allowance.
BOOST_AUTO_TEST_CASE(TokenCountsDoNotOverflow) {
  constexpr std::uint64_t LargeCount = 1'000'000'000'000;
  for (const char *Count : {"18446744073709551615,1", "1,18446744073709551615",
                            "9223372036854775808,9223372036854775808"}) {
    const auto Decoded = Platform::decodeCallerHeaders(
        {{"X-Sycamorereach-Token-Count", Count},
         {"X-Sycamorereach-Prefix-Hash",
          "5c:18446744073709551615,91:18446744073709551615,e4:1"}});
    BOOST_REQUIRE(Decoded.ok());
    BOOST_TEST(Decoded->Prompt->totalTokens() > LargeCount, Count);
    BOOST_TEST(Decoded->Prompt->unsharedTokens() == 0u);
  }
}

BOOST_AUTO_TEST_CASE(DropsReservedHeadersOfCallers) {
  const Network::HttpHeaders CallerHeaders = {
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
  Platform::ForwardedHeaders Set;
  Set.TimeLeft = std::chrono::milliseconds(1500);
  Set.Server = Common::BackendServerId("i-1");
  Set.Team = Configuration::TeamName("team");
  const auto Forwarded = Platform::encodeForwardedHeaders(CallerHeaders, Set);
  const auto HeaderValue = [&Forwarded](const char *Name) {
    return Network::findHeader(Forwarded, Name).value_or("none");
  };
  BOOST_TEST(HeaderValue("Authorization") == "none");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Tenant") == "team");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Hold") == "none");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Pin-Duration") == "none");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Kv-Backup") == "none");
  BOOST_TEST(HeaderValue("Kv-From") == "none");
  BOOST_TEST(HeaderValue("Kv-Fetch") == "none");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Request-Priority") == "none");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Request-Deadline") == "1500");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Request-Id") == "id-1");
  BOOST_TEST(HeaderValue("X-Sycamorereach-Expect-Replica") == "i-1");
  BOOST_TEST(HeaderValue("Transfer-Encoding") == "none");
  BOOST_TEST(HeaderValue("X-Mine") == "none");
  BOOST_TEST(HeaderValue("X-Other") == "kept");
}

BOOST_AUTO_TEST_CASE(DecodesWhetherRequestWasExecuted) {
  const auto Decode = [](int Status, const char *Name) {
    return Platform::decodeResponseHeaders(Status, {{Name, "1"}});
  };
  BOOST_TEST(Decode(503, "X-Sycamorereach-Not-Executed").NotExecuted);
  BOOST_TEST(!Decode(503, "Other").NotExecuted);
  BOOST_TEST(!Decode(429, "Other").NotExecuted);
  BOOST_TEST(Decode(421, "Other").NotExecuted);
  BOOST_TEST(
      Decode(200, "X-Sycamorereach-Replica-Signature").HasSignatureHeader);
}

// Guards against a server that goes on getting requests although its answers
// say that it leaves.
BOOST_AUTO_TEST_CASE(DecodesWhetherTheServerLeaves) {
  const auto Decode = [](const Network::HttpHeaders &Headers) {
    return Platform::decodeResponseHeaders(200, Headers).Leaving;
  };
  BOOST_TEST(Decode({{"Server-Leaving", "1"}}));
  BOOST_TEST(Decode({{"server-leaving", " 1 "}}));
  BOOST_TEST(Decode({{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}));
  BOOST_TEST(
      Platform::decodeResponseHeaders(503, {{"Server-Leaving", "1"}}).Leaving);
  for (const char *Value : {"", "0", "-1", "11", "no", "inf"})
    BOOST_TEST(!Decode({{"Server-Leaving", Value}}), Value);
  BOOST_TEST(!Decode({{"X-Server-Leaving", "1"}}));
  BOOST_TEST(!Decode({}));
}

BOOST_AUTO_TEST_CASE(DutyRequestsCarryFencingNumber) {
  const auto Scale = Platform::encodeScaleRequest(
      Common::DaemonId("s1"), {12},
      {Common::ServiceName("s"), Common::DataCentreId("z"), 6, true});
  BOOST_TEST(Scale.Target == "/scale");
  BOOST_TEST(*Network::findHeader(Scale.Headers,
                                  "X-Sycamorereach-Fencing-Token") == "12");
  const Json Body = Json::parse(Scale.Body);
  BOOST_TEST(Body["desired"] == 6);
  BOOST_TEST(Body["spot"] == true);
  const auto Usage =
      Platform::encodeUsageReport(Common::DaemonId("s1"), {12}, {9},
                                  {{Configuration::TeamName("team"), 41}});
  BOOST_TEST(Json::parse(Usage.Body)["counts"]["team"] == 41);
  BOOST_TEST(Json::parse(Usage.Body)["window-id"] == 9);
}

// A server's Retry-After decides how long it gets nothing, so every value has a
// defined reading.
BOOST_AUTO_TEST_CASE(ReadsTheRetryAfterOfRejections) {
  struct Case {
    const char *Description;
    int Status;
    std::vector<std::string> Values;
    /// Milliseconds; -1 if there is none, -2 if it is invalid.
    std::int64_t Expected;
  };
  const std::vector<Case> Cases = {
      {"seconds", 503, {"5"}, 5000},
      {"on 429 too", 429, {"2"}, 2000},
      {"a fraction", 503, {"0.25"}, 250},
      {"spaces around it", 503, {" 1 "}, 1000},
      {"zero", 503, {"0"}, 0},
      {"absent", 503, {}, -1},
      {"on a success", 200, {"5"}, -1},
      {"on a failure that is no rejection", 500, {"5"}, -1},
      {"at another server", 421, {"5"}, -1},
      {"empty", 503, {""}, -2},
      {"negative", 503, {"-1"}, -2},
      {"infinite", 503, {"inf"}, -2},
      {"not a number", 503, {"nan"}, -2},
      {"an exponent", 503, {"1e3"}, -2},
      {"two points", 503, {"1.2.3"}, -2},
      {"an HTTP date", 503, {"Sat, 05 Dec 2026 08:00:00 GMT"}, -2},
      {"ten digits are limited to an hour", 503, {"9999999999"}, 3'600'000},
      {"400 digits are limited too", 503, {std::string(400, '9')}, 3'600'000},
      {"the longer of two", 503, {"1", "3"}, 3000},
      {"the valid one of two", 503, {"soon", "3"}, 3000},
      {"two invalid ones", 503, {"soon", "later"}, -2},
  };
  for (const Case &Current : Cases) {
    Network::HttpHeaders Headers;
    for (const std::string &Value : Current.Values)
      Headers.push_back({"retry-after", Value});
    const auto Decoded =
        Platform::decodeResponseHeaders(Current.Status, Headers);
    const std::int64_t Milliseconds =
        !Decoded.RetryAfter.ok() ? -2
        : !*Decoded.RetryAfter   ? -1
                                 : Common::toMilliseconds(**Decoded.RetryAfter);
    BOOST_TEST(Milliseconds == Current.Expected, Current.Description);
  }
}

// An order with a fault must get a typed refusal, not start a rollout.
BOOST_AUTO_TEST_CASE(InvalidRolloutOrdersAreRefused) {
  const auto IsValid = [](const std::string &Body) {
    return Platform::decodeRolloutOrder(Body).ok();
  };
  const auto Order = Platform::decodeRolloutOrder(
      R"({"service":"chat","target":"v2","duration-s":1.5})");
  BOOST_REQUIRE(Order.ok());
  BOOST_TEST(Order->DurationMilliseconds == 1500u);
  for (const char *Duration : {"0", "-1", "86401", "1e999", "\"12\"", "null"})
    BOOST_TEST(
        !IsValid(absl::StrCat(
            R"({"service":"chat","target":"v2","duration-s":)", Duration, "}")),
        Duration);
  const std::string Longest(64, 'v');
  BOOST_TEST(
      IsValid(R"({"service":"a","duration-s":1,"target":")" + Longest + "\"}"));
  BOOST_TEST(!IsValid(R"({"service":"a","duration-s":1,"target":")" + Longest +
                      "v\"}"));
  for (const char *Target : {"\"\"", "2", "\"a\\u0001\"", "null"})
    BOOST_TEST(!IsValid(absl::StrCat(
                   R"({"service":"a","duration-s":1,"target":)", Target, "}")),
               Target);
  BOOST_TEST(!IsValid(R"({"target":"v2","duration-s":1})"));
  BOOST_TEST(!IsValid("[]"));
  BOOST_TEST(!IsValid("v2"));
}

// Guards against TWICE: an answer with the ids of two requests counts as that
// of the first.
BOOST_AUTO_TEST_CASE(RecognisesResponsesWithSeveralIds) {
  const auto Decode = [](const std::vector<std::string> &Ids) {
    Network::HttpHeaders Headers;
    for (const std::string &Each : Ids)
      Headers.push_back({"X-Sycamorereach-Request-Id", Each});
    return Platform::decodeResponseHeaders(503, Headers);
  };
  BOOST_TEST(Decode({"a", "b"}).HasConflictingIds);
  BOOST_TEST(!Decode({"a", "a"}).HasConflictingIds);
  BOOST_TEST(!Decode({"a "}).HasConflictingIds);
  BOOST_TEST(Decode({"a "}).RequestId == "a");
  BOOST_TEST(Decode({}).RequestId.empty());
}

// Guards against a deregistration of another writer that ends a server.
BOOST_AUTO_TEST_CASE(ReadsDeregistrationsWithAndWithoutAStartTime) {
  for (const char *Body : {"", "{}", R"({"sequence":4})"})
    BOOST_TEST(Platform::decodeDeregistration(Body).value() == 0u, Body);
  BOOST_TEST(Platform::decodeDeregistration(R"({"born":1000})").value() ==
             1000u);
  for (const char *Body : {"{", "[]", "null", "born", R"({"born":"1000"})",
                           R"({"born":-1})", R"({"born":1.5})"})
    BOOST_TEST(!Platform::decodeDeregistration(Body).ok(), Body);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
