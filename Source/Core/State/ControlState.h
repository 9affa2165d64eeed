#ifndef SYCAMOREREACH_STATE_CONTROLSTATE_H
#define SYCAMOREREACH_STATE_CONTROLSTATE_H

#include "Common/CauseSet.h"
#include "Common/Ids.h"
#include "Configuration/ServiceMap.h"

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

/// Replaces the declaration by Document, the complete text sent by the
/// operator. Ignored unless Version is higher than the current one.
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

/// Commands are stored under their position in this list, so new ones are added
/// at its end.
using ControlCommand =
    std::variant<DeclareCommand, RecordUsageCommand, MarkUsageReportedCommand,
                 RefuseCommand, EndRefusalCommand, ProbeRefusalCommand>;

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
/// text document, the usage windows that are being reported, and what is
/// refused because it crashes servers. Deterministic: equal logs produce equal
/// states.
class ControlState {
public:
  /// Age, in windows, up to which a window is retained. Older windows are
  /// dropped, as reports that late are not accepted any more.
  static constexpr std::uint64_t RetainedWindows = 24;

  void apply(const ControlCommand &Command);

  Common::ConfigurationVersion declarationVersion() const {
    return this->Version;
  }
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

  std::string snapshot() const;
  static absl::StatusOr<ControlState> restore(const std::string &Bytes);

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Document, this->Usage, this->Refusals);
  }

private:
  void applyCommand(const DeclareCommand &Command);
  void applyCommand(const RecordUsageCommand &Command);
  void applyCommand(const MarkUsageReportedCommand &Command);
  void applyCommand(const RefuseCommand &Command);
  void applyCommand(const EndRefusalCommand &Command);
  void applyCommand(const ProbeRefusalCommand &Command);

  Common::ConfigurationVersion Version;
  std::string Document;
  std::map<UsageWindow, WindowUsage> Usage;
  std::vector<Refusal> Refusals;
};

} // namespace State

#endif
