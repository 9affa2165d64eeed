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

/// Number of a usage window since 1970.
using UsageWindow = Common::StrongNumber<struct UsageWindowTag>;
using UsageCounts = std::map<Configuration::TeamName, std::uint64_t>;

/// A whole declaration, as its operator sent it.
struct DeclareCommand {
  Common::ConfigurationVersion Version;
  std::string Document;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Document);
  }
};

/// Fixes what is reported for a window, before the first report of it.
struct FixUsageCommand {
  UsageWindow Window;
  UsageCounts Counts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Window, this->Counts);
  }
};

/// The report of a window was taken.
struct UsageReportedCommand {
  UsageWindow Window;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Window); }
};

using ControlCommand =
    std::variant<DeclareCommand, FixUsageCommand, UsageReportedCommand>;

/// The replicated state of routed serving: the declaration in force and the
/// usage windows that are being reported. Equal logs give equal states.
class ControlState {
public:
  /// Windows that are kept; a report later than this is not wanted any more.
  static constexpr std::uint64_t KeptWindows = 24;

  void apply(const ControlCommand &Applied);

  Common::ConfigurationVersion version() const { return this->Version; }
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
  void applyOne(const DeclareCommand &Applied);
  void applyOne(const FixUsageCommand &Applied);
  void applyOne(const UsageReportedCommand &Applied);

  Common::ConfigurationVersion Version;
  std::string Document;
  std::map<UsageWindow, WindowUsage> Usage;
};

} // namespace State

#endif
