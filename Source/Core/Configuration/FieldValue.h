#ifndef SYCAMOREREACH_CONFIGURATION_FIELDVALUE_H
#define SYCAMOREREACH_CONFIGURATION_FIELDVALUE_H

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>

/// \file
/// Parsers for field values written by operators. Errors are InvalidArgument
/// and name the accepted form.

namespace Configuration {

/// Parses "800 ms", "2 s", "5 min" or "24 h"; the unit is required.
absl::StatusOr<std::chrono::milliseconds>
parseDuration(const std::string &Text);

/// Parses "20 %" or "0.2" into a value between 0 and 1.
absl::StatusOr<double> parseShare(const std::string &Text);

/// Parses a number of at least 0.
absl::StatusOr<double> parseAmount(const std::string &Text);

/// Parses an integer in [Min, Max].
absl::StatusOr<std::uint64_t>
parseInteger(const std::string &Text, std::uint64_t Min, std::uint64_t Max);

/// Parses "yes" or "no", ignoring case.
absl::StatusOr<bool> parseYesNo(const std::string &Text);

/// Formats a duration in the largest unit that divides it.
std::string formatDuration(std::chrono::milliseconds Duration);

} // namespace Configuration

#endif
