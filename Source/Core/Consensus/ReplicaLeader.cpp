#include "Consensus/Replica.h"

#include "Network/Codec.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Consensus {

namespace {

constexpr std::size_t MaxEntriesPerMessage = 512;
constexpr std::size_t MaxBytesPerMessage = 1u << 20;
constexpr std::size_t MaxSnapshotChunkBytes = 1u << 20;
/// A snapshot chunk that was not answered is sent again after this time.
constexpr Common::Duration SnapshotResendInterval =
    std::chrono::milliseconds(500);

std::int64_t toMicroseconds(Common::TimePoint Time) {
  return Time.time_since_epoch().count();
}

Common::TimePoint fromMicroseconds(std::int64_t Microseconds) {
  return Common::TimePoint(Common::Duration(Microseconds));
}

} // namespace

LogIndex Replica::appendEntry(EntryKind Kind, std::string Payload) {
  LogEntry Entry;
  Entry.Term = this->Hard.Term;
  Entry.Index = next(this->Log.lastIndex());
  Entry.Kind = Kind;
  Entry.Payload = std::move(Payload);
  this->PendingActions.SaveEntries.push_back(Entry);
  const LogIndex Index = Entry.Index;
  this->Log.append(std::move(Entry));
  return Index;
}

absl::StatusOr<LogIndex> Replica::propose(Common::TimePoint Now,
                                          std::string Payload) {
  if (this->CurrentState != State::Leader || this->TransferInProgress)
    return absl::FailedPreconditionError(
        "this replica is not the leader or is transferring leadership; send "
        "the request to the leader");
  if (!this->leaseHolds(Now))
    return absl::UnavailableError(
        "the leader has lost contact with a quorum; retry when the "
        "network has recovered");
  return this->appendEntry(EntryKind::Command, std::move(Payload));
}

absl::Status
Replica::checkMembershipChangeAllowed(Common::TimePoint Now) const {
  if (this->CurrentState != State::Leader || this->TransferInProgress)
    return absl::FailedPreconditionError(
        "this replica is not the leader or is transferring leadership; send "
        "the request to the leader");
  if (!this->leaseHolds(Now) || this->CommitIndex < this->TermStartIndex)
    return absl::UnavailableError(
        "the leader has lost contact with a quorum or has not committed an "
        "entry of its term yet; retry in a second");
  if (this->Log.membershipIndex() > this->CommitIndex)
    return absl::FailedPreconditionError(
        "another membership change is in progress; retry in a second");
  return absl::OkStatus();
}

absl::StatusOr<LogIndex>
Replica::proposeMembership(Common::TimePoint Now,
                           absl::StatusOr<Membership> Next) {
  if (absl::Status Allowed = this->checkMembershipChangeAllowed(Now);
      !Allowed.ok())
    return Allowed;
  if (!Next.ok())
    return Next.status();
  const LogIndex Index =
      this->appendEntry(EntryKind::MembershipChange, Network::encode(*Next));
  this->updatePeersFromMembership(Now);
  return Index;
}

absl::StatusOr<LogIndex> Replica::addLearner(Common::TimePoint Now,
                                             const Member &Added) {
  return this->proposeMembership(Now, this->membership().withLearner(Added));
}

absl::StatusOr<LogIndex> Replica::promote(Common::TimePoint Now,
                                          const ReplicaId &Id) {
  const auto Found = this->Peers.find(Id);
  if (this->CurrentState == State::Leader && Found != this->Peers.end() &&
      Found->second.MatchIndex < this->CommitIndex)
    return absl::FailedPreconditionError(absl::StrCat(
        "replica ", Id.str(), " has ", Found->second.MatchIndex.Value, " of ",
        this->CommitIndex.Value,
        " committed entries; wait until it has caught up"));
  return this->proposeMembership(Now, this->membership().withPromoted(Id));
}

absl::StatusOr<LogIndex> Replica::remove(Common::TimePoint Now,
                                         const ReplicaId &Id) {
  if (Id == this->Options.Self)
    return absl::FailedPreconditionError(
        "a replica cannot remove itself; stop its daemon first, then send "
        "the request to the leader of the others");
  return this->proposeMembership(Now, this->membership().withRemoved(Id));
}

void Replica::transferLeadership(Common::TimePoint Now) {
  if (this->CurrentState != State::Leader || this->TransferInProgress)
    return;
  const ReplicaId *Best = nullptr;
  LogIndex BestMatch;
  for (const auto &[Id, Peer] : this->Peers) {
    const bool Reachable =
        Now - Peer.LastContact < this->Options.Timing.ElectionTimeoutMin;
    if (!this->membership().isVoter(Id) || !Reachable)
      continue;
    if (!Best || Peer.MatchIndex > BestMatch) {
      Best = &Id;
      BestMatch = Peer.MatchIndex;
    }
  }
  if (!Best)
    return;
  this->replicate(Now, false);
  // The receiver does not wait for the lease to expire, so the lease ends now.
  this->TransferInProgress = true;
  this->TransferDeadline = Now + this->Options.Timing.ElectionTimeoutMax;
  Message Outgoing = this->makeMessage(*Best);
  Outgoing.Body = TimeoutNow{};
  this->PendingActions.SendAfterSync.push_back(std::move(Outgoing));
}

void Replica::updatePeersFromMembership(Common::TimePoint Now) {
  std::map<ReplicaId, PeerState> UpdatedPeers;
  for (const Member &Each : this->membership().members()) {
    if (Each.Id == this->Options.Self)
      continue;
    const auto Found = this->Peers.find(Each.Id);
    if (Found != this->Peers.end()) {
      UpdatedPeers[Each.Id] = Found->second;
      continue;
    }
    PeerState NewPeer;
    NewPeer.NextIndex = next(this->Log.lastIndex());
    NewPeer.LastSent = Now;
    // There was no contact yet, so this replica must not count for the lease.
    NewPeer.LastContact = Now - this->Options.Timing.ElectionTimeoutMax;
    UpdatedPeers[Each.Id] = NewPeer;
  }
  this->Peers = std::move(UpdatedPeers);
}

void Replica::replicate(Common::TimePoint Now, bool Heartbeat) {
  if (Heartbeat)
    this->NextHeartbeat = Now + this->Options.Timing.HeartbeatInterval;
  for (auto &[Id, Peer] : this->Peers) {
    if (Peer.SendingSnapshot) {
      if (Now - Peer.LastSent >= SnapshotResendInterval)
        this->sendSnapshotChunk(Now, Id, Peer);
      continue;
    }
    if (Heartbeat || Peer.NextIndex <= this->Log.lastIndex())
      this->sendEntries(Now, Id, Peer);
  }
}

void Replica::sendEntries(Common::TimePoint Now, const ReplicaId &To,
                          PeerState &Peer) {
  if (Peer.NextIndex <= this->Log.snapshotIndex()) {
    Peer.SendingSnapshot = true;
    Peer.SnapshotOffset = 0;
    Peer.SnapshotIndex = this->Log.snapshotIndex();
    this->sendSnapshotChunk(Now, To, Peer);
    return;
  }
  AppendRequest Request;
  Request.PreviousIndex = previous(Peer.NextIndex);
  Request.PreviousTerm = this->Log.termAt(Request.PreviousIndex);
  Request.CommitIndex = this->CommitIndex;
  Request.SentAt = toMicroseconds(Now);
  std::size_t Bytes = 0;
  while (Peer.NextIndex <= this->Log.lastIndex() &&
         Request.Entries.size() < MaxEntriesPerMessage &&
         Bytes < MaxBytesPerMessage) {
    const LogEntry &Entry = this->Log.at(Peer.NextIndex);
    Bytes += Entry.Payload.size();
    Request.Entries.push_back(Entry);
    Peer.NextIndex = next(Peer.NextIndex);
  }
  Peer.LastSent = Now;
  Message Outgoing = this->makeMessage(To);
  Outgoing.Body = std::move(Request);
  this->PendingActions.SendImmediately.push_back(std::move(Outgoing));
}

void Replica::sendSnapshotChunk(Common::TimePoint Now, const ReplicaId &To,
                                PeerState &Peer) {
  if (Peer.SnapshotIndex != this->Log.snapshotIndex()) {
    Peer.SnapshotIndex = this->Log.snapshotIndex();
    Peer.SnapshotOffset = 0;
  }
  const std::string Encoded = Network::encode(this->Log.snapshot());
  SnapshotChunk Chunk;
  Chunk.Index = this->Log.snapshotIndex();
  Chunk.SnapshotTerm = this->Log.snapshot().Term;
  Chunk.Offset = std::min<std::uint64_t>(Peer.SnapshotOffset, Encoded.size());
  Chunk.Bytes = Encoded.substr(Chunk.Offset, MaxSnapshotChunkBytes);
  Chunk.Last = Chunk.Offset + Chunk.Bytes.size() == Encoded.size();
  Chunk.SentAt = toMicroseconds(Now);
  Peer.LastSent = Now;
  Message Outgoing = this->makeMessage(To);
  Outgoing.Body = std::move(Chunk);
  this->PendingActions.SendImmediately.push_back(std::move(Outgoing));
}

void Replica::handle(Common::TimePoint Now, const Message &Received,
                     const AppendReply &Reply) {
  const auto Found = this->Peers.find(Received.From);
  if (this->CurrentState != State::Leader || Received.Term != this->Hard.Term ||
      Found == this->Peers.end())
    return;
  PeerState &Peer = Found->second;
  Peer.LastContact = std::max(Peer.LastContact, fromMicroseconds(Reply.SentAt));
  if (!Reply.Success) {
    if (!Peer.SendingSnapshot) {
      Peer.NextIndex = std::max(next(Peer.MatchIndex), Reply.Index);
      this->sendEntries(Now, Received.From, Peer);
    }
    return;
  }
  if (Reply.Index > Peer.MatchIndex) {
    Peer.MatchIndex = Reply.Index;
    Peer.NextIndex = std::max(Peer.NextIndex, next(Peer.MatchIndex));
    this->advanceCommitIndexByQuorum();
  }
}

void Replica::handle(Common::TimePoint Now, const Message &Received,
                     const SnapshotReply &Reply) {
  const auto Found = this->Peers.find(Received.From);
  if (this->CurrentState != State::Leader || Received.Term != this->Hard.Term ||
      Found == this->Peers.end())
    return;
  PeerState &Peer = Found->second;
  Peer.LastContact = std::max(Peer.LastContact, fromMicroseconds(Reply.SentAt));
  if (!Peer.SendingSnapshot)
    return;
  if (Reply.Installed) {
    Peer.SendingSnapshot = false;
    Peer.MatchIndex = std::max(Peer.MatchIndex, Reply.Index);
    Peer.NextIndex = next(Peer.MatchIndex);
    this->sendEntries(Now, Received.From, Peer);
    return;
  }
  Peer.SnapshotOffset = Reply.NextOffset;
  this->sendSnapshotChunk(Now, Received.From, Peer);
}

void Replica::advanceCommitIndexByQuorum() {
  std::vector<LogIndex> Matches;
  for (const Member &Each : this->membership().members()) {
    if (Each.Role != Role::Voter)
      continue;
    const bool IsSelf = Each.Id == this->Options.Self;
    Matches.push_back(IsSelf ? this->PersistedIndex
                             : this->Peers.at(Each.Id).MatchIndex);
  }
  if (Matches.empty())
    return;
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  const LogIndex Majority = Matches[this->membership().quorum() - 1];
  // Entries of earlier terms are committed only together with an entry of the
  // current term (Raft paper, section 5.4.2).
  if (Majority > this->CommitIndex &&
      this->Log.termAt(Majority) == this->Hard.Term)
    this->advanceCommitIndex(Majority);
}

Common::TimePoint Replica::lastQuorumContact(Common::TimePoint Now) const {
  std::vector<Common::TimePoint> Contacts;
  for (const Member &Each : this->membership().members()) {
    if (Each.Role != Role::Voter)
      continue;
    const bool IsSelf = Each.Id == this->Options.Self;
    Contacts.push_back(IsSelf ? Now : this->Peers.at(Each.Id).LastContact);
  }
  if (Contacts.empty())
    return {};
  std::sort(Contacts.begin(), Contacts.end(), std::greater<>());
  return Contacts[this->membership().quorum() - 1];
}

bool Replica::leaseHolds(Common::TimePoint Now) const {
  return !this->TransferInProgress && Now - this->lastQuorumContact(Now) <
                                          this->Options.Timing.LeaseDuration;
}

bool Replica::canServe(Common::TimePoint Now) const {
  return this->CurrentState == State::Leader && this->leaseHolds(Now) &&
         this->AppliedIndex >= this->TermStartIndex;
}

} // namespace Consensus
