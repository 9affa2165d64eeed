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

/// By the clock of the host that wrote the line.
using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

/// A line of a daemon's log, read back.
struct LogLine {
  LogTime At;
  std::string Level;
  Common::DaemonId Daemon;
  std::string Event;
  /// All other fields, in the order of the line.
  std::vector<std::pair<std::string, std::string>> Fields;

  /// Empty when the line has no such field.
  std::string field(std::string_view Name) const;

  /// Reads one line. What stands before its time, such as the prefix of a log
  /// collector, is skipped. InvalidArgument for a line of another program.
  static absl::StatusOr<LogLine> create(std::string_view Text);
};

} // namespace Telemetry

#endif
