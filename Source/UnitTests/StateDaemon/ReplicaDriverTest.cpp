#include "StateDaemon/ReplicaDriver.h"

#include "Network/Codec.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

namespace UnitTests {

namespace {

Consensus::Member memberOf(const std::string &Name) {
  Consensus::Member Result;
  Result.Id = Consensus::ReplicaId(Name);
  Result.DataCentre = Common::DataCentreId("dc-" + Name);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaDriverTest)

// Guards against a learner that never catches up: it has no link to a leader
// that it knows from a snapshot only, so that its replies are lost.
BOOST_AUTO_TEST_CASE(membersOfASnapshotAreAChange) {
  const std::string Path = (std::filesystem::temp_directory_path() /
                            ("sycamore-driver-" + std::to_string(getpid())))
                               .string();
  std::filesystem::remove_all(Path);
  auto Loop = Network::EventLoop::create();
  BOOST_REQUIRE(Loop.ok());
  Telemetry::Metrics Metrics;
  StateDaemon::ReplicaDriver::Options Options;
  Options.DataPath = Path;
  Options.Name = "new";
  StateDaemon::ReplicaDriver *Running = nullptr;
  bool KnowsLeader = false;
  bool Replied = false;
  StateDaemon::ReplicaDriver::Handlers Handlers;
  Handlers.Restore = [](const std::string &) { return absl::OkStatus(); };
  Handlers.Apply = [](const Consensus::LogEntry &) {
    return State::CommandEffect::Applied;
  };
  Handlers.TakeSnapshot = [] { return std::string(); };
  Handlers.Send = [&Replied](const Consensus::Message &) { Replied = true; };
  Handlers.OnChange = [&] {
    KnowsLeader =
        Running && Running->replica() &&
        Running->replica()->membership().find(Consensus::ReplicaId("leader"));
  };
  StateDaemon::ReplicaDriver Driver(**Loop, Options, std::move(Handlers),
                                    Metrics);
  Running = &Driver;
  Driver.open();
  BOOST_REQUIRE(Driver.isOpen());
  Consensus::Snapshot Sent;
  Sent.Index = Consensus::LogIndex{5};
  Sent.Term = Consensus::Term{1};
  Sent.Membership = *Consensus::Membership::create({memberOf("leader")});
  Consensus::SnapshotChunk Chunk;
  Chunk.Index = Sent.Index;
  Chunk.SnapshotTerm = Sent.Term;
  Chunk.Bytes = Network::encode(Sent);
  Chunk.Last = true;
  Consensus::Message Message;
  Message.Group = Consensus::GroupId{1};
  Message.From = Consensus::ReplicaId("leader");
  Message.To = Driver.replica()->self();
  Message.Term = Consensus::Term{1};
  Message.Body = std::move(Chunk);
  Driver.step(Message);
  while (!Replied)
    (*Loop)->runOnce(std::chrono::milliseconds(10));
  BOOST_TEST(KnowsLeader);
  std::filesystem::remove_all(Path);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
