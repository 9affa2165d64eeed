#include "Consensus/Replica.h"

#include "Network/Codec.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Consensus {

namespace {

constexpr std::size_t MaxEntriesPerMessage = 512;
constexpr std::size_t MaxBytesPerMessage = 1u << 20;
constexpr std::size_t SnapshotPartBytes = 1u << 20;
/// A snapshot part without an answer is sent again after this time.
constexpr Common::Duration SnapshotResend = std::chrono::milliseconds(500);

std::int64_t toWire(Common::TimePoint At) {
  return At.time_since_epoch().count();
}

Common::TimePoint fromWire(std::int64_t Micros) {
  return Common::TimePoint(Common::Duration(Micros));
}

} // namespace

LogIndex Replica::appendOwn(EntryKind Kind, std::string Payload) {
  LogEntry Entry;
  Entry.Term = this->Hard.Term;
  Entry.Index = next(this->Log.lastIndex());
  Entry.Kind = Kind;
  Entry.Payload = std::move(Payload);
  this->Work.SaveEntries.push_back(Entry);
  const LogIndex Index = Entry.Index;
  this->Log.append(std::move(Entry));
  return Index;
}

absl::StatusOr<LogIndex> Replica::propose(Common::TimePoint Now,
                                          std::string Payload) {
  if (this->Current != State::Leader || this->HandingOver)
    return absl::FailedPreconditionError(
        "this replica does not lead; ask the leader");
  if (!this->leaseHolds(Now))
    return absl::UnavailableError(
        "no recent contact to a quorum; retry when the network is whole");
  return this->appendOwn(EntryKind::Command, std::move(Payload));
}

absl::Status Replica::checkCanChange(Common::TimePoint Now) const {
  if (this->Current != State::Leader || this->HandingOver)
    return absl::FailedPreconditionError(
        "this replica does not lead; ask the leader");
  if (!this->leaseHolds(Now) || this->Commit < this->TermStartIndex)
    return absl::UnavailableError(
        "the leader has not reached a quorum yet; retry in a second");
  if (this->Log.membershipIndex() > this->Commit)
    return absl::FailedPreconditionError(
        "another change of replicas is under way; retry in a second");
  return absl::OkStatus();
}

absl::StatusOr<LogIndex>
Replica::proposeMembership(Common::TimePoint Now,
                           absl::StatusOr<Membership> Next) {
  if (absl::Status Can = this->checkCanChange(Now); !Can.ok())
    return Can;
  if (!Next.ok())
    return Next.status();
  const LogIndex Index =
      this->appendOwn(EntryKind::MembershipChange, Network::encode(*Next));
  this->syncProgressWithMembership(Now);
  return Index;
}

absl::StatusOr<LogIndex> Replica::addLearner(Common::TimePoint Now,
                                             const Member &Added) {
  return this->proposeMembership(Now, this->membership().withLearner(Added));
}

absl::StatusOr<LogIndex> Replica::promote(Common::TimePoint Now,
                                          const ReplicaId &Id) {
  const auto Found = this->Peers.find(Id);
  if (this->Current == State::Leader && Found != this->Peers.end() &&
      Found->second.MatchIndex < this->Commit)
    return absl::FailedPreconditionError(absl::StrCat(
        "replica ", Id.str(), " holds ", Found->second.MatchIndex.Value, " of ",
        this->Commit.Value, " committed entries; wait until it caught up"));
  return this->proposeMembership(Now, this->membership().withPromoted(Id));
}

absl::StatusOr<LogIndex> Replica::remove(Common::TimePoint Now,
                                         const ReplicaId &Id) {
  if (Id == this->Options.Self)
    return absl::FailedPreconditionError(
        "the leader cannot remove itself; stop its daemon first, then ask "
        "the new leader");
  return this->proposeMembership(Now, this->membership().withRemoved(Id));
}

void Replica::transferLeadership(Common::TimePoint Now) {
  if (this->Current != State::Leader || this->HandingOver)
    return;
  const ReplicaId *Best = nullptr;
  LogIndex BestMatch;
  for (const auto &[Id, Peer] : this->Peers) {
    const bool Reachable =
        Now - Peer.LastContact < this->Options.Timing.ElectionLeast;
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
  // From here the lease is given up: the receiver need not wait it out.
  this->HandingOver = true;
  this->HandoverEndsAt = Now + this->Options.Timing.ElectionMost;
  Message Order = this->makeMessage(*Best);
  Order.Body = TimeoutNow{};
  this->Work.SendAfterSync.push_back(std::move(Order));
}

void Replica::syncProgressWithMembership(Common::TimePoint Now) {
  std::map<ReplicaId, Progress> Kept;
  for (const Member &Each : this->membership().members()) {
    if (Each.Id == this->Options.Self)
      continue;
    const auto Found = this->Peers.find(Each.Id);
    if (Found != this->Peers.end()) {
      Kept[Each.Id] = Found->second;
      continue;
    }
    Progress Fresh;
    Fresh.Next = next(this->Log.lastIndex());
    Fresh.LastSent = Now;
    // No contact yet: the lease does not hold through this replica.
    Fresh.LastContact = Now - this->Options.Timing.ElectionMost;
    Kept[Each.Id] = Fresh;
  }
  this->Peers = std::move(Kept);
}

void Replica::replicate(Common::TimePoint Now, bool Heartbeat) {
  if (Heartbeat)
    this->HeartbeatAt = Now + this->Options.Timing.Heartbeat;
  for (auto &[Id, Peer] : this->Peers) {
    if (Peer.SendingSnapshot) {
      if (Now - Peer.LastSent >= SnapshotResend)
        this->sendSnapshotPart(Now, Id, Peer);
      continue;
    }
    if (Heartbeat || Peer.Next <= this->Log.lastIndex())
      this->sendEntries(Now, Id, Peer);
  }
}

void Replica::sendEntries(Common::TimePoint Now, const ReplicaId &To,
                          Progress &Peer) {
  if (Peer.Next <= this->Log.snapshotIndex()) {
    Peer.SendingSnapshot = true;
    Peer.SnapshotOffset = 0;
    Peer.SnapshotIndex = this->Log.snapshotIndex();
    this->sendSnapshotPart(Now, To, Peer);
    return;
  }
  AppendRequest Request;
  Request.PreviousIndex = previous(Peer.Next);
  Request.PreviousTerm = this->Log.termAt(Request.PreviousIndex);
  Request.Commit = this->Commit;
  Request.SentAt = toWire(Now);
  std::size_t Bytes = 0;
  while (Peer.Next <= this->Log.lastIndex() &&
         Request.Entries.size() < MaxEntriesPerMessage &&
         Bytes < MaxBytesPerMessage) {
    const LogEntry &Entry = this->Log.at(Peer.Next);
    Bytes += Entry.Payload.size();
    Request.Entries.push_back(Entry);
    Peer.Next = next(Peer.Next);
  }
  Peer.LastSent = Now;
  Message Carrier = this->makeMessage(To);
  Carrier.Body = std::move(Request);
  this->Work.SendImmediately.push_back(std::move(Carrier));
}

void Replica::sendSnapshotPart(Common::TimePoint Now, const ReplicaId &To,
                               Progress &Peer) {
  if (Peer.SnapshotIndex != this->Log.snapshotIndex()) {
    Peer.SnapshotIndex = this->Log.snapshotIndex();
    Peer.SnapshotOffset = 0;
  }
  const std::string Whole = Network::encode(this->Log.snapshot());
  SnapshotPart Part;
  Part.Index = this->Log.snapshotIndex();
  Part.SnapshotTerm = this->Log.snapshot().Term;
  Part.Offset = std::min<std::uint64_t>(Peer.SnapshotOffset, Whole.size());
  Part.Bytes = Whole.substr(Part.Offset, SnapshotPartBytes);
  Part.Last = Part.Offset + Part.Bytes.size() == Whole.size();
  Part.SentAt = toWire(Now);
  Peer.LastSent = Now;
  Message Carrier = this->makeMessage(To);
  Carrier.Body = std::move(Part);
  this->Work.SendImmediately.push_back(std::move(Carrier));
}

void Replica::handle(Common::TimePoint Now, const Message &From,
                     const AppendReply &Reply) {
  const auto Found = this->Peers.find(From.From);
  if (this->Current != State::Leader || From.Term != this->Hard.Term ||
      Found == this->Peers.end())
    return;
  Progress &Peer = Found->second;
  Peer.LastContact = std::max(Peer.LastContact, fromWire(Reply.SentAt));
  if (!Reply.Success) {
    if (!Peer.SendingSnapshot) {
      Peer.Next = std::max(next(Peer.MatchIndex), Reply.Index);
      this->sendEntries(Now, From.From, Peer);
    }
    return;
  }
  if (Reply.Index > Peer.MatchIndex) {
    Peer.MatchIndex = Reply.Index;
    Peer.Next = std::max(Peer.Next, next(Peer.MatchIndex));
    this->advanceLeaderCommit();
  }
}

void Replica::handle(Common::TimePoint Now, const Message &From,
                     const SnapshotReply &Reply) {
  const auto Found = this->Peers.find(From.From);
  if (this->Current != State::Leader || From.Term != this->Hard.Term ||
      Found == this->Peers.end())
    return;
  Progress &Peer = Found->second;
  Peer.LastContact = std::max(Peer.LastContact, fromWire(Reply.SentAt));
  if (!Peer.SendingSnapshot)
    return;
  if (Reply.Installed) {
    Peer.SendingSnapshot = false;
    Peer.MatchIndex = std::max(Peer.MatchIndex, Reply.Index);
    Peer.Next = next(Peer.MatchIndex);
    this->sendEntries(Now, From.From, Peer);
    return;
  }
  Peer.SnapshotOffset = Reply.NextOffset;
  this->sendSnapshotPart(Now, From.From, Peer);
}

void Replica::advanceLeaderCommit() {
  std::vector<LogIndex> Matches;
  for (const Member &Each : this->membership().members()) {
    if (Each.Role != Role::Voter)
      continue;
    const bool Own = Each.Id == this->Options.Self;
    Matches.push_back(Own ? this->Persisted
                          : this->Peers.at(Each.Id).MatchIndex);
  }
  if (Matches.empty())
    return;
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  const LogIndex Majority = Matches[this->membership().quorum() - 1];
  // Entries of earlier terms are committed only through one of this term.
  if (Majority > this->Commit && this->Log.termAt(Majority) == this->Hard.Term)
    this->advanceCommit(Majority);
}

Common::TimePoint Replica::quorumContact(Common::TimePoint Now) const {
  std::vector<Common::TimePoint> Contacts;
  for (const Member &Each : this->membership().members()) {
    if (Each.Role != Role::Voter)
      continue;
    const bool Own = Each.Id == this->Options.Self;
    Contacts.push_back(Own ? Now : this->Peers.at(Each.Id).LastContact);
  }
  if (Contacts.empty())
    return {};
  std::sort(Contacts.begin(), Contacts.end(), std::greater<>());
  return Contacts[this->membership().quorum() - 1];
}

bool Replica::leaseHolds(Common::TimePoint Now) const {
  return !this->HandingOver &&
         Now - this->quorumContact(Now) < this->Options.Timing.Lease;
}

bool Replica::canServe(Common::TimePoint Now) const {
  return this->Current == State::Leader && this->leaseHolds(Now) &&
         this->Applied >= this->TermStartIndex;
}

} // namespace Consensus
