#include "Consensus/Replica.h"

namespace Consensus {

void Replica::resetElectionTimer(Common::TimePoint Now) {
  this->ElectionDeadline =
      Now + this->Randomness.between(this->Options.Timing.ElectionTimeoutMin,
                                     this->Options.Timing.ElectionTimeoutMax);
}

bool Replica::hasRecentLeaderContact(Common::TimePoint Now) const {
  if (this->CurrentState == State::Leader)
    return this->leaseHolds(Now);
  return Now - this->LastLeaderContact <
         this->Options.Timing.ElectionTimeoutMin;
}

void Replica::campaign(Common::TimePoint Now, bool PreVote,
                       bool LeadershipTransfer) {
  this->Votes = {this->Options.Self};
  this->Leader = ReplicaId();
  if (PreVote) {
    this->CurrentState = State::PreCandidate;
  } else {
    this->CurrentState = State::Candidate;
    this->Hard.Term = Term{this->Hard.Term.Value + 1};
    this->Hard.VotedFor = this->Options.Self;
    this->saveHardState();
  }
  this->resetElectionTimer(Now);
  VoteRequest Request;
  Request.PreVote = PreVote;
  Request.LeadershipTransfer = LeadershipTransfer;
  Request.LastIndex = this->Log.lastIndex();
  Request.LastTerm = this->Log.lastTerm();
  for (const Member &Each : this->membership().members()) {
    if (Each.Role != Role::Voter || Each.Id == this->Options.Self)
      continue;
    Message Outgoing = this->makeMessage(Each.Id);
    if (PreVote)
      Outgoing.Term = Term{this->Hard.Term.Value + 1};
    Outgoing.Body = Request;
    this->PendingActions.SendAfterSync.push_back(std::move(Outgoing));
  }
  if (this->membership().quorum() > 1)
    return;
  if (PreVote)
    this->campaign(Now, false, LeadershipTransfer);
  else
    this->becomeLeader(Now);
}

void Replica::handle(Common::TimePoint Now, const Message &Received,
                     const VoteRequest &Request) {
  Message Response = this->makeMessage(Received.From);
  VoteReply Reply;
  Reply.PreVote = Request.PreVote;
  const bool UpToDate = Request.LastTerm > this->Log.lastTerm() ||
                        (Request.LastTerm == this->Log.lastTerm() &&
                         Request.LastIndex >= this->Log.lastIndex());
  const bool MustIgnoreElection =
      !Request.LeadershipTransfer && this->hasRecentLeaderContact(Now);
  if (Request.PreVote) {
    Reply.Granted =
        UpToDate && !MustIgnoreElection && Received.Term > this->Hard.Term;
    if (Reply.Granted)
      Response.Term = Received.Term;
  } else if (!MustIgnoreElection && Received.Term == this->Hard.Term) {
    const bool VoteAvailable =
        this->Hard.VotedFor.empty() || this->Hard.VotedFor == Received.From;
    Reply.Granted =
        UpToDate && VoteAvailable && this->CurrentState == State::Follower;
    if (Reply.Granted) {
      this->Hard.VotedFor = Received.From;
      this->saveHardState();
      this->resetElectionTimer(Now);
    }
  }
  Response.Body = Reply;
  this->PendingActions.SendAfterSync.push_back(std::move(Response));
}

void Replica::handle(Common::TimePoint Now, const Message &Received,
                     const VoteReply &Reply) {
  const State ExpectedState =
      Reply.PreVote ? State::PreCandidate : State::Candidate;
  const Term ExpectedTerm =
      Reply.PreVote ? Term{this->Hard.Term.Value + 1} : this->Hard.Term;
  if (this->CurrentState != ExpectedState || !Reply.Granted ||
      Received.Term != ExpectedTerm)
    return;
  if (!this->membership().isVoter(Received.From))
    return;
  this->Votes.insert(Received.From);
  if (this->Votes.size() < this->membership().quorum())
    return;
  if (Reply.PreVote)
    this->campaign(Now, false, false);
  else
    this->becomeLeader(Now);
}

void Replica::becomeFollower(Common::TimePoint Now, Consensus::Term NewTerm) {
  if (NewTerm > this->Hard.Term) {
    this->Hard.Term = NewTerm;
    this->Hard.VotedFor = ReplicaId();
    this->saveHardState();
  }
  this->CurrentState = State::Follower;
  this->Leader = ReplicaId();
  this->Peers.clear();
  this->TransferInProgress = false;
  this->resetElectionTimer(Now);
}

void Replica::becomeLeader(Common::TimePoint Now) {
  this->CurrentState = State::Leader;
  this->Leader = this->Options.Self;
  this->LeaderSince = Now;
  this->TransferInProgress = false;
  this->Peers.clear();
  this->updatePeersFromMembership(Now);
  this->TermStartIndex = this->appendEntry(EntryKind::TermStart, "");
  this->replicate(Now, true);
}

} // namespace Consensus
