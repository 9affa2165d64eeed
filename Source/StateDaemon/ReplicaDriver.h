#ifndef SYCAMOREREACH_STATEDAEMON_REPLICADRIVER_H
#define SYCAMOREREACH_STATEDAEMON_REPLICADRIVER_H

#include "Consensus/Replica.h"
#include "Network/EventLoop.h"
#include "State/ControlState.h"
#include "Storage/DataFolder.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace StateDaemon {

/// Connects one consensus replica to the disk and the event loop: persists its
/// log, runs its timers and applies committed entries. The owner supplies the
/// state machine and the transport.
class ReplicaDriver {
public:
  enum class ProposalOutcome {
    /// Committed, and it took effect.
    Applied,
    /// Committed, and it changed nothing; see State::CommandEffect.
    Ignored,
    /// Leadership was lost before the entry was confirmed; it may still be
    /// committed by another leader.
    Unknown,
  };
  struct Options {
    std::string DataPath;
    /// Name from which the identity of a folder that is not formatted yet is
    /// made, unless FounderIdentity is set.
    std::string Name;
    /// Identity of a founder for a folder that is not formatted yet; empty for
    /// other replicas.
    Consensus::ReplicaId FounderIdentity;
    /// Initial voters of the group, used at the first start of a founder.
    std::vector<Consensus::Member> Founders;
    Consensus::ReplicaTiming Timing;
    /// Log size in bytes above which the log is replaced by a snapshot.
    std::size_t CompactAtBytes = 4u << 20;
  };
  struct Handlers {
    /// Replaces the state by that of a snapshot; Data is empty for the initial
    /// state.
    std::function<absl::Status(const std::string &Data)> Restore;
    /// Applies a committed command. An error closes the replica, which is then
    /// opened again.
    std::function<absl::StatusOr<State::CommandEffect>(
        const Consensus::LogEntry &Entry)>
        Apply;
    std::function<std::string()> TakeSnapshot;
    std::function<void(const Consensus::Message &)> Send;
    /// Called when leadership was gained or lost, the members changed, or the
    /// replica was opened or closed.
    std::function<void()> OnChange;
  };

  ReplicaDriver(Network::EventLoop &Loop, Options DriverOptions,
                Handlers OwnerHandlers, Telemetry::Metrics &Metrics);

  /// Opens the data folder; formats and bootstraps it first if necessary. On an
  /// error this is retried periodically, and there is no replica until it
  /// succeeds.
  void open();
  bool isOpen() const { return this->Replica.has_value(); }

  void step(const Consensus::Message &Message);
  using ProposalCallback = std::function<void(ProposalOutcome)>;
  /// Proposes a command. Returns false, and never calls OnDone, if nothing was
  /// appended to the log, for example as this replica does not lead.
  bool propose(std::string Payload, ProposalCallback OnDone);
  /// Runs Change, a membership change, on the replica and schedules the actions
  /// that result from it. Unavailable while there is no replica.
  absl::Status
  changeMembership(const std::function<absl::StatusOr<Consensus::LogIndex>(
                       Consensus::Replica &, Common::TimePoint)> &Change);
  void transferLeadership();

  /// Whether this replica leads and its leader lease has not expired.
  bool holdsLeadership() const;
  /// Null while the data folder is not open.
  const Consensus::Replica *replica() const {
    return this->Replica ? &*this->Replica : nullptr;
  }

private:
  struct Proposal {
    Consensus::Term Term;
    ProposalCallback OnDone;
  };

  absl::Status tryOpen();
  absl::Status bootstrapIfBlank(Storage::RecoveredState &Contents);
  void closeOnFailure(const absl::Status &Failure);
  void scheduleFlush();
  void flush();
  bool executeActions(Consensus::Actions &Actions);
  bool apply(const Consensus::LogEntry &Entry);
  void updateLeadership();
  void failProposals();
  void compactIfLarge();
  void scheduleTick();

  Network::EventLoop &Loop;
  Options DriverOptions;
  Handlers OwnerHandlers;
  Telemetry::Metrics &Metrics;
  std::optional<Storage::DataFolder> Folder;
  std::optional<Consensus::Replica> Replica;
  std::map<Consensus::LogIndex, Proposal> Proposals;
  bool Leading = false;
  Consensus::Term LeaderTerm;
  bool FlushScheduled = false;
  bool Flushing = false;
  Network::EventHandle TickTimer;
  Network::EventHandle ReopenTimer;
};

} // namespace StateDaemon

#endif
