#ifndef SYCAMOREREACH_TELEMETRY_LOG_H
#define SYCAMOREREACH_TELEMETRY_LOG_H

#include "Common/Ids.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>

namespace Telemetry {

enum class LogLevel { Debug, Info, Warning, Error };

/// Parses "debug", "info", "warning" or "error"; InvalidArgument for any other
/// name.
absl::StatusOr<LogLevel> parseLogLevel(const std::string &Name);

/// The process that writes the log; part of every line.
struct LogIdentity {
  std::string Program;
  Common::DataCentreId DataCentre;
  Common::DaemonId Daemon;
};

/// Sets up Boost.Log to write one line per event to standard output. Writing
/// never blocks: when the reader is too slow, lines are dropped and counted.
/// Events below MinLevel are not written.
void initializeLog(const LogIdentity &Identity, LogLevel MinLevel);

/// Returns " key=value". An empty value, or one with spaces, line breaks,
/// quotes or equals signs, is quoted.
std::string formatLogField(const std::string &Key, const std::string &Value);

namespace detail {

/// Counts a line against the rate limit of its event. Returns false when the
/// limit is exceeded and the line must be suppressed. Otherwise
/// SuppressedLines receives the number of lines of this event that were
/// suppressed since the last one written.
bool tryConsumeLine(LogLevel Level, const char *Event,
                    std::uint64_t &SuppressedLines);
void writeLine(LogLevel Level, const std::string &Line);

} // namespace detail

} // namespace Telemetry

#endif
