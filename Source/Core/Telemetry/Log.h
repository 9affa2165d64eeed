#ifndef SYCAMOREREACH_TELEMETRY_LOG_H
#define SYCAMOREREACH_TELEMETRY_LOG_H

#include "Common/Ids.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>

namespace Telemetry {

enum class LogLevel { Debug, Info, Warning, Error };

/// Reads "debug", "info", "warning" or "error".
absl::StatusOr<LogLevel> parseLogLevel(const std::string &Name);

/// Who writes the log.
struct LogIdentity {
  std::string Program;
  Common::DataCentreId DataCentre;
  Common::DaemonId Daemon;
};

/// Sets up Boost.Log: one line an event on standard output. A reader that is
/// too slow costs lines, which are counted, and never holds the process up.
void startLog(const LogIdentity &Identity, LogLevel Least);

/// Appends " key=value" with the value quoted where it needs to be.
std::string logField(const std::string &Key, const std::string &Value);

namespace detail {

/// Whether a line of the event is within its budget. LeftOut receives how many
/// were left out before this one.
bool wantsLine(LogLevel Level, const char *Event, std::uint64_t &LeftOut);
void writeLine(LogLevel Level, const std::string &Line);

} // namespace detail

} // namespace Telemetry

#endif
