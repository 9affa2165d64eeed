#include "FaultTests/Cluster.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "Network/Frame.h"
#include "Network/SocketAddress.h"

namespace FaultTests {

namespace {

using Network::HttpMethod;

void sendRaw(int Port, const std::string &Bytes, int Type) {
  const int Descriptor = socket(AF_INET, Type, 0);
  const sockaddr_in Where =
      Network::toSocketAddress({"127.0.0.1", static_cast<std::uint16_t>(Port)});
  const int Connected = connect(
      Descriptor, reinterpret_cast<const sockaddr *>(&Where), sizeof(Where));
  BOOST_TEST(Connected == 0);
  send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  close(Descriptor);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ContractTest)

/// Each interface's bad input: the status, the reason, its counter, and that
/// the daemon goes on.
BOOST_AUTO_TEST_CASE(badInputIsRefusedByName) {
  Cluster Test;
  Test.startAll();
  Test.startEngine("engine1", 1);
  Test.startService("orders1", 1);
  BOOST_REQUIRE(Test.await([&] { return Test.servingBackends(1) == 2; }));
  const Network::HttpHeader Key{"Authorization", "Bearer yard-key"};
  const Network::HttpHeader Mill{"Authorization", "Bearer mill-key"};
  const Network::HttpHeader Operator{"Authorization",
                                     "Bearer test-operator-token-1"};
  const Network::HttpHeader Backend{"Authorization",
                                    "Bearer test-backend-token-1"};
  const std::string Chat = "/v1/chat/completions";
  const std::string Orders = "/services/orders/reservations";
  struct Case {
    HttpMethod Method;
    std::string Target;
    std::string Body;
    Network::HttpHeaders Headers;
    int Status;
    const char *Reason;
  };
  const std::string Messages =
      "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]";
  const std::vector<Case> Cases = {
      {HttpMethod::Get, "/nowhere", "", {}, 404, "unknown_route"},
      {HttpMethod::Get, Chat, "", {Key}, 405, "method_not_allowed"},
      {HttpMethod::Post, Chat, "{}", {}, 401, "missing_caller_key"},
      {HttpMethod::Post,
       Chat,
       "{}",
       {{"Authorization", "Bearer no"}},
       401,
       "unknown_caller_key"},
      {HttpMethod::Post, Chat, "{\"a\":", {Key}, 400, "bad_json"},
      {HttpMethod::Post, Chat, "[]", {Key}, 400, "bad_json"},
      {HttpMethod::Post, Chat, "{}", {Key}, 400, "bad_field"},
      {HttpMethod::Post, Chat, "{\"model\":\"m\"}", {Key}, 400, "bad_field"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"m\",\"n\":2," + Messages + "}",
       {Key},
       400,
       "bad_field"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"m\",\"max_tokens\":-1," + Messages + "}",
       {Key},
       400,
       "bad_field"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"gpt\"," + Messages + "}",
       {Key},
       404,
       "unknown_model"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"m\"," + Messages + "}",
       {Key, {"Sycamore-Priority", "soon"}},
       400,
       "unknown_priority"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"m\"," + Messages + "}",
       {Mill, {"Sycamore-Priority", "urgent"}},
       403,
       "priority_not_allowed"},
      {HttpMethod::Get,
       "/services/nothing/x",
       "",
       {Key},
       404,
       "unknown_service"},
      {HttpMethod::Get,
       "/services/assistant/x",
       "",
       {Key},
       404,
       "unknown_service"},
      {HttpMethod::Post, Orders, "{}", {Key}, 400, "missing_idempotency_key"},
      {HttpMethod::Post,
       Orders,
       "{}",
       {Key, {"Idempotency-Key", std::string(129, 'k')}},
       400,
       "bad_idempotency_key"},
      {HttpMethod::Post,
       Orders,
       std::string(70'000, 'x'),
       {Key, {"Idempotency-Key", "big"}},
       413,
       "body_too_large"},
      {HttpMethod::Get,
       "/v1/requests/never-sent",
       "",
       {Key},
       404,
       "request_not_found"},
      {HttpMethod::Post,
       "/v1/operator",
       "show services",
       {},
       401,
       "wrong_operator_token"},
      {HttpMethod::Post,
       "/v1/operator",
       "shwo services",
       {Operator},
       400,
       "bad_statement"},
      {HttpMethod::Post,
       "/v1/operator",
       "set service none replicas 2",
       {Operator},
       409,
       "change_refused"},
      {HttpMethod::Post,
       "/v1/operator",
       "set service orders replicas 2 at version 1",
       {Operator},
       409,
       "version_conflict"},
      {HttpMethod::Post,
       "/v1/announce",
       "{}",
       {Operator},
       401,
       "wrong_backend_token"},
      {HttpMethod::Post,
       "/v1/announce",
       "{}",
       {Backend},
       400,
       "bad_announcement"},
      {HttpMethod::Post,
       "/v1/reclaims",
       "{\"host\":7}",
       {Operator},
       400,
       "bad_field"},
  };
  const int Port = Test.entryHttp(1);
  for (const Case &Each : Cases) {
    const double Before = Test.refusals(Port, Each.Reason);
    const Reply Answer =
        Test.call(Port, Each.Method, Each.Target, Each.Body, Each.Headers);
    BOOST_TEST(Answer.Status == Each.Status, Each.Reason << Answer.Body);
    BOOST_TEST(Answer.title() == Each.Reason);
    BOOST_TEST(Answer.outcome() == "not_run");
    BOOST_TEST(Test.refusals(Port, Each.Reason) == Before + 1, Each.Reason);
  }
  // Over the limits that evhttp holds before a request is handed over.
  const Reply Large = Test.call(Port, HttpMethod::Post, Chat,
                                std::string(5u << 20, 'x'), {Key});
  BOOST_TEST((Large.Status == 413 || Large.Status == 0));
  BOOST_TEST(Test.call(Port, HttpMethod::Get, "/healthz").Status == 200);
  BOOST_TEST(Test.chat(1, "still there?", 3).Status == 200);
}

BOOST_AUTO_TEST_CASE(foreignAndDamagedFramesAreCounted) {
  Cluster Test;
  Test.startAll();
  const Network::FrameCodec Foreign(Network::ClusterKey{"another-key"});
  const Network::FrameCodec Own(Network::ClusterKey{"test-cluster-key-001"});
  const std::string Oversized = std::string("ACYS") + std::string(36, '\xff');
  struct Case {
    std::string Bytes;
    const char *Reason;
  };
  const std::vector<Case> Cases = {
      {std::string(64, 'x'), "damaged_frame"},
      {Foreign.encodeFrame("hello"), "foreign_frame"},
      {Oversized, "oversized_frame"},
      {Own.encodeFrame(std::string(16, '\xff')), "undecodable_frame"},
  };
  struct Target {
    int Port;
    int Type;
    int Http;
  };
  const std::vector<Target> Targets = {
      {Test.statePort(2), SOCK_STREAM, Test.stateHttp(2)},
      {Test.entryPeer(2), SOCK_STREAM, Test.entryHttp(2)},
      {Test.entryPeer(2), SOCK_DGRAM, Test.entryHttp(2)},
  };
  for (const Target &Where : Targets)
    for (const Case &Each : Cases) {
      const double Before = Test.refusals(Where.Http, Each.Reason);
      sendRaw(Where.Port, Each.Bytes, Where.Type);
      BOOST_TEST(Test.await([&] {
        return Test.refusals(Where.Http, Each.Reason) > Before;
      }),
                 Each.Reason);
    }
  BOOST_TEST(Test.call(Test.entryHttp(2), HttpMethod::Get, "/readyz").Status ==
             200);
  BOOST_TEST(Test.stateLeader() != 0);
}

BOOST_AUTO_TEST_CASE(settingsAreCheckedAllAtOnce) {
  const ProgramOutput Bad =
      runProgram(programPath("sycamore-entry"),
                 {"--http=nonsense", "--drain-grace=-3", "--log-level=loud"});
  BOOST_TEST(Bad.ExitCode == 2);
  for (const char *Flag : {"--name", "--datacentre", "--http", "--state",
                           "--drain-grace", "--log-level"})
    BOOST_TEST(Bad.Text.find(Flag) != std::string::npos, Flag);
  for (const char *Program :
       {"sycamore-entry", "sycamore-state", "sycamorectl"}) {
    BOOST_TEST(runProgram(programPath(Program), {"--help"}).ExitCode == 0);
    BOOST_TEST(runProgram(programPath(Program), {"--version"}).ExitCode == 0);
    BOOST_TEST(runProgram(programPath(Program), {"--no-such"}).ExitCode == 2);
  }
}

BOOST_AUTO_TEST_CASE(controlProgramTellsFaultsApart) {
  Cluster Test;
  Test.startAll();
  const std::string Daemon =
      "--daemons=127.0.0.1:" + std::to_string(Test.entryHttp(1));
  const std::string Ctl = programPath("sycamorectl");
  BOOST_TEST(runProgram(Ctl, {Daemon, "show", "services"}).ExitCode == 0);
  BOOST_TEST(runProgram(Ctl, {Daemon, "shwo", "services"}).ExitCode == 1);
  BOOST_TEST(runProgram(Ctl, {"show", "services"}).ExitCode == 2);
  BOOST_TEST(
      runProgram(Ctl, {"--daemons=127.0.0.1:1", "show", "services"}).ExitCode ==
      3);
  const auto Json = runProgram(Ctl, {Daemon, "--json", "show", "services"});
  BOOST_TEST(nlohmann::json::parse(Json.Text, nullptr, false).is_array());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
