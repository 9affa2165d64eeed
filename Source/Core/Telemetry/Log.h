#ifndef SYCAMOREREACH_TELEMETRY_LOG_H
#define SYCAMOREREACH_TELEMETRY_LOG_H

#include "Common/Ids.h"

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
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

/// Writes one event. Fields come from logField.
void log(LogLevel Level, const std::string &Event,
         const std::string &Fields = "");

} // namespace Telemetry

#endif
