#include "Consensus/Replica.h"

#include "Network/Codec.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Consensus {

absl::StatusOr<Replica> Replica::create(ReplicaOptions Options,
                                        PersistentState Persistent,
                                        Common::TimePoint Now) {
  if (Options.Self.empty())
    return absl::InvalidArgumentError(
        "the replica has no identity; format its data folder first");
  LogIndex Expected = next(Persistent.BaseSnapshot.Index);
  for (const LogEntry &Entry : Persistent.Entries) {
    if (Entry.Index != Expected)
      return absl::DataLossError(absl::StrCat(
          "the log misses entry ", Expected.Value,
          "; replace this replica: format a new folder and add it"));
    Expected = next(Expected);
  }
  return Replica(std::move(Options), std::move(Persistent), Now);
}

Replica::Replica(ReplicaOptions Options, PersistentState Persistent,
                 Common::TimePoint Now)
    : Options(std::move(Options)), Randomness(this->Options.Seed),
      Hard(std::move(Persistent.Hard)),
      Log(std::move(Persistent.BaseSnapshot), std::move(Persistent.Entries)) {
  this->Commit = this->Log.snapshotIndex();
  this->Applied = this->Log.snapshotIndex();
  this->Persisted = this->Log.lastIndex();
  this->PersistingTo = this->Persisted;
  // A restarted voter forgot when it last heard of a leader; as if just now
  // keeps the leader's lease safe.
  this->LeaderHeardAt = Now;
  this->resetElectionTimer(Now);
}

Message Replica::makeMessage(const ReplicaId &To) const {
  Message Result;
  Result.Group = this->Options.Group;
  Result.From = this->Options.Self;
  Result.To = To;
  Result.Term = this->Hard.Term;
  return Result;
}

void Replica::tick(Common::TimePoint Now) {
  if (this->Current == State::Leader) {
    const Common::TimePoint Contact =
        std::max(this->quorumContact(Now), this->LeadingSince);
    // A lease given up for a handover is not taken back: the order to the
    // successor may still be under way.
    const bool HandoverFailed =
        this->HandingOver && Now >= this->HandoverEndsAt;
    if (HandoverFailed || Now - Contact > this->Options.Timing.ElectionMost) {
      this->becomeFollower(Now, this->Hard.Term);
      return;
    }
    if (Now >= this->HeartbeatAt)
      this->replicate(Now, true);
    return;
  }
  if (Now < this->ElectionAt)
    return;
  this->resetElectionTimer(Now);
  if (this->membership().isVoter(this->Options.Self))
    this->campaign(Now, true, false);
}

Common::TimePoint Replica::nextTickTime() const {
  return this->Current == State::Leader ? this->HeartbeatAt : this->ElectionAt;
}

std::optional<Replica::PeerProgress>
Replica::peerProgress(const ReplicaId &Id) const {
  const auto Found = this->Peers.find(Id);
  if (Found == this->Peers.end())
    return std::nullopt;
  return PeerProgress{Found->second.LastContact, Found->second.MatchIndex};
}

void Replica::step(Common::TimePoint Now, const Message &Received) {
  if (Received.Group != this->Options.Group ||
      Received.To != this->Options.Self || Received.From == this->Options.Self)
    return;
  const auto *Asked = std::get_if<VoteRequest>(&Received.Body);
  const auto *Given = std::get_if<VoteReply>(&Received.Body);
  // Pre-votes speak of a term that nobody has entered.
  const bool TermIsHypothetical =
      (Asked && Asked->PreVote) || (Given && Given->PreVote && Given->Granted);
  // A voter that still hears a leader ignores higher terms of candidates, so
  // that the leader's lease stays true.
  const bool Disturbs = Asked && !Asked->Transfer && this->heardFromLeader(Now);
  if (Received.Term > this->Hard.Term && !TermIsHypothetical && !Disturbs)
    this->becomeFollower(Now, Received.Term);
  std::visit([&](const auto &Body) { this->handle(Now, Received, Body); },
             Received.Body);
}

void Replica::followLeader(Common::TimePoint Now, const Message &From) {
  if (this->Current != State::Follower)
    this->becomeFollower(Now, From.Term);
  this->Leader = From.From;
  this->LeaderHeardAt = Now;
  this->resetElectionTimer(Now);
}

void Replica::handle(Common::TimePoint Now, const Message &From,
                     const AppendRequest &Request) {
  Message Answer = this->makeMessage(From.From);
  AppendReply Reply;
  Reply.SentAt = Request.SentAt;
  if (From.Term < this->Hard.Term) {
    // The newer term in the answer makes the old leader step down.
    Answer.Body = Reply;
    this->Work.SendAfterSync.push_back(std::move(Answer));
    return;
  }
  this->followLeader(Now, From);
  if (Request.PreviousIndex < this->Log.snapshotIndex()) {
    Reply.Success = false;
    Reply.Index = next(this->Commit);
  } else if (!this->Log.matches(Request.PreviousIndex, Request.PreviousTerm)) {
    Reply.Success = false;
    Reply.Index =
        std::max(next(this->Commit),
                 std::min(Request.PreviousIndex, next(this->Log.lastIndex())));
  } else {
    Reply.Success = true;
    Reply.Index = this->storeEntries(Request);
    this->advanceCommit(std::min(Request.Commit, Reply.Index));
  }
  Answer.Body = Reply;
  this->Work.SendAfterSync.push_back(std::move(Answer));
}

LogIndex Replica::storeEntries(const AppendRequest &Request) {
  LogIndex Last = Request.PreviousIndex;
  for (const LogEntry &Entry : Request.Entries) {
    Last = Entry.Index;
    if (this->Log.matches(Entry.Index, Entry.Term))
      continue;
    if (this->Log.holds(Entry.Index)) {
      this->Log.truncateFrom(Entry.Index);
      this->Persisted = std::min(this->Persisted, this->Log.lastIndex());
    }
    this->Log.append(Entry);
    this->Work.SaveEntries.push_back(Entry);
  }
  return Last;
}

void Replica::advanceCommit(LogIndex To) {
  To = std::min(To, this->Log.lastIndex());
  if (To <= this->Commit)
    return;
  this->Commit = To;
}

void Replica::handle(Common::TimePoint Now, const Message &From,
                     const SnapshotPart &Part) {
  if (From.Term < this->Hard.Term)
    return;
  this->followLeader(Now, From);
  Message Answer = this->makeMessage(From.From);
  SnapshotReply Reply;
  Reply.Index = Part.Index;
  Reply.SentAt = Part.SentAt;
  if (Part.Offset == 0 || Part.Index != this->SnapshotBufferIndex) {
    this->SnapshotBuffer.clear();
    this->SnapshotBufferIndex = Part.Index;
  }
  if (Part.Index <= this->Commit) {
    Reply.Installed = true;
  } else if (Part.Offset == this->SnapshotBuffer.size()) {
    this->SnapshotBuffer += Part.Bytes;
    if (Part.Last) {
      auto Whole = Network::decode<Snapshot>(this->SnapshotBuffer);
      this->SnapshotBuffer.clear();
      if (Whole.ok()) {
        Reply.Installed = true;
        this->Work.InstallSnapshot = *Whole;
        this->Work.SaveEntries.clear();
        this->Work.Apply.clear();
        this->Commit = Whole->Index;
        this->Applied = Whole->Index;
        this->Log.reset(std::move(*Whole));
        this->Persisted = std::min(this->Persisted, this->Log.lastIndex());
      }
    }
  }
  Reply.NextOffset = this->SnapshotBuffer.size();
  Answer.Body = Reply;
  this->Work.SendAfterSync.push_back(std::move(Answer));
}

void Replica::handle(Common::TimePoint Now, const Message &From,
                     const TimeoutNow &) {
  if (From.Term < this->Hard.Term || this->Current == State::Leader)
    return;
  if (this->membership().isVoter(this->Options.Self))
    this->campaign(Now, false, true);
}

Actions Replica::takeActions(Common::TimePoint Now) {
  if (this->Current == State::Leader)
    this->replicate(Now, false);
  // A leader's own entries count once they are persisted; a follower's
  // commit index may run ahead of its disk, but not its state machine.
  const LogIndex ApplyTo = std::min(this->Commit, this->Persisted);
  while (this->Applied < ApplyTo) {
    this->Applied = next(this->Applied);
    this->Work.Apply.push_back(this->Log.at(this->Applied));
  }
  this->PersistingTo = this->Log.lastIndex();
  if (this->Work.SaveHardState) {
    // Nothing of a term may leave before the term itself is on disk.
    auto &Later = this->Work.SendAfterSync;
    Later.insert(Later.end(),
                 std::make_move_iterator(this->Work.SendImmediately.begin()),
                 std::make_move_iterator(this->Work.SendImmediately.end()));
    this->Work.SendImmediately.clear();
  }
  Actions Result = std::move(this->Work);
  this->Work = Actions();
  return Result;
}

void Replica::markPersisted(Common::TimePoint) {
  this->Persisted = std::min(this->PersistingTo, this->Log.lastIndex());
  if (this->Current == State::Leader)
    this->advanceLeaderCommit();
}

void Replica::compact(LogIndex Index, std::string Data) {
  if (Index > this->Applied || Index <= this->Log.snapshotIndex())
    return;
  Snapshot Taken;
  Taken.Index = Index;
  Taken.Term = this->Log.termAt(Index);
  Taken.Membership = this->Log.membershipAt(Index);
  Taken.Data = std::move(Data);
  this->Log.compact(std::move(Taken));
}

} // namespace Consensus
