#include "Journal/RequestJournal.h"

#include "Common/Random.h"
#include "Network/Codec.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace UnitTests {

namespace {

using namespace Journal;

const Owner First{Common::DaemonId("e1"), Common::Incarnation{1}};
const Owner Second{Common::DaemonId("e2"), Common::Incarnation{1}};
const Common::BackendServerId Server{"b1"};

RequestKey keyOf(const std::string &Key, const std::string &Caller = "yard") {
  return {Common::CallerId(Caller), Common::IdempotencyKey(Key)};
}

AcceptCommand acceptOf(const RequestKey &Key, const Owner &By = First,
                       const std::string &Fingerprint = "f") {
  AcceptCommand Command;
  Command.Key = Key;
  Command.Owner = By;
  Command.Fingerprint = Fingerprint;
  Command.Content.Body = "body";
  Command.KeepMilliseconds = 1000;
  return Command;
}

ClaimCommand claimOf(const RequestKey &Key, std::uint64_t Number,
                     const Owner &By = First, std::uint64_t Runner = 1) {
  return {Key, By, Attempt{Number}, Common::RequestId{Runner}, Server};
}

Network::HttpResponse answerOf(const std::string &Body) {
  return {200, {}, Body};
}

bool done(const JournalResult &Result) {
  return Result.Verdict == JournalVerdict::Done;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestJournalTest)

BOOST_AUTO_TEST_CASE(repeatGetsTheFirstAnswer) {
  RequestJournal Log;
  const RequestKey Key = keyOf("k");
  BOOST_TEST(done(Log.apply(acceptOf(Key))));
  BOOST_TEST(done(Log.apply(claimOf(Key, 1))));
  BOOST_TEST(
      done(Log.apply(CompleteCommand{Key, Attempt{1}, answerOf("yes")})));
  const JournalResult Again = Log.apply(acceptOf(Key, Second));
  BOOST_TEST((Again.Verdict == JournalVerdict::Existing));
  BOOST_REQUIRE(Again.View && Again.View->Answer);
  BOOST_TEST(Again.View->Answer->Body == "yes");
}

BOOST_AUTO_TEST_CASE(repeatedAcceptOfOneCallIsItsOwn) {
  // The first copy committed and its answer was lost: the call must run it.
  RequestJournal Log;
  AcceptCommand Mine = acceptOf(keyOf("k"));
  Mine.Runner = Common::RequestId{7};
  BOOST_TEST(done(Log.apply(Mine)));
  BOOST_TEST(done(Log.apply(Mine)));
  AcceptCommand Another = Mine;
  Another.Runner = Common::RequestId{8};
  BOOST_TEST((Log.apply(Another).Verdict == JournalVerdict::Existing));
  Log.apply(claimOf(keyOf("k"), 1, First, 7));
  BOOST_TEST((Log.apply(Mine).Verdict == JournalVerdict::Existing));
}

BOOST_AUTO_TEST_CASE(otherContentUnderTheSameKeyIsRefused) {
  RequestJournal Log;
  Log.apply(acceptOf(keyOf("k")));
  const auto Reused = Log.apply(acceptOf(keyOf("k"), First, "other"));
  BOOST_TEST((Reused.Verdict == JournalVerdict::KeyReused));
  BOOST_TEST(!Reused.View.has_value());
  // Another caller's key of the same name is another request.
  BOOST_TEST(done(Log.apply(acceptOf(keyOf("k", "mill"), First, "other"))));
}

BOOST_AUTO_TEST_CASE(onlyOneOfTwoCallsMayClaim) {
  RequestJournal Log;
  const RequestKey Key = keyOf("k");
  Log.apply(acceptOf(Key));
  BOOST_TEST(done(Log.apply(claimOf(Key, 1, First, 1))));
  // The same command again, after its answer was lost.
  BOOST_TEST(done(Log.apply(claimOf(Key, 1, First, 1))));
  // Another call of the same daemon, another daemon, another attempt.
  BOOST_TEST(!done(Log.apply(claimOf(Key, 1, First, 2))));
  BOOST_TEST(!done(Log.apply(claimOf(Key, 1, Second, 1))));
  BOOST_TEST(!done(Log.apply(claimOf(Key, 2, First, 1))));
}

BOOST_AUTO_TEST_CASE(unknownIsNeverClaimedAgain) {
  RequestJournal Log;
  const RequestKey Key = keyOf("k");
  Log.apply(acceptOf(Key));
  Log.apply(claimOf(Key, 1));
  BOOST_TEST(done(Log.apply(MarkUnknownCommand{Key, Attempt{1}})));
  BOOST_TEST(!done(Log.apply(claimOf(Key, 2))));
  BOOST_TEST(!done(Log.apply(ReleaseCommand{Key, First, Attempt{1}})));
  BOOST_TEST(!done(Log.apply(WithdrawCommand{Key, First})));
  // A late answer completes it.
  BOOST_TEST(
      done(Log.apply(CompleteCommand{Key, Attempt{1}, answerOf("late")})));
  BOOST_TEST((Log.find(Key).View->State == RequestState::Completed));
}

BOOST_AUTO_TEST_CASE(answerOfAGivenUpAttemptIsRefused) {
  RequestJournal Log;
  const RequestKey Key = keyOf("k");
  Log.apply(acceptOf(Key));
  Log.apply(claimOf(Key, 1));
  BOOST_TEST(done(Log.apply(ReleaseCommand{Key, First, Attempt{1}})));
  BOOST_TEST(done(Log.apply(claimOf(Key, 2))));
  BOOST_TEST(
      !done(Log.apply(CompleteCommand{Key, Attempt{1}, answerOf("old")})));
}

BOOST_AUTO_TEST_CASE(withdrawnRequestCountsAsNotRun) {
  RequestJournal Log;
  const RequestKey Key = keyOf("k");
  Log.apply(acceptOf(Key));
  BOOST_TEST(done(Log.apply(WithdrawCommand{Key, First})));
  BOOST_TEST(!done(Log.apply(claimOf(Key, 1))));
  // It never ran, so the same key may be accepted for its first run.
  BOOST_TEST(done(Log.apply(acceptOf(Key, Second))));
  BOOST_TEST(done(Log.apply(claimOf(Key, 1, Second))));
  // A claimed request cannot be withdrawn.
  BOOST_TEST(!done(Log.apply(WithdrawCommand{Key, Second})));
}

BOOST_AUTO_TEST_CASE(takeOverMovesAcceptedAndMarksClaimed) {
  RequestJournal Log;
  Log.apply(acceptOf(keyOf("waiting")));
  Log.apply(acceptOf(keyOf("sent")));
  Log.apply(claimOf(keyOf("sent"), 1));
  const TakeOverCommand Command{First.Daemon, First.Life, Second};
  const TakeOverResult Taken = Log.apply(Command);
  BOOST_REQUIRE(Taken.Taken.size() == 1u);
  BOOST_TEST(Taken.Taken[0].Key.Key.str() == "waiting");
  BOOST_TEST(Taken.Taken[0].Content.Body == "body");
  BOOST_TEST((Log.find(keyOf("sent")).View->State == RequestState::Unknown));
  // The old owner, if it still lives, can no longer claim.
  BOOST_TEST(!done(Log.apply(claimOf(keyOf("waiting"), 1, First))));
  // A repeat after a lost answer names the same requests.
  BOOST_TEST(Log.apply(Command).Taken.size() == 1u);
  BOOST_TEST(done(Log.apply(claimOf(keyOf("waiting"), 1, Second))));
  BOOST_TEST(Log.apply(Command).Taken.empty());
}

BOOST_AUTO_TEST_CASE(takeOverLeavesLaterLivesAlone) {
  RequestJournal Log;
  const Owner Restarted{First.Daemon, Common::Incarnation{2}};
  Log.apply(acceptOf(keyOf("old"), First));
  Log.apply(acceptOf(keyOf("new"), Restarted));
  const auto Taken =
      Log.apply(TakeOverCommand{First.Daemon, First.Life, Second});
  BOOST_REQUIRE(Taken.Taken.size() == 1u);
  BOOST_TEST(Taken.Taken[0].Key.Key.str() == "old");
}

BOOST_AUTO_TEST_CASE(takeOverGoesOnWhenThereIsMore) {
  RequestJournal Log;
  constexpr std::size_t Count = RequestJournal::MaxTakenAtOnce + 10;
  for (std::size_t I = 0; I < Count; ++I)
    Log.apply(acceptOf(keyOf("k" + std::to_string(I))));
  const TakeOverCommand Command{First.Daemon, First.Life, Second};
  const auto Part = Log.apply(Command);
  BOOST_TEST(Part.More);
  for (const TakenRequest &Each : Part.Taken)
    Log.apply(claimOf(Each.Key, 1, Second));
  const auto Rest = Log.apply(Command);
  BOOST_TEST(!Rest.More);
  BOOST_TEST(Part.Taken.size() + Rest.Taken.size() == Count);
}

BOOST_AUTO_TEST_CASE(answersExpireLongBeforeRequests) {
  RequestJournal Log;
  const RequestKey Key = keyOf("k");
  Log.advance(Common::WallTime{10'000});
  Log.apply(acceptOf(Key));
  Log.apply(claimOf(Key, 1));
  Log.apply(CompleteCommand{Key, Attempt{1}, answerOf("yes")});
  Log.advance(Common::WallTime{11'500});
  const auto Late = Log.apply(acceptOf(Key));
  BOOST_TEST((Late.Verdict == JournalVerdict::Existing));
  BOOST_TEST(!Late.View->Answer.has_value());
  BOOST_TEST(Log.counts().AnswerBytes == 0u);
  // A clock that goes back brings nothing back and ends nothing early.
  Log.advance(Common::WallTime{5'000});
  BOOST_TEST((Log.find(Key).Verdict == JournalVerdict::Done));
  Log.advance(Common::WallTime{11'500 + 30'000});
  BOOST_TEST((Log.find(Key).Verdict == JournalVerdict::NotFound));
}

BOOST_AUTO_TEST_CASE(unfinishedRequestsNeverExpire) {
  RequestJournal Log;
  Log.apply(acceptOf(keyOf("k")));
  Log.advance(Common::WallTime{1'000'000'000});
  BOOST_TEST((Log.find(keyOf("k")).View->State == RequestState::Accepted));
}

BOOST_AUTO_TEST_CASE(snapshotKeepsEverything) {
  RequestJournal Log;
  Log.apply(acceptOf(keyOf("a")));
  Log.apply(acceptOf(keyOf("b")));
  Log.apply(claimOf(keyOf("b"), 1));
  Log.apply(CompleteCommand{keyOf("b"), Attempt{1}, answerOf("x")});
  auto Copy = Network::decode<RequestJournal>(Network::encode(Log));
  BOOST_REQUIRE(Copy.ok());
  BOOST_TEST(Network::encode(*Copy) == Network::encode(Log));
  BOOST_TEST(Copy->find(keyOf("b")).View->Answer->Body == "x");
  BOOST_TEST(done(Copy->apply(claimOf(keyOf("a"), 1))));
}

/// Random commands of racing daemons: whatever their order, a request is
/// sent at most once unless a release proved that it was not.
BOOST_AUTO_TEST_CASE(randomRacesSendAtMostOnce) {
  constexpr std::uint64_t Seeds = 2000;
  std::size_t TotalClaims = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Common::Random Randomness(Seed);
    RequestJournal Log;
    const RequestKey Key = keyOf("k");
    std::size_t Claims = 0;
    std::size_t Releases = 0;
    std::map<std::uint64_t, Owner> ClaimedBy;
    for (int I = 0; I < 40; ++I) {
      const Owner By = Randomness.chance(0.5) ? First : Second;
      const auto Found = Log.find(Key);
      const std::uint64_t Last = Found.View ? Found.View->Attempt.Value : 0;
      const std::uint64_t Number = Last + Randomness.below(2);
      switch (Randomness.below(7)) {
      case 0:
        Log.apply(acceptOf(Key, By));
        break;
      case 1:
      case 2: {
        const bool Was =
            Found.View && Found.View->State == RequestState::Claimed;
        if (done(Log.apply(claimOf(Key, Number, By, 1))) && !Was)
          ++Claims;
        break;
      }
      case 3:
        if (Found.View && Found.View->State == RequestState::Claimed &&
            done(Log.apply(ReleaseCommand{Key, By, Attempt{Number}})))
          ++Releases;
        break;
      case 4:
        Log.apply(MarkUnknownCommand{Key, Attempt{Number}});
        break;
      case 5:
        Log.apply(
            TakeOverCommand{By.Daemon, By.Life, By == First ? Second : First});
        break;
      case 6:
        Log.apply(WithdrawCommand{Key, By});
        break;
      }
      BOOST_REQUIRE_MESSAGE(Claims <= Releases + 1,
                            "seed " << Seed << ": claimed twice");
    }
    TotalClaims += Claims;
  }
  BOOST_TEST(TotalClaims > Seeds / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
