#include "FaultTests/Cluster.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "Network/Frame.h"
#include "Network/SocketAddress.h"

namespace FaultTests {

namespace {

using Network::HttpMethod;

void sendBytes(int Port, const std::string &Bytes, int SocketType) {
  const int Descriptor = socket(AF_INET, SocketType, 0);
  const sockaddr_in Destination =
      Network::toSocketAddress({"127.0.0.1", static_cast<std::uint16_t>(Port)});
  const int Connected =
      connect(Descriptor, reinterpret_cast<const sockaddr *>(&Destination),
              sizeof(Destination));
  BOOST_TEST(Connected == 0);
  send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  close(Descriptor);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ContractTest)

/// Bad input to each HTTP interface gets its status and reason and is counted
/// under that reason, and the daemon continues to serve.
BOOST_AUTO_TEST_CASE(badInputIsRefusedByName) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startEngine("engine1", 1);
  Fixture.startService("orders1", 1);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 2; }));
  const Network::HttpHeader Yard{"Authorization", "Bearer yard-key"};
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
      {HttpMethod::Get, Chat, "", {Yard}, 405, "method_not_allowed"},
      {HttpMethod::Post, Chat, "{}", {}, 401, "missing_caller_key"},
      {HttpMethod::Post,
       Chat,
       "{}",
       {{"Authorization", "Bearer no"}},
       401,
       "unknown_caller_key"},
      {HttpMethod::Post, Chat, "{\"a\":", {Yard}, 400, "bad_json"},
      {HttpMethod::Post, Chat, "[]", {Yard}, 400, "bad_json"},
      {HttpMethod::Post, Chat, "{}", {Yard}, 400, "bad_field"},
      {HttpMethod::Post, Chat, "{\"model\":\"m\"}", {Yard}, 400, "bad_field"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"m\",\"n\":2," + Messages + "}",
       {Yard},
       400,
       "bad_field"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"m\",\"max_tokens\":-1," + Messages + "}",
       {Yard},
       400,
       "bad_field"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"gpt\"," + Messages + "}",
       {Yard},
       404,
       "unknown_model"},
      {HttpMethod::Post,
       Chat,
       "{\"model\":\"m\"," + Messages + "}",
       {Yard, {"Sycamore-Priority", "soon"}},
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
       {Yard},
       404,
       "unknown_service"},
      {HttpMethod::Get,
       "/services/assistant/x",
       "",
       {Yard},
       404,
       "unknown_service"},
      {HttpMethod::Post, Orders, "{}", {Yard}, 400, "missing_idempotency_key"},
      {HttpMethod::Post,
       Orders,
       "{}",
       {Yard, {"Idempotency-Key", std::string(129, 'k')}},
       400,
       "bad_idempotency_key"},
      {HttpMethod::Post,
       Orders,
       std::string(70'000, 'x'),
       {Yard, {"Idempotency-Key", "big"}},
       413,
       "body_too_large"},
      {HttpMethod::Get,
       "/v1/requests/never-sent",
       "",
       {Yard},
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
  const int Port = Fixture.entryHttp(1);
  for (const Case &Input : Cases) {
    const double Before = Fixture.refusalCount(Port, Input.Reason);
    const CallResponse Response = Fixture.call(Port, Input.Method, Input.Target,
                                               Input.Body, Input.Headers);
    BOOST_TEST(Response.Status == Input.Status, Input.Reason << Response.Body);
    BOOST_TEST(Response.title() == Input.Reason);
    BOOST_TEST(Response.outcome() == "not_run");
    BOOST_TEST(Fixture.refusalCount(Port, Input.Reason) == Before + 1,
               Input.Reason);
  }
  // evhttp itself rejects a body of 5 MiB, before the handler sees it.
  const CallResponse Oversize = Fixture.call(
      Port, HttpMethod::Post, Chat, std::string(5u << 20, 'x'), {Yard});
  BOOST_TEST((Oversize.Status == 413 || Oversize.Status == 0));
  BOOST_TEST(Fixture.call(Port, HttpMethod::Get, "/healthz").Status == 200);
  BOOST_TEST(Fixture.chat(1, "still there?", 3).Status == 200);
}

BOOST_AUTO_TEST_CASE(foreignAndDamagedFramesAreCounted) {
  Cluster Fixture;
  Fixture.startAll();
  const Network::FrameCodec ForeignCodec(Network::ClusterKey{"another-key"});
  const Network::FrameCodec ClusterCodec(
      Network::ClusterKey{"test-cluster-key-001"});
  const std::string Oversized = std::string("ACYS") + std::string(36, '\xff');
  struct Case {
    std::string Bytes;
    const char *Reason;
  };
  const std::vector<Case> Cases = {
      {std::string(64, 'x'), "damaged_frame"},
      {ForeignCodec.encodeFrame("hello"), "foreign_frame"},
      {Oversized, "oversized_frame"},
      {ClusterCodec.encodeFrame(std::string(16, '\xff')), "undecodable_frame"},
  };
  struct Receiver {
    int Port;
    int Type;
    int Http;
  };
  const std::vector<Receiver> Receivers = {
      {Fixture.statePort(2), SOCK_STREAM, Fixture.stateHttp(2)},
      {Fixture.entryPeer(2), SOCK_STREAM, Fixture.entryHttp(2)},
      {Fixture.entryPeer(2), SOCK_DGRAM, Fixture.entryHttp(2)},
  };
  for (const Receiver &Endpoint : Receivers)
    for (const Case &Input : Cases) {
      const double Before = Fixture.refusalCount(Endpoint.Http, Input.Reason);
      sendBytes(Endpoint.Port, Input.Bytes, Endpoint.Type);
      BOOST_TEST(Fixture.waitUntil([&] {
        return Fixture.refusalCount(Endpoint.Http, Input.Reason) > Before;
      }),
                 Input.Reason);
    }
  BOOST_TEST(
      Fixture.call(Fixture.entryHttp(2), HttpMethod::Get, "/readyz").Status ==
      200);
  BOOST_TEST(Fixture.stateLeader() != 0);
}

BOOST_AUTO_TEST_CASE(settingsAreCheckedAllAtOnce) {
  const ProgramOutput Output =
      runProgram(programPath("sycamore-entry"),
                 {"--http=nonsense", "--drain-grace=-3", "--log-level=loud"});
  BOOST_TEST(Output.ExitCode == 2);
  for (const char *Flag : {"--name", "--datacentre", "--http", "--state",
                           "--drain-grace", "--log-level"})
    BOOST_TEST(Output.Text.find(Flag) != std::string::npos, Flag);
  for (const char *Program :
       {"sycamore-entry", "sycamore-state", "sycamorectl"}) {
    BOOST_TEST(runProgram(programPath(Program), {"--help"}).ExitCode == 0);
    BOOST_TEST(runProgram(programPath(Program), {"--version"}).ExitCode == 0);
    BOOST_TEST(runProgram(programPath(Program), {"--no-such"}).ExitCode == 2);
  }
}

BOOST_AUTO_TEST_CASE(controlProgramTellsFaultsApart) {
  Cluster Fixture;
  Fixture.startAll();
  const std::string Daemon =
      "--daemons=127.0.0.1:" + std::to_string(Fixture.entryHttp(1));
  const std::string Control = programPath("sycamorectl");
  BOOST_TEST(runProgram(Control, {Daemon, "show", "services"}).ExitCode == 0);
  BOOST_TEST(runProgram(Control, {Daemon, "shwo", "services"}).ExitCode == 1);
  BOOST_TEST(runProgram(Control, {"show", "services"}).ExitCode == 2);
  BOOST_TEST(runProgram(Control, {"--daemons=127.0.0.1:1", "show", "services"})
                 .ExitCode == 3);
  const auto Output =
      runProgram(Control, {Daemon, "--json", "show", "services"});
  BOOST_TEST(nlohmann::json::parse(Output.Text, nullptr, false).is_array());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
