#ifndef SYCAMOREREACH_STATE_CONTROLSTATE_H
#define SYCAMOREREACH_STATE_CONTROLSTATE_H

#include "Common/Ids.h"
#include "Configuration/ServiceMap.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

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

using ControlCommand =
    std::variant<DeclareCommand, RecordUsageCommand, MarkUsageReportedCommand>;

/// The replicated state of `sycamore-state control`: the current declaration, a
/// text document, and the usage windows that are being reported. Deterministic:
/// equal logs produce equal states.
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

  std::string snapshot() const;
  static absl::StatusOr<ControlState> restore(const std::string &Bytes);

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Document, this->Usage);
  }

private:
  void applyCommand(const DeclareCommand &Command);
  void applyCommand(const RecordUsageCommand &Command);
  void applyCommand(const MarkUsageReportedCommand &Command);

  Common::ConfigurationVersion Version;
  std::string Document;
  std::map<UsageWindow, WindowUsage> Usage;
};

} // namespace State

#endif
