#ifndef SYCAMOREREACH_TELEMETRY_REQUESTHISTORY_H
#define SYCAMOREREACH_TELEMETRY_REQUESTHISTORY_H

#include "Telemetry/LogLine.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Telemetry {

/// Reconstructs the history of one request from the logs of several daemons:
/// the lines of the request itself, and the lines around that time that show
/// how its entry daemon's knowledge of its servers, of the declaration and of
/// the state daemons changed.
class RequestHistory {
public:
  explicit RequestHistory(std::string Request) : Request(std::move(Request)) {}

  /// Adds a line of any daemon's log. Lines of other programs are only counted.
  void add(std::string_view Text);
  /// Returns the history as text, ordered by time. NotFound when no line names
  /// the request.
  absl::StatusOr<std::string> report() const;

private:
  /// Lines up to this long before and after the request are included.
  static constexpr std::chrono::seconds ContextTime{10};
  /// The minimum number of events that two daemons must both have logged for an
  /// estimate of their clock offset.
  static constexpr std::size_t MinCommonEvents = 3;

  bool isRelevant(const LogLine &Line, const std::set<std::string> &Servers,
                  const Common::DaemonId &Daemon, LogTime From,
                  LogTime Until) const;
  std::string
  reportClockOffsets(const Common::DaemonId &Daemon,
                     const std::set<Common::DaemonId> &Others) const;

  std::string Request;
  std::vector<LogLine> Lines;
  std::uint64_t UnparsedLines = 0;
};

} // namespace Telemetry

#endif
