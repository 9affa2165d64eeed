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
  Command.RetentionMilliseconds = 1000;
  return Command;
}

ClaimCommand claimOf(const RequestKey &Key, std::uint64_t Number,
                     const Owner &By = First, std::uint64_t CallId = 1) {
  return {Key, By, Attempt{Number}, Common::RequestId{CallId}, Server};
}

Network::HttpResponse responseOf(const std::string &Body) {
  return {200, {}, Body};
}

bool done(const JournalResult &Result) {
  return Result.Status == JournalStatus::Done;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestJournalTest)

BOOST_AUTO_TEST_CASE(repeatedRequestGetsTheFirstResponse) {
  RequestJournal Requests;
  const RequestKey Key = keyOf("k");
  BOOST_TEST(done(Requests.apply(acceptOf(Key))));
  BOOST_TEST(done(Requests.apply(claimOf(Key, 1))));
  BOOST_TEST(done(
      Requests.apply(CompleteCommand{Key, Attempt{1}, responseOf("yes")})));
  const JournalResult Repeated = Requests.apply(acceptOf(Key, Second));
  BOOST_TEST((Repeated.Status == JournalStatus::Existing));
  BOOST_REQUIRE(Repeated.View && Repeated.View->Response);
  BOOST_TEST(Repeated.View->Response->Body == "yes");
}

BOOST_AUTO_TEST_CASE(repeatedAcceptOfOneCallSucceeds) {
  // The first command was committed, but its result was lost: the same call
  // must still execute the request.
  RequestJournal Requests;
  AcceptCommand Original = acceptOf(keyOf("k"));
  Original.CallId = Common::RequestId{7};
  BOOST_TEST(done(Requests.apply(Original)));
  BOOST_TEST(done(Requests.apply(Original)));
  AcceptCommand Another = Original;
  Another.CallId = Common::RequestId{8};
  BOOST_TEST((Requests.apply(Another).Status == JournalStatus::Existing));
  Requests.apply(claimOf(keyOf("k"), 1, First, 7));
  BOOST_TEST((Requests.apply(Original).Status == JournalStatus::Existing));
}

BOOST_AUTO_TEST_CASE(otherContentWithTheSameKeyIsRefused) {
  RequestJournal Requests;
  Requests.apply(acceptOf(keyOf("k")));
  const auto Reused = Requests.apply(acceptOf(keyOf("k"), First, "other"));
  BOOST_TEST((Reused.Status == JournalStatus::KeyReused));
  BOOST_TEST(!Reused.View.has_value());
  // The same key of another caller identifies another request.
  BOOST_TEST(
      done(Requests.apply(acceptOf(keyOf("k", "mill"), First, "other"))));
}

BOOST_AUTO_TEST_CASE(onlyOneOfTwoCallsMayClaim) {
  RequestJournal Requests;
  const RequestKey Key = keyOf("k");
  Requests.apply(acceptOf(Key));
  BOOST_TEST(done(Requests.apply(claimOf(Key, 1, First, 1))));
  // The same command again, after its result was lost.
  BOOST_TEST(done(Requests.apply(claimOf(Key, 1, First, 1))));
  // Another call of the same daemon, another daemon, another attempt.
  BOOST_TEST(!done(Requests.apply(claimOf(Key, 1, First, 2))));
  BOOST_TEST(!done(Requests.apply(claimOf(Key, 1, Second, 1))));
  BOOST_TEST(!done(Requests.apply(claimOf(Key, 2, First, 1))));
}

BOOST_AUTO_TEST_CASE(unknownIsNeverClaimedAgain) {
  RequestJournal Requests;
  const RequestKey Key = keyOf("k");
  Requests.apply(acceptOf(Key));
  Requests.apply(claimOf(Key, 1));
  BOOST_TEST(done(Requests.apply(MarkUnknownCommand{Key, Attempt{1}})));
  BOOST_TEST(!done(Requests.apply(claimOf(Key, 2))));
  BOOST_TEST(!done(Requests.apply(ReleaseCommand{Key, First, Attempt{1}})));
  BOOST_TEST(!done(Requests.apply(WithdrawCommand{Key, First})));
  // A late response completes the request.
  BOOST_TEST(done(
      Requests.apply(CompleteCommand{Key, Attempt{1}, responseOf("late")})));
  BOOST_TEST((Requests.find(Key).View->State == RequestState::Completed));
}

BOOST_AUTO_TEST_CASE(responseOfAReleasedAttemptIsRefused) {
  RequestJournal Requests;
  const RequestKey Key = keyOf("k");
  Requests.apply(acceptOf(Key));
  Requests.apply(claimOf(Key, 1));
  BOOST_TEST(done(Requests.apply(ReleaseCommand{Key, First, Attempt{1}})));
  BOOST_TEST(done(Requests.apply(claimOf(Key, 2))));
  BOOST_TEST(!done(
      Requests.apply(CompleteCommand{Key, Attempt{1}, responseOf("old")})));
}

BOOST_AUTO_TEST_CASE(withdrawnRequestCanBeAcceptedAgain) {
  RequestJournal Requests;
  const RequestKey Key = keyOf("k");
  Requests.apply(acceptOf(Key));
  BOOST_TEST(done(Requests.apply(WithdrawCommand{Key, First})));
  BOOST_TEST(!done(Requests.apply(claimOf(Key, 1))));
  // The request was never sent, so the key can be accepted for a first
  // execution.
  BOOST_TEST(done(Requests.apply(acceptOf(Key, Second))));
  BOOST_TEST(done(Requests.apply(claimOf(Key, 1, Second))));
  // A claimed request cannot be withdrawn.
  BOOST_TEST(!done(Requests.apply(WithdrawCommand{Key, Second})));
}

BOOST_AUTO_TEST_CASE(takeOverMovesAcceptedAndMarksClaimedUnknown) {
  RequestJournal Requests;
  Requests.apply(acceptOf(keyOf("waiting")));
  Requests.apply(acceptOf(keyOf("sent")));
  Requests.apply(claimOf(keyOf("sent"), 1));
  const TakeOverCommand Command{First.Daemon, First.Incarnation, Second};
  const TakeOverResult Taken = Requests.apply(Command);
  BOOST_REQUIRE(Taken.Requests.size() == 1u);
  BOOST_TEST(Taken.Requests[0].Key.Key.str() == "waiting");
  BOOST_TEST(Taken.Requests[0].Content.Body == "body");
  BOOST_TEST(
      (Requests.find(keyOf("sent")).View->State == RequestState::Unknown));
  // The previous owner, if it is still running, can no longer claim.
  BOOST_TEST(!done(Requests.apply(claimOf(keyOf("waiting"), 1, First))));
  // A repeated command, after a lost result, returns the same requests.
  BOOST_TEST(Requests.apply(Command).Requests.size() == 1u);
  BOOST_TEST(done(Requests.apply(claimOf(keyOf("waiting"), 1, Second))));
  BOOST_TEST(Requests.apply(Command).Requests.empty());
}

BOOST_AUTO_TEST_CASE(takeOverDoesNotAffectLaterIncarnations) {
  RequestJournal Requests;
  const Owner Restarted{First.Daemon, Common::Incarnation{2}};
  Requests.apply(acceptOf(keyOf("old"), First));
  Requests.apply(acceptOf(keyOf("new"), Restarted));
  const auto Taken =
      Requests.apply(TakeOverCommand{First.Daemon, First.Incarnation, Second});
  BOOST_REQUIRE(Taken.Requests.size() == 1u);
  BOOST_TEST(Taken.Requests[0].Key.Key.str() == "old");
}

BOOST_AUTO_TEST_CASE(takeOverContinuesInBatches) {
  RequestJournal Requests;
  constexpr std::size_t Count = RequestJournal::MaxTakeOverBatch + 10;
  for (std::size_t I = 0; I < Count; ++I)
    Requests.apply(acceptOf(keyOf("k" + std::to_string(I))));
  const TakeOverCommand Command{First.Daemon, First.Incarnation, Second};
  const auto Part = Requests.apply(Command);
  BOOST_TEST(Part.HasMore);
  for (const TakenOverRequest &Each : Part.Requests)
    Requests.apply(claimOf(Each.Key, 1, Second));
  const auto Rest = Requests.apply(Command);
  BOOST_TEST(!Rest.HasMore);
  BOOST_TEST(Part.Requests.size() + Rest.Requests.size() == Count);
}

BOOST_AUTO_TEST_CASE(responsesExpireBeforeRequests) {
  RequestJournal Requests;
  const RequestKey Key = keyOf("k");
  Requests.advance(Common::WallTime{10'000});
  Requests.apply(acceptOf(Key));
  Requests.apply(claimOf(Key, 1));
  Requests.apply(CompleteCommand{Key, Attempt{1}, responseOf("yes")});
  Requests.advance(Common::WallTime{11'500});
  const auto Late = Requests.apply(acceptOf(Key));
  BOOST_TEST((Late.Status == JournalStatus::Existing));
  BOOST_TEST(!Late.View->Response.has_value());
  BOOST_TEST(Requests.counts().ResponseBytes == 0u);
  // A clock that steps back restores nothing and expires nothing early.
  Requests.advance(Common::WallTime{5'000});
  BOOST_TEST((Requests.find(Key).Status == JournalStatus::Done));
  Requests.advance(Common::WallTime{11'500 + 30'000});
  BOOST_TEST((Requests.find(Key).Status == JournalStatus::NotFound));
}

BOOST_AUTO_TEST_CASE(unfinishedRequestsNeverExpire) {
  RequestJournal Requests;
  Requests.apply(acceptOf(keyOf("k")));
  Requests.advance(Common::WallTime{1'000'000'000});
  BOOST_TEST((Requests.find(keyOf("k")).View->State == RequestState::Accepted));
}

BOOST_AUTO_TEST_CASE(snapshotPreservesAllState) {
  RequestJournal Requests;
  Requests.apply(acceptOf(keyOf("a")));
  Requests.apply(acceptOf(keyOf("b")));
  Requests.apply(claimOf(keyOf("b"), 1));
  Requests.apply(CompleteCommand{keyOf("b"), Attempt{1}, responseOf("x")});
  auto Copy = Network::decode<RequestJournal>(Network::encode(Requests));
  BOOST_REQUIRE(Copy.ok());
  BOOST_TEST(Network::encode(*Copy) == Network::encode(Requests));
  BOOST_TEST(Copy->find(keyOf("b")).View->Response->Body == "x");
  BOOST_TEST(done(Copy->apply(claimOf(keyOf("a"), 1))));
}

/// Random commands of two competing daemons: in any order, a request is claimed
/// again only after a release, which proves that it was not sent.
BOOST_AUTO_TEST_CASE(randomCommandsClaimOnceUnlessReleased) {
  constexpr std::uint64_t Seeds = 2000;
  std::size_t TotalClaims = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Common::Random Randomness(Seed);
    RequestJournal Requests;
    const RequestKey Key = keyOf("k");
    std::size_t Claims = 0;
    std::size_t Releases = 0;
    std::map<std::uint64_t, Owner> ClaimedBy;
    for (int I = 0; I < 40; ++I) {
      const Owner By = Randomness.chance(0.5) ? First : Second;
      const auto Found = Requests.find(Key);
      const std::uint64_t Last = Found.View ? Found.View->Attempt.Value : 0;
      const std::uint64_t Number = Last + Randomness.below(2);
      switch (Randomness.below(7)) {
      case 0:
        Requests.apply(acceptOf(Key, By));
        break;
      case 1:
      case 2: {
        const bool WasClaimed =
            Found.View && Found.View->State == RequestState::Claimed;
        if (done(Requests.apply(claimOf(Key, Number, By, 1))) && !WasClaimed)
          ++Claims;
        break;
      }
      case 3:
        if (Found.View && Found.View->State == RequestState::Claimed &&
            done(Requests.apply(ReleaseCommand{Key, By, Attempt{Number}})))
          ++Releases;
        break;
      case 4:
        Requests.apply(MarkUnknownCommand{Key, Attempt{Number}});
        break;
      case 5:
        Requests.apply(TakeOverCommand{By.Daemon, By.Incarnation,
                                       By == First ? Second : First});
        break;
      case 6:
        Requests.apply(WithdrawCommand{Key, By});
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
