#include "Consensus/Replica.h"
#include "Network/Codec.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Consensus;

const Common::TimePoint Start{std::chrono::hours(1)};

Member memberOf(const std::string &Name) {
  Member Result;
  Result.Id = ReplicaId(Name);
  Result.DataCentre = Common::DataCentreId("dc-" + Name);
  return Result;
}

LogEntry entryOf(std::uint64_t Index, std::uint64_t InTerm) {
  LogEntry Entry;
  Entry.Index = LogIndex{Index};
  Entry.Term = Term{InTerm};
  Entry.Payload = "p" + std::to_string(Index);
  return Entry;
}

PersistentState stateOf(std::uint64_t InTerm, std::vector<LogEntry> Entries) {
  PersistentState State;
  State.Hard.Term = Term{InTerm};
  State.BaseSnapshot.Membership =
      *Membership::create({memberOf("a"), memberOf("b"), memberOf("c")});
  State.Entries = std::move(Entries);
  return State;
}

/// Replica "a" of the voters a, b and c.
Replica replicaOf(PersistentState State) {
  ReplicaOptions Options;
  Options.Self = ReplicaId("a");
  Options.Seed = 1;
  return *Replica::create(Options, std::move(State), Start);
}

template <typename T>
Message messageFrom(const std::string &From, std::uint64_t InTerm, T Body) {
  Message Result;
  Result.From = ReplicaId(From);
  Result.To = ReplicaId("a");
  Result.Term = Term{InTerm};
  Result.Body = std::move(Body);
  return Result;
}

VoteRequest voteFor(std::uint64_t LastIndex, std::uint64_t LastTerm) {
  VoteRequest Request;
  Request.LastIndex = LogIndex{LastIndex};
  Request.LastTerm = Term{LastTerm};
  return Request;
}

bool granted(const Actions &Pending) {
  for (const Message &Each : Pending.SendAfterSync)
    if (const auto *Reply = std::get_if<VoteReply>(&Each.Body))
      return Reply->Granted;
  return false;
}

/// Makes "a" the leader at Now with the vote of "b".
Actions elect(Replica &Elected, Common::TimePoint Now) {
  Elected.tick(Now);
  Elected.takeActions(Now);
  const std::uint64_t Next = Elected.term().Value + 1;
  Elected.step(Now, messageFrom("b", Next, VoteReply{true, true}));
  Elected.takeActions(Now);
  Elected.markPersisted(Now);
  Elected.step(Now, messageFrom("b", Next, VoteReply{false, true}));
  return Elected.takeActions(Now);
}

AppendReply replyOf(std::uint64_t Index, Common::TimePoint SentAt) {
  AppendReply Reply;
  Reply.Success = true;
  Reply.Index = LogIndex{Index};
  Reply.SentAt = SentAt.time_since_epoch().count();
  return Reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaRulesTest)

BOOST_AUTO_TEST_CASE(voteIsPersistedBeforeReply) {
  Replica Voter = replicaOf(stateOf(4, {}));
  const Common::TimePoint Now = Start + 1s;
  Voter.step(Now, messageFrom("b", 5, voteFor(0, 0)));
  const Actions Pending = Voter.takeActions(Now);
  BOOST_TEST(granted(Pending));
  BOOST_TEST(Pending.SendImmediately.empty());
  BOOST_REQUIRE(Pending.SaveHardState.has_value());
  BOOST_TEST(Pending.SaveHardState->VotedFor.str() == "b");
  // After a restart, the replica must not vote for another candidate.
  PersistentState Saved = stateOf(5, {});
  Saved.Hard = *Pending.SaveHardState;
  Replica Restarted = replicaOf(Saved);
  Restarted.step(Now, messageFrom("c", 5, voteFor(0, 0)));
  BOOST_TEST(!granted(Restarted.takeActions(Now)));
}

BOOST_AUTO_TEST_CASE(restartedVoterRespectsLeaderLease) {
  Replica Voter = replicaOf(stateOf(4, {}));
  Voter.step(Start + 50ms, messageFrom("b", 5, voteFor(0, 0)));
  BOOST_TEST(!granted(Voter.takeActions(Start + 50ms)));
  BOOST_TEST(Voter.term().Value == 4u);
}

BOOST_AUTO_TEST_CASE(voterWithActiveLeaderRejectsCandidates) {
  Replica Voter = replicaOf(stateOf(4, {}));
  const Common::TimePoint Now = Start + 1s;
  Voter.step(Now, messageFrom("b", 4, AppendRequest{}));
  Voter.takeActions(Now);
  VoteRequest PreVote = voteFor(9, 9);
  PreVote.PreVote = true;
  Voter.step(Now + 100ms, messageFrom("c", 5, PreVote));
  BOOST_TEST(!granted(Voter.takeActions(Now + 100ms)));
  Voter.step(Now + 100ms, messageFrom("c", 5, voteFor(9, 9)));
  BOOST_TEST(!granted(Voter.takeActions(Now + 100ms)));
  BOOST_TEST(Voter.term().Value == 4u);
  // A candidate chosen by the leader need not wait for the lease.
  VoteRequest Transfer = voteFor(9, 9);
  Transfer.LeadershipTransfer = true;
  Voter.step(Now + 100ms, messageFrom("c", 5, Transfer));
  BOOST_TEST(granted(Voter.takeActions(Now + 100ms)));
}

BOOST_AUTO_TEST_CASE(candidateWithStaleLogGetsNoVote) {
  Replica Voter = replicaOf(stateOf(4, {entryOf(1, 3), entryOf(2, 4)}));
  const Common::TimePoint Now = Start + 1s;
  Voter.step(Now, messageFrom("b", 5, voteFor(5, 3)));
  BOOST_TEST(!granted(Voter.takeActions(Now)));
  Voter.step(Now, messageFrom("c", 5, voteFor(2, 4)));
  BOOST_TEST(granted(Voter.takeActions(Now)));
}

BOOST_AUTO_TEST_CASE(earlierTermsCommitOnlyWithCurrentTerm) {
  Replica Elected = replicaOf(stateOf(3, {entryOf(1, 1), entryOf(2, 2)}));
  const Common::TimePoint Now = Start + 1s;
  elect(Elected, Now);
  Elected.markPersisted(Now);
  BOOST_REQUIRE((Elected.state() == Replica::State::Leader));
  Elected.step(Now, messageFrom("b", 4, replyOf(2, Now)));
  BOOST_TEST(Elected.commitIndex().Value == 0u);
  Elected.step(Now, messageFrom("b", 4, replyOf(3, Now)));
  BOOST_TEST(Elected.commitIndex().Value == 3u);
}

BOOST_AUTO_TEST_CASE(leaderCountsItselfOnlyAfterSync) {
  Replica Elected = replicaOf(stateOf(3, {}));
  const Common::TimePoint Now = Start + 1s;
  const Actions Pending = elect(Elected, Now);
  BOOST_TEST(!Pending.SendImmediately.empty());
  Elected.step(Now, messageFrom("b", 4, replyOf(1, Now)));
  BOOST_TEST(Elected.commitIndex().Value == 0u);
  Elected.markPersisted(Now);
  BOOST_TEST(Elected.commitIndex().Value == 1u);
}

BOOST_AUTO_TEST_CASE(followerAppliesOnlyPersistedEntries) {
  Replica Follower = replicaOf(stateOf(4, {}));
  const Common::TimePoint Now = Start + 1s;
  AppendRequest Request;
  Request.CommitIndex = LogIndex{1};
  Request.Entries = {entryOf(1, 4)};
  Follower.step(Now, messageFrom("b", 4, Request));
  const Actions First = Follower.takeActions(Now);
  BOOST_TEST(First.SaveEntries.size() == 1u);
  BOOST_TEST(First.Apply.empty());
  BOOST_TEST(First.SendImmediately.empty());
  Follower.markPersisted(Now);
  BOOST_TEST(Follower.takeActions(Now).Apply.size() == 1u);
}

BOOST_AUTO_TEST_CASE(newLeaderServesOnlyAfterQuorumContact) {
  Replica Elected = replicaOf(stateOf(3, {}));
  const Common::TimePoint Now = Start + 1s;
  elect(Elected, Now);
  Elected.markPersisted(Now);
  BOOST_TEST(!Elected.canServe(Now));
  BOOST_TEST(absl::IsUnavailable(Elected.propose(Now, "x").status()));
  Elected.step(Now, messageFrom("b", 4, replyOf(1, Now)));
  Elected.takeActions(Now);
  BOOST_TEST(Elected.canServe(Now));
  // The lease starts when the answered request was sent.
  BOOST_TEST(!Elected.canServe(Now + 241ms));
}

BOOST_AUTO_TEST_CASE(leadershipTransferEndsLease) {
  Replica Elected = replicaOf(stateOf(3, {}));
  const Common::TimePoint Now = Start + 1s;
  elect(Elected, Now);
  Elected.markPersisted(Now);
  Elected.step(Now, messageFrom("b", 4, replyOf(1, Now)));
  Elected.takeActions(Now);
  BOOST_REQUIRE(Elected.canServe(Now));
  Elected.transferLeadership(Now);
  BOOST_TEST(!Elected.canServe(Now));
  BOOST_TEST(!Elected.propose(Now, "x").ok());
  // After a failed transfer the leader steps down; its lease is not renewed.
  Elected.step(Now + 590ms, messageFrom("b", 4, replyOf(1, Now + 590ms)));
  BOOST_TEST(!Elected.canServe(Now + 590ms));
  Elected.tick(Now + 601ms);
  BOOST_TEST((Elected.state() == Replica::State::Follower));
}

BOOST_AUTO_TEST_CASE(conflictingTailIsReplaced) {
  Replica Follower = replicaOf(stateOf(4, {entryOf(1, 1), entryOf(2, 2)}));
  const Common::TimePoint Now = Start + 1s;
  AppendRequest Request;
  Request.PreviousIndex = LogIndex{1};
  Request.PreviousTerm = Term{1};
  Request.Entries = {entryOf(2, 4)};
  Follower.step(Now, messageFrom("b", 4, Request));
  const Actions Pending = Follower.takeActions(Now);
  BOOST_REQUIRE(Pending.SaveEntries.size() == 1u);
  BOOST_TEST(Pending.SaveEntries[0].Term.Value == 4u);
  BOOST_TEST(Follower.log().lastIndex().Value == 2u);
  // A delayed duplicate of a matching prefix must not truncate the log.
  Request.PreviousIndex = LogIndex{0};
  Request.PreviousTerm = Term{0};
  Request.Entries = {entryOf(1, 1)};
  Follower.step(Now, messageFrom("b", 4, Request));
  BOOST_TEST(Follower.log().lastIndex().Value == 2u);
}

// Guards against the loss of entries that a follower has acknowledged: a leader
// may send a snapshot that it found necessary before it got the reply.
BOOST_AUTO_TEST_CASE(snapshotKeepsLaterEntries) {
  Replica Follower = replicaOf(stateOf(4, {}));
  const Common::TimePoint Now = Start + 1s;
  AppendRequest Request;
  Request.Entries = {entryOf(1, 4), entryOf(2, 4), entryOf(3, 4)};
  Follower.step(Now, messageFrom("b", 4, Request));
  const Actions First = Follower.takeActions(Now);
  BOOST_REQUIRE(First.SaveEntries.size() == 3u);
  Follower.markPersisted(Now);
  Snapshot Earlier;
  Earlier.Index = LogIndex{2};
  Earlier.Term = Term{4};
  Earlier.Membership = Follower.membership();
  SnapshotChunk Chunk;
  Chunk.Index = Earlier.Index;
  Chunk.SnapshotTerm = Earlier.Term;
  Chunk.Bytes = Network::encode(Earlier);
  Chunk.Last = true;
  Follower.step(Now, messageFrom("b", 4, Chunk));
  const Actions Pending = Follower.takeActions(Now);
  BOOST_TEST(Follower.log().lastIndex().Value == 3u);
  BOOST_TEST(!Pending.InstallSnapshot.has_value());
  // The entries that the snapshot covers are known to be committed.
  BOOST_TEST(Pending.Apply.size() == 2u);
  BOOST_REQUIRE(Pending.SendAfterSync.size() == 1u);
  const auto *Reply =
      std::get_if<SnapshotReply>(&Pending.SendAfterSync[0].Body);
  BOOST_REQUIRE(Reply);
  BOOST_TEST(Reply->Installed);
}

BOOST_AUTO_TEST_CASE(onlyOneMembershipChangeAtATime) {
  Replica Elected = replicaOf(stateOf(3, {}));
  const Common::TimePoint Now = Start + 1s;
  elect(Elected, Now);
  Elected.markPersisted(Now);
  Elected.step(Now, messageFrom("b", 4, replyOf(1, Now)));
  Elected.takeActions(Now);
  BOOST_REQUIRE(Elected.addLearner(Now, memberOf("d")).ok());
  const auto Second = Elected.addLearner(Now, memberOf("e"));
  BOOST_TEST(absl::IsFailedPrecondition(Second.status()));
}

BOOST_AUTO_TEST_CASE(gapInStoredLogIsDataLoss) {
  ReplicaOptions Options;
  Options.Self = ReplicaId("a");
  const auto Opened =
      Replica::create(Options, stateOf(3, {entryOf(2, 1)}), Start);
  BOOST_TEST(absl::IsDataLoss(Opened.status()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
