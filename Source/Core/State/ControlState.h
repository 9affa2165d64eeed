#ifndef SYCAMOREREACH_STATE_CONTROLSTATE_H
#define SYCAMOREREACH_STATE_CONTROLSTATE_H

#include "Common/CauseSet.h"
#include "Common/Ids.h"
#include "Configuration/ServiceMap.h"
#include "Membership/ServerEnd.h"
#include "Rollout/RolloutBook.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace State {

/// Index of a usage window, counted from 1970.
using UsageWindow = Common::StrongNumber<struct UsageWindowTag>;
using UsageCounts = std::map<Configuration::TeamName, std::uint64_t>;

/// What the members of a group may write into the log and send to each other;
/// raised once all of them support it, so that daemons can be updated one at a
/// time.
using ProtocolLevel = Common::StrongNumber<struct ProtocolLevelTag>;
/// RecordServerEndsCommand, ServerEndRequest and ServerEndConfirmation.
inline constexpr ProtocolLevel ServerEndsLevel{1};
/// The commands of Rollout::RolloutBook.
inline constexpr ProtocolLevel RolloutsLevel{2};
/// CorrectVersionCommand, and declarations of the version 0.
inline constexpr ProtocolLevel CorrectedVersionsLevel{3};
inline constexpr ProtocolLevel SupportedProtocolLevel = CorrectedVersionsLevel;

/// Replaces the declaration by Document, the complete text sent by the
/// operator. Ignored unless it is the first one or Version is higher than the
/// current one. The version 0 requires CorrectedVersionsLevel.
struct DeclareCommand {
  Common::ConfigurationVersion Version;
  std::string Document;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Document);
  }
};

/// Records the final counts of a window before they are first reported.
struct RecordUsageCommand {
  UsageWindow Window;
  UsageCounts Counts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Window, this->Counts);
  }
};

/// Records that the report of a window was accepted.
struct MarkUsageReportedCommand {
  UsageWindow Window;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Window); }
};

/// Refuses the requests that have all of Causes, because they crash servers.
/// Replaces the refusals of larger sets that contain Causes.
struct RefuseCommand {
  Common::CauseSet Causes;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Causes); }
};

/// Ends the refusal of exactly these causes.
struct EndRefusalCommand {
  Common::CauseSet Causes;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Causes); }
};

/// Lets one refused request through, to see whether it still crashes a server.
/// Ignored unless Number requests were let through before it.
struct ProbeRefusalCommand {
  Common::CauseSet Causes;
  std::uint32_t Number = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Causes, this->Number);
  }
};

/// Allows the commands, messages and snapshots that were added up to Level.
/// Proposed once all members of the group support it.
struct RaiseProtocolLevelCommand {
  ProtocolLevel Level;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Level); }
};

/// Records servers that accept no new requests, before that is acknowledged.
/// Requires ServerEndsLevel.
struct RecordServerEndsCommand {
  std::vector<Membership::ServerEnd> Ends;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Ends); }
};

/// Lowers the version of the current declaration, if it is Stored. Earlier
/// releases stored a declaration whose version is no whole number under a much
/// higher one, so that no later declaration could replace it. Requires
/// CorrectedVersionsLevel.
struct CorrectVersionCommand {
  Common::ConfigurationVersion Stored;
  Common::ConfigurationVersion Corrected;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Stored, this->Corrected);
  }
};

/// Commands are stored under their position in this list, so new ones are added
/// at its end. A daemon that does not know a command cannot follow the log any
/// further, so a new one also requires a new protocol level.
using ControlCommand =
    std::variant<DeclareCommand, RecordUsageCommand, MarkUsageReportedCommand,
                 RefuseCommand, EndRefusalCommand, ProbeRefusalCommand,
                 RaiseProtocolLevelCommand, RecordServerEndsCommand,
                 Rollout::BeginRolloutCommand, Rollout::AdvanceRolloutCommand,
                 Rollout::EndRolloutCommand, CorrectVersionCommand>;

/// What became of a command in the log. All replicas that apply it find the
/// same.
enum class CommandEffect {
  Applied,
  /// It changed nothing: the state includes it already, or the command no
  /// longer fits the state, as another one was recorded before it.
  Ignored,
};

/// Requests with all of these causes are refused.
struct Refusal {
  Common::CauseSet Causes;
  /// Number of requests that were let through as probes.
  std::uint32_t Probes = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Causes, this->Probes);
  }
};

/// The replicated state of `sycamore-state control`: the current declaration, a
/// text document, the usage windows that are being reported, what is refused
/// because it crashes servers, the servers that accept no new requests, and the
/// rollouts.
/// Deterministic: equal logs produce equal states.
class ControlState {
public:
  /// Age, in windows, up to which a window is retained. Older windows are
  /// dropped, as reports that late are not accepted any more.
  static constexpr std::uint64_t RetainedWindows = 24;

  CommandEffect apply(const ControlCommand &Command);

  Common::ConfigurationVersion declarationVersion() const {
    return this->Version;
  }
  bool hasDeclaration() const { return !this->Document.empty(); }
  /// Empty before the first declaration.
  const std::string &document() const { return this->Document; }

  struct WindowUsage {
    UsageCounts Counts;
    bool Reported = false;
    template <class Archive> void serialize(Archive &Ar) {
      Ar(this->Counts, this->Reported);
    }
  };
  const std::map<UsageWindow, WindowUsage> &usage() const {
    return this->Usage;
  }

  /// Oldest first. The oldest ones are dropped beyond MaxRefusals.
  const std::vector<Refusal> &refusals() const { return this->Refusals; }
  static constexpr std::size_t MaxRefusals = 256;

  ProtocolLevel protocolLevel() const { return this->Level; }

  /// Whether End is recorded, or implied by what is recorded.
  bool hasServerEnd(const Membership::ServerEnd &End) const;
  /// The recorded ends, ordered by server: for each server that of its latest
  /// incarnation. Beyond MaxServerEnds the oldest ones are dropped.
  std::vector<Membership::ServerEnd> serverEnds() const;
  /// Several times the number of servers that leave within the longest delay of
  /// a heartbeat.
  static constexpr std::size_t MaxServerEnds = 2048;

  const Rollout::RolloutBook &rollouts() const { return this->Rollouts; }

  /// Below the supported level in the encoding of the release of that level.
  std::string snapshot() const;
  static absl::StatusOr<ControlState> restore(const std::string &Bytes);

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Document, this->Usage, this->Refusals, this->Level,
       this->Ends, this->LastEndNumber, this->Rollouts);
  }

private:
  /// An end and its position in the order in which ends were recorded.
  struct RecordedEnd {
    Membership::ServerEnd End;
    std::uint64_t Number = 0;
    template <class Archive> void serialize(Archive &Ar) {
      Ar(this->End, this->Number);
    }
  };

  // Each returns whether the command took effect.
  bool applyCommand(const DeclareCommand &Command);
  bool applyCommand(const CorrectVersionCommand &Command);
  bool applyCommand(const RecordUsageCommand &Command);
  bool applyCommand(const MarkUsageReportedCommand &Command);
  bool applyCommand(const RefuseCommand &Command);
  bool applyCommand(const EndRefusalCommand &Command);
  bool applyCommand(const ProbeRefusalCommand &Command);
  bool applyCommand(const RaiseProtocolLevelCommand &Command);
  bool applyCommand(const RecordServerEndsCommand &Command);
  bool applyCommand(const Rollout::BeginRolloutCommand &Command) {
    return this->Rollouts.apply(Command);
  }
  bool applyCommand(const Rollout::AdvanceRolloutCommand &Command) {
    return this->Rollouts.apply(Command);
  }
  bool applyCommand(const Rollout::EndRolloutCommand &Command) {
    return this->Rollouts.apply(Command);
  }
  bool recordServerEnd(const Membership::ServerEnd &End);
  /// The bytes by which the encoding of a state at Level is longer than that of
  /// the release of that level.
  static std::string snapshotEndUnknownAt(ProtocolLevel Level);

  Common::ConfigurationVersion Version;
  std::string Document;
  std::map<UsageWindow, WindowUsage> Usage;
  std::vector<Refusal> Refusals;
  ProtocolLevel Level;
  std::map<Common::BackendServerId, RecordedEnd> Ends;
  std::uint64_t LastEndNumber = 0;
  Rollout::RolloutBook Rollouts;
};

} // namespace State

#endif
