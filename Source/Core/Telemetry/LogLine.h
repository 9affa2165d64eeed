#ifndef SYCAMOREREACH_TELEMETRY_LOGLINE_H
#define SYCAMOREREACH_TELEMETRY_LOGLINE_H

#include "Common/Ids.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Telemetry {

/// Wall-clock time of the host that wrote the line.
using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

/// A parsed line of a daemon's log.
struct LogLine {
  LogTime Time;
  std::string Level;
  Common::DaemonId Daemon;
  std::string Event;
  /// All other fields, in the order of the line.
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Returns an empty string when the line has no such field.
  std::string field(std::string_view Name) const;

  /// Parses one line. Text before the timestamp, such as the prefix of a log
  /// collector, is skipped. InvalidArgument when the line has no timestamp or
  /// no event, as lines of other programs.
  static absl::StatusOr<LogLine> create(std::string_view Text);
};

} // namespace Telemetry

#endif
