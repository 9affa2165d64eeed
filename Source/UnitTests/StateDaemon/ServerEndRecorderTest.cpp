#include "StateDaemon/ServerEndRecorder.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using StateDaemon::ServerEndRecorder;
using Outcome = ServerEndRecorder::Outcome;
using Membership::ServerEnd;
using Phase = Membership::ServerPhase;

ServerEnd end(const char *Id, std::uint64_t StartedAt = 5,
              Phase Reached = Phase::Gone) {
  return {Common::BackendServerId(Id), StartedAt, Reached};
}

/// A recorder whose messages are kept.
struct Fixture {
  State::ControlState Replicated;
  std::vector<State::RecordServerEndsCommand> Proposals;
  std::vector<std::function<void()>> Applied;
  std::vector<State::ServerEndRequest> Requests;
  std::vector<ServerEndRecorder::Ends> Told;
  std::vector<std::function<void()>> Held;
  std::vector<Outcome> Outcomes;
  Common::TimePoint Now = Common::TimePoint(1h);
  ServerEndRecorder Recorder{Replicated,
                             {[this](State::RecordServerEndsCommand Command,
                                     std::function<void()> OnApplied) {
                                this->Proposals.push_back(std::move(Command));
                                this->Applied.push_back(std::move(OnApplied));
                              },
                              [this](const State::ServerEndRequest &Request) {
                                this->Requests.push_back(Request);
                              },
                              [this](const ServerEndRecorder::Ends &Ends,
                                     std::function<void()> OnHeld) {
                                this->Told.push_back(Ends);
                                this->Held.push_back(std::move(OnHeld));
                              }}};

  void raiseLevel() {
    this->Replicated.apply(
        State::RaiseProtocolLevelCommand{State::ServerEndsLevel});
  }
  void record(const ServerEnd &End) {
    this->Recorder.record(End, this->Now, [this](Outcome Result) {
      this->Outcomes.push_back(Result);
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerEndRecorder_)

BOOST_FIXTURE_TEST_CASE(ALeaderProposesWhatArrivedTogether, Fixture) {
  this->raiseLevel();
  this->record(end("a"));
  this->record(end("b"));
  this->record(end("a"));
  this->Recorder.send(this->Now, true);
  BOOST_REQUIRE(this->Proposals.size() == 1u);
  BOOST_TEST(this->Proposals[0].Ends.size() == 2u);
  BOOST_TEST(this->Outcomes.empty());
  this->Applied[0]();
  BOOST_TEST(this->Outcomes.size() == 3u);
  BOOST_TEST(this->Recorder.pending() == 0u);
}

BOOST_FIXTURE_TEST_CASE(AFollowerAsksUntilTheLeaderConfirms, Fixture) {
  this->raiseLevel();
  this->record(end("a"));
  this->Recorder.send(this->Now, false);
  this->Recorder.send(this->Now, false);
  BOOST_TEST(this->Requests.size() == 1u);
  this->Now += ServerEndRecorder::ResendInterval;
  this->Recorder.send(this->Now, false);
  BOOST_TEST(this->Requests.size() == 2u);
  // Other servers, earlier lifetimes and earlier phases prove nothing.
  this->Recorder.confirm({end("b"), end("a", 4), end("a", 5, Phase::Leaving)});
  BOOST_TEST(this->Outcomes.empty());
  this->Recorder.confirm({end("a")});
  BOOST_REQUIRE(this->Outcomes.size() == 1u);
  BOOST_CHECK(this->Outcomes[0] == Outcome::Recorded);
}

BOOST_FIXTURE_TEST_CASE(ALaterEndConfirmsEarlierOnesOfTheServer, Fixture) {
  this->raiseLevel();
  this->record(end("a", 4));
  this->record(end("a", 5, Phase::Leaving));
  this->record(end("a", 5));
  this->record(end("a", 6));
  this->Recorder.confirm({end("a", 5)});
  BOOST_TEST(this->Outcomes.size() == 3u);
  BOOST_TEST(this->Recorder.pending() == 1u);
}

// Guards against DRAIN: an end was acknowledged although it was known to its
// daemon only.
BOOST_FIXTURE_TEST_CASE(AnEndThatIsNotConfirmedIsNotAcknowledged, Fixture) {
  this->raiseLevel();
  this->record(end("a"));
  this->Now += ServerEndRecorder::Timeout - 1ms;
  this->Recorder.expire(this->Now);
  BOOST_TEST(this->Outcomes.empty());
  this->Now += 1ms;
  this->Recorder.expire(this->Now);
  BOOST_REQUIRE(this->Outcomes.size() == 1u);
  BOOST_CHECK(this->Outcomes[0] == Outcome::Unknown);
  this->Recorder.confirm({end("a")});
  BOOST_TEST(this->Outcomes.size() == 1u);
}

// Without a leader's log the members' memory has to do: before the level is
// raised, and for a server that states no start time.
BOOST_FIXTURE_TEST_CASE(WhatTheLogDoesNotTakeIsHeldByAMajority, Fixture) {
  this->record(end("a"));
  this->Recorder.send(this->Now, true);
  BOOST_TEST(this->Proposals.empty());
  BOOST_REQUIRE(this->Told.size() == 1u);
  this->raiseLevel();
  this->record(end("b", 0));
  this->Recorder.send(this->Now, true);
  BOOST_REQUIRE(this->Told.size() == 2u);
  BOOST_TEST(this->Outcomes.empty());
  this->Held[0]();
  this->Held[1]();
  BOOST_TEST(this->Outcomes.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(ARecordedEndIsConfirmedWithoutAProposal, Fixture) {
  int Confirmed = 0;
  const State::ServerEndRequest Request{{end("a")}};
  // Below the level the log must not get the command.
  this->Recorder.handleRequest(Request, [&] { ++Confirmed; });
  BOOST_TEST(this->Proposals.empty());
  BOOST_TEST(Confirmed == 0);
  this->raiseLevel();
  this->Recorder.handleRequest(Request, [&] { ++Confirmed; });
  BOOST_TEST(this->Proposals.size() == 1u);
  this->Replicated.apply(this->Proposals[0]);
  this->Recorder.handleRequest(Request, [&] { ++Confirmed; });
  BOOST_TEST(this->Proposals.size() == 1u);
  BOOST_TEST(Confirmed == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
