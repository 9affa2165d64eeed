#include "StateDaemon/DutyRunner.h"

#include "Network/Codec.h"
#include "Network/RawPeer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;

/// A group of one state daemon, which leads.
class LeadingDaemon {
public:
  explicit LeadingDaemon(Network::EventLoop &Loop)
      : Loop(Loop), Driver(Loop, options(), this->handlers(), this->Metrics) {
    std::filesystem::remove_all(path());
    this->Driver.open();
    BOOST_REQUIRE(runUntil(this->Loop, [this] {
      return this->Driver.isOpen() && this->Driver.holdsLeadership();
    }));
    this->Settings.Name = Common::DaemonId("s1");
    this->Settings.ReportsUsage = true;
    this->Settings.UsageWindow = 400ms;
    this->Tracker.addOwnClock(this->Settings.Name, Loop.wallNow(), Loop.now());
  }
  ~LeadingDaemon() { std::filesystem::remove_all(path()); }

  void sendDutyCallsTo(const Network::Address &To) {
    this->Settings.DutyAddress = To;
    this->Runner.emplace(StateDaemon::DutyRunner::Dependencies{
        this->Loop, this->Settings, this->Client, this->Driver, this->State,
        this->Registry, this->Tracker, this->Metrics});
    this->Runner->setDeclaration(
        std::make_shared<const Configuration::ServiceMap>(
            *Configuration::ServiceMap::create({})));
  }

private:
  static std::string path() {
    return (std::filesystem::temp_directory_path() /
            ("sycamore-duties-" + std::to_string(getpid())))
        .string();
  }
  static StateDaemon::ReplicaDriver::Options options() {
    StateDaemon::ReplicaDriver::Options Result;
    Result.DataPath = path();
    Result.FounderIdentity = Consensus::ReplicaId("s1");
    Consensus::Member Founder;
    Founder.Id = Result.FounderIdentity;
    Founder.DataCentre = Common::DataCentreId("dc");
    Result.Founders = {Founder};
    return Result;
  }
  StateDaemon::ReplicaDriver::Handlers handlers() {
    StateDaemon::ReplicaDriver::Handlers Result;
    Result.Restore = [](const std::string &) { return absl::OkStatus(); };
    Result.Apply = [this](const Consensus::LogEntry &Entry)
        -> absl::StatusOr<State::CommandEffect> {
      const auto Command =
          Network::decode<State::ControlCommand>(Entry.Payload);
      if (!Command.ok())
        return Command.status();
      return this->State.apply(*Command);
    };
    Result.TakeSnapshot = [this] { return this->State.snapshot(); };
    Result.Send = [](const Consensus::Message &) {};
    Result.OnChange = [] {};
    return Result;
  }

  Network::EventLoop &Loop;
  Telemetry::Metrics Metrics;
  State::ControlState State;
  StateDaemon::ControllerSettings Settings;
  Network::Http1Client Client{this->Loop};
  StateDaemon::ReplicaDriver Driver;
  Membership::ServerRegistry Registry;
  StateDaemon::EntryDaemonTracker Tracker{{}, this->Loop.now()};
  std::optional<StateDaemon::DutyRunner> Runner;
};

const std::string Accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string Rejected =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Whether a report that the platform answers with Step, as the only one, is
/// sent again.
bool isReportRepeated(const RawServer::Step &Step) {
  constexpr std::size_t Report = 2;
  const auto Loop = *Network::EventLoop::create();
  RawServer::Step Accepts;
  Accepts.Write = Accepted;
  std::vector<RawServer::Step> Script(64, Accepts);
  Script[Report] = Step;
  RawServer Server(*Loop, Script);
  LeadingDaemon Daemon(*Loop);
  Daemon.sendDutyCallsTo(Server.address());
  const auto &Requests = Server.requests();
  return runUntil(*Loop, [&] {
    return Requests.size() > Report &&
           std::count(Requests.begin(), Requests.end(), Requests[Report]) == 2;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(DutyRunnerTest)

/// Answers to duty calls name no call. A late answer to an accepted report must
/// not be taken for that to a rejected one, which would never be sent again.
BOOST_AUTO_TEST_CASE(LateAnswerConfirmsNoOtherReport) {
  RawServer::Step Rejects;
  Rejects.Write = Rejected;
  Rejects.WriteIfReused = Accepted;
  BOOST_TEST(isReportRepeated(Rejects), "the report is not repeated");
}

// Guards against a report that is never sent again because of what is no
// answer.
BOOST_AUTO_TEST_CASE(WhatIsNoAnswerConfirmsNoReport) {
  for (const std::string Broken :
       {"HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n"
        "\r\n"}) {
    RawServer::Step Step;
    Step.Write = Broken;
    BOOST_TEST(isReportRepeated(Step), Broken);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
