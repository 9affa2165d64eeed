#ifndef SYCAMOREREACH_CONFIGURATION_FIELDVALUE_H
#define SYCAMOREREACH_CONFIGURATION_FIELDVALUE_H

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>

/// \file
/// Values as operators write them. Every error names the accepted form.

namespace Configuration {

/// "800 ms", "2 s", "5 min", "24 h"; a unit is needed.
absl::StatusOr<std::chrono::milliseconds>
parseDuration(const std::string &Text);

/// "20 %" or "0.2"; between 0 and 1.
absl::StatusOr<double> parseShare(const std::string &Text);

/// A number of at least 0.
absl::StatusOr<double> parseAmount(const std::string &Text);

/// A whole number in [Min, Max].
absl::StatusOr<std::uint64_t>
parseInteger(const std::string &Text, std::uint64_t Min, std::uint64_t Max);

/// "yes" or "no".
absl::StatusOr<bool> parseYesNo(const std::string &Text);

/// The shortest of the accepted forms.
std::string formatDuration(std::chrono::milliseconds Duration);

} // namespace Configuration

#endif
