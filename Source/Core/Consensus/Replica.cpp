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
        "replica has no identity; format its data folder first");
  LogIndex Expected = next(Persistent.BaseSnapshot.Index);
  for (const LogEntry &Entry : Persistent.Entries) {
    if (Entry.Index != Expected)
      return absl::DataLossError(absl::StrCat(
          "log entry ", Expected.Value,
          " is missing; replace this replica: format a new folder and add it"));
    Expected = next(Expected);
  }
  return Replica(std::move(Options), std::move(Persistent), Now);
}

Replica::Replica(ReplicaOptions Options, PersistentState Persistent,
                 Common::TimePoint Now)
    : Options(std::move(Options)), Randomness(this->Options.Seed),
      Hard(std::move(Persistent.Hard)),
      Log(std::move(Persistent.BaseSnapshot), std::move(Persistent.Entries)) {
  this->CommitIndex = this->Log.snapshotIndex();
  this->AppliedIndex = this->Log.snapshotIndex();
  this->PersistedIndex = this->Log.lastIndex();
  this->PersistingIndex = this->PersistedIndex;
  // The time of the last leader contact is not persisted. Assuming a contact
  // just before the restart keeps the leader's lease valid.
  this->LastLeaderContact = Now;
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
  if (this->CurrentState == State::Leader) {
    const Common::TimePoint LastContact =
        std::max(this->lastQuorumContact(Now), this->LeaderSince);
    // The lease was given up for the transfer and cannot be resumed, because
    // the TimeoutNow message may still be in transit. Step down instead.
    const bool TransferTimedOut =
        this->TransferInProgress && Now >= this->TransferDeadline;
    if (TransferTimedOut ||
        Now - LastContact > this->Options.Timing.ElectionTimeoutMax) {
      this->becomeFollower(Now, this->Hard.Term);
      return;
    }
    if (Now >= this->NextHeartbeat)
      this->replicate(Now, true);
    return;
  }
  if (Now < this->ElectionDeadline)
    return;
  this->resetElectionTimer(Now);
  if (this->membership().isVoter(this->Options.Self))
    this->campaign(Now, true, false);
}

Common::TimePoint Replica::nextTickTime() const {
  return this->CurrentState == State::Leader ? this->NextHeartbeat
                                             : this->ElectionDeadline;
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
  const auto *Request = std::get_if<VoteRequest>(&Received.Body);
  const auto *Reply = std::get_if<VoteReply>(&Received.Body);
  // Pre-votes carry the candidate's next term, which has not started yet.
  const bool TermNotStarted = (Request && Request->PreVote) ||
                              (Reply && Reply->PreVote && Reply->Granted);
  // A voter in contact with a leader ignores higher terms of candidates, so
  // that the leader's lease stays valid.
  const bool MustIgnoreElection = Request && !Request->LeadershipTransfer &&
                                  this->hasRecentLeaderContact(Now);
  if (Received.Term > this->Hard.Term && !TermNotStarted && !MustIgnoreElection)
    this->becomeFollower(Now, Received.Term);
  std::visit([&](const auto &Body) { this->handle(Now, Received, Body); },
             Received.Body);
}

void Replica::followLeader(Common::TimePoint Now, const Message &Received) {
  if (this->CurrentState != State::Follower)
    this->becomeFollower(Now, Received.Term);
  this->Leader = Received.From;
  this->LastLeaderContact = Now;
  this->resetElectionTimer(Now);
}

void Replica::handle(Common::TimePoint Now, const Message &Received,
                     const AppendRequest &Request) {
  Message Response = this->makeMessage(Received.From);
  AppendReply Reply;
  Reply.SentAt = Request.SentAt;
  if (Received.Term < this->Hard.Term) {
    // The higher term in the reply makes the stale leader step down.
    Response.Body = Reply;
    this->PendingActions.SendAfterSync.push_back(std::move(Response));
    return;
  }
  this->followLeader(Now, Received);
  if (Request.PreviousIndex < this->Log.snapshotIndex()) {
    Reply.Success = false;
    Reply.Index = next(this->CommitIndex);
  } else if (!this->Log.matches(Request.PreviousIndex, Request.PreviousTerm)) {
    Reply.Success = false;
    Reply.Index =
        std::max(next(this->CommitIndex),
                 std::min(Request.PreviousIndex, next(this->Log.lastIndex())));
  } else {
    Reply.Success = true;
    Reply.Index = this->storeEntries(Request);
    this->advanceCommitIndex(std::min(Request.CommitIndex, Reply.Index));
  }
  Response.Body = Reply;
  this->PendingActions.SendAfterSync.push_back(std::move(Response));
}

LogIndex Replica::storeEntries(const AppendRequest &Request) {
  LogIndex Last = Request.PreviousIndex;
  for (const LogEntry &Entry : Request.Entries) {
    Last = Entry.Index;
    if (this->Log.matches(Entry.Index, Entry.Term))
      continue;
    if (this->Log.contains(Entry.Index)) {
      this->Log.truncateFrom(Entry.Index);
      this->PersistedIndex =
          std::min(this->PersistedIndex, this->Log.lastIndex());
    }
    this->Log.append(Entry);
    this->PendingActions.SaveEntries.push_back(Entry);
  }
  return Last;
}

void Replica::advanceCommitIndex(LogIndex To) {
  To = std::min(To, this->Log.lastIndex());
  if (To <= this->CommitIndex)
    return;
  this->CommitIndex = To;
}

void Replica::handle(Common::TimePoint Now, const Message &Received,
                     const SnapshotChunk &Chunk) {
  if (Received.Term < this->Hard.Term)
    return;
  this->followLeader(Now, Received);
  Message Response = this->makeMessage(Received.From);
  SnapshotReply Reply;
  Reply.Index = Chunk.Index;
  Reply.SentAt = Chunk.SentAt;
  if (Chunk.Offset == 0 || Chunk.Index != this->SnapshotBufferIndex) {
    this->SnapshotBuffer.clear();
    this->SnapshotBufferIndex = Chunk.Index;
  }
  // The log may have the snapshot's last entry already, and acknowledged
  // entries after it.
  if (this->Log.matches(Chunk.Index, Chunk.SnapshotTerm))
    this->advanceCommitIndex(Chunk.Index);
  if (Chunk.Index <= this->CommitIndex) {
    Reply.Installed = true;
  } else if (Chunk.Offset == this->SnapshotBuffer.size()) {
    this->SnapshotBuffer += Chunk.Bytes;
    if (Chunk.Last) {
      auto Decoded = Network::decode<Snapshot>(this->SnapshotBuffer);
      this->SnapshotBuffer.clear();
      if (Decoded.ok()) {
        Reply.Installed = true;
        this->PendingActions.InstallSnapshot = *Decoded;
        this->PendingActions.SaveEntries.clear();
        this->PendingActions.Apply.clear();
        this->CommitIndex = Decoded->Index;
        this->AppliedIndex = Decoded->Index;
        this->Log.reset(std::move(*Decoded));
        this->PersistedIndex =
            std::min(this->PersistedIndex, this->Log.lastIndex());
      }
    }
  }
  Reply.NextOffset = this->SnapshotBuffer.size();
  Response.Body = Reply;
  this->PendingActions.SendAfterSync.push_back(std::move(Response));
}

void Replica::handle(Common::TimePoint Now, const Message &Received,
                     const TimeoutNow &) {
  if (Received.Term < this->Hard.Term || this->CurrentState == State::Leader)
    return;
  if (this->membership().isVoter(this->Options.Self))
    this->campaign(Now, false, true);
}

Actions Replica::takeActions(Common::TimePoint Now) {
  if (this->CurrentState == State::Leader)
    this->replicate(Now, false);
  // The leader counts its own entries towards the quorum only once they are
  // persisted. A follower's commit index may be ahead of its persisted log, but
  // it applies persisted entries only.
  const LogIndex ApplyTo = std::min(this->CommitIndex, this->PersistedIndex);
  while (this->AppliedIndex < ApplyTo) {
    this->AppliedIndex = next(this->AppliedIndex);
    this->PendingActions.Apply.push_back(this->Log.at(this->AppliedIndex));
  }
  this->PersistingIndex = this->Log.lastIndex();
  if (this->PendingActions.SaveHardState) {
    // No message of a new term may be sent before the term is on disk.
    auto &Delayed = this->PendingActions.SendAfterSync;
    Delayed.insert(
        Delayed.end(),
        std::make_move_iterator(this->PendingActions.SendImmediately.begin()),
        std::make_move_iterator(this->PendingActions.SendImmediately.end()));
    this->PendingActions.SendImmediately.clear();
  }
  Actions Result = std::move(this->PendingActions);
  this->PendingActions = Actions();
  return Result;
}

void Replica::markPersisted(Common::TimePoint) {
  this->PersistedIndex = std::min(this->PersistingIndex, this->Log.lastIndex());
  if (this->CurrentState == State::Leader)
    this->advanceCommitIndexByQuorum();
}

void Replica::compact(LogIndex Index, std::string Data) {
  if (Index > this->AppliedIndex || Index <= this->Log.snapshotIndex())
    return;
  Snapshot NewSnapshot;
  NewSnapshot.Index = Index;
  NewSnapshot.Term = this->Log.termAt(Index);
  NewSnapshot.Membership = this->Log.membershipAt(Index);
  NewSnapshot.Data = std::move(Data);
  this->Log.compact(std::move(NewSnapshot));
}

} // namespace Consensus
