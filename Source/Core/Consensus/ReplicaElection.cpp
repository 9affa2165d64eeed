#include "Consensus/Replica.h"

namespace Consensus {

void Replica::resetElectionTimer(Common::TimePoint Now) {
  this->ElectionAt =
      Now + this->Randomness.between(this->Options.Timing.ElectionLeast,
                                     this->Options.Timing.ElectionMost);
}

bool Replica::heardFromLeader(Common::TimePoint Now) const {
  if (this->Current == State::Leader)
    return this->leaseHolds(Now);
  return Now - this->LeaderHeardAt < this->Options.Timing.ElectionLeast;
}

void Replica::campaign(Common::TimePoint Now, bool PreVote, bool Transfer) {
  this->Votes = {this->Options.Self};
  this->Leader = ReplicaId();
  if (PreVote) {
    this->Current = State::PreCandidate;
  } else {
    this->Current = State::Candidate;
    this->Hard.Term = Term{this->Hard.Term.Value + 1};
    this->Hard.VotedFor = this->Options.Self;
    this->saveHard();
  }
  this->resetElectionTimer(Now);
  VoteRequest Asked;
  Asked.PreVote = PreVote;
  Asked.Transfer = Transfer;
  Asked.LastIndex = this->Log.lastIndex();
  Asked.LastTerm = this->Log.lastTerm();
  for (const Member &Each : this->membership().members()) {
    if (Each.Role != Role::Voter || Each.Id == this->Options.Self)
      continue;
    Message Request = this->makeMessage(Each.Id);
    if (PreVote)
      Request.Term = Term{this->Hard.Term.Value + 1};
    Request.Body = Asked;
    this->Work.SendAfterSync.push_back(std::move(Request));
  }
  if (this->membership().quorum() > 1)
    return;
  if (PreVote)
    this->campaign(Now, false, Transfer);
  else
    this->becomeLeader(Now);
}

void Replica::handle(Common::TimePoint Now, const Message &From,
                     const VoteRequest &Asked) {
  Message Answer = this->makeMessage(From.From);
  VoteReply Reply;
  Reply.PreVote = Asked.PreVote;
  const bool UpToDate = Asked.LastTerm > this->Log.lastTerm() ||
                        (Asked.LastTerm == this->Log.lastTerm() &&
                         Asked.LastIndex >= this->Log.lastIndex());
  const bool LeaseBlocks = !Asked.Transfer && this->heardFromLeader(Now);
  if (Asked.PreVote) {
    Reply.Granted = UpToDate && !LeaseBlocks && From.Term > this->Hard.Term;
    if (Reply.Granted)
      Answer.Term = From.Term;
  } else if (!LeaseBlocks && From.Term == this->Hard.Term) {
    const bool Free =
        this->Hard.VotedFor.empty() || this->Hard.VotedFor == From.From;
    Reply.Granted = UpToDate && Free && this->Current == State::Follower;
    if (Reply.Granted) {
      this->Hard.VotedFor = From.From;
      this->saveHard();
      this->resetElectionTimer(Now);
    }
  }
  Answer.Body = Reply;
  this->Work.SendAfterSync.push_back(std::move(Answer));
}

void Replica::handle(Common::TimePoint Now, const Message &From,
                     const VoteReply &Given) {
  const State Wanted = Given.PreVote ? State::PreCandidate : State::Candidate;
  const Term Asked =
      Given.PreVote ? Term{this->Hard.Term.Value + 1} : this->Hard.Term;
  if (this->Current != Wanted || !Given.Granted || From.Term != Asked)
    return;
  if (!this->membership().isVoter(From.From))
    return;
  this->Votes.insert(From.From);
  if (this->Votes.size() < this->membership().quorum())
    return;
  if (Given.PreVote)
    this->campaign(Now, false, false);
  else
    this->becomeLeader(Now);
}

void Replica::becomeFollower(Common::TimePoint Now, Consensus::Term At) {
  if (At > this->Hard.Term) {
    this->Hard.Term = At;
    this->Hard.VotedFor = ReplicaId();
    this->saveHard();
  }
  this->Current = State::Follower;
  this->Leader = ReplicaId();
  this->Peers.clear();
  this->HandingOver = false;
  this->resetElectionTimer(Now);
}

void Replica::becomeLeader(Common::TimePoint Now) {
  this->Current = State::Leader;
  this->Leader = this->Options.Self;
  this->LeadingSince = Now;
  this->HandingOver = false;
  this->Peers.clear();
  this->syncProgressWithMembership(Now);
  this->TermStartIndex = this->appendOwn(EntryKind::TermStart, "");
  this->replicate(Now, true);
}

} // namespace Consensus
