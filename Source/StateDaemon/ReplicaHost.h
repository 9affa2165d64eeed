#ifndef SYCAMOREREACH_STATEDAEMON_REPLICAHOST_H
#define SYCAMOREREACH_STATEDAEMON_REPLICAHOST_H

#include "Consensus/Replica.h"
#include "Network/EventLoop.h"
#include "Storage/DataFolder.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace StateDaemon {

/// Binds one replica of a replicated log to the disk and the loop. What the
/// log means, and how messages travel, is its owner's.
class ReplicaHost {
public:
  enum class ProposalEnd {
    /// Committed and applied.
    Applied,
    /// Another leader decided about its place; it may be in force or not.
    Unknown,
  };
  struct Options {
    std::string DataPath;
    /// Used for a folder that is not formatted yet: a founder's identity, or
    /// empty for a new one under Name.
    std::string Name;
    Consensus::ReplicaId FounderIdentity;
    /// The founding voters, for a founder's first start.
    std::vector<Consensus::Member> Founders;
    Consensus::ReplicaTiming Timing;
    /// A log of more bytes is replaced by a snapshot.
    std::size_t CompactAtBytes = 4u << 20;
  };
  struct Handlers {
    /// Replaces the state by a snapshot's; empty for the first state.
    std::function<absl::Status(const std::string &Data)> Restore;
    std::function<absl::Status(const Consensus::LogEntry &Entry)> Apply;
    std::function<std::string()> TakeSnapshot;
    std::function<void(const Consensus::Message &)> Send;
    /// Leadership was gained or lost, or the members changed.
    std::function<void()> OnChange;
  };

  ReplicaHost(Network::EventLoop &Loop, Options Wanted, Handlers Handle,
              Telemetry::Metrics &Metrics);

  /// Reads the folder, or formats and founds it. While the disk fails this
  /// is tried again from time to time; until then there is no replica.
  void open();
  bool isOpen() const { return this->Replica.has_value(); }

  void step(const Consensus::Message &Received);
  using ProposalDone = std::function<void(ProposalEnd)>;
  /// False when nothing was appended.
  bool propose(std::string Payload, ProposalDone Done);
  /// Runs Change on the replica, then carries out what follows from it.
  absl::Status change(const std::function<absl::StatusOr<Consensus::LogIndex>(
                          Consensus::Replica &, Common::TimePoint)> &Change);
  void transferLeadership();

  /// Leads with a lease that holds at this moment.
  bool leads() const;
  /// Null while the disk fails.
  const Consensus::Replica *replica() const {
    return this->Replica ? &*this->Replica : nullptr;
  }

private:
  struct Proposal {
    Consensus::Term Term;
    ProposalDone Done;
  };

  absl::Status tryOpen();
  absl::Status foundIfBlank(Storage::RecoveredState &Found);
  void fail(const absl::Status &Failure);
  void scheduleFlush();
  void flush();
  bool carryOut(Consensus::Actions &Work);
  bool apply(const Consensus::LogEntry &Entry);
  void noticeLeadership();
  void dropProposals();
  void compactIfLarge();
  void armTimer();

  Network::EventLoop &Loop;
  Options Wanted;
  Handlers Handle;
  Telemetry::Metrics &Metrics;
  std::optional<Storage::DataFolder> Folder;
  std::optional<Consensus::Replica> Replica;
  std::map<Consensus::LogIndex, Proposal> Proposals;
  bool Leading = false;
  Consensus::Term LedTerm;
  bool FlushScheduled = false;
  bool Flushing = false;
  Network::EventHandle Timer;
  Network::EventHandle Reopen;
};

} // namespace StateDaemon

#endif
