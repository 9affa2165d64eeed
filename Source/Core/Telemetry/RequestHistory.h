#ifndef SYCAMOREREACH_TELEMETRY_REQUESTHISTORY_H
#define SYCAMOREREACH_TELEMETRY_REQUESTHISTORY_H

#include "Telemetry/LogLine.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Telemetry {

/// Collects the lines of several daemons' logs and tells what became of one
/// request: its own lines, and those that changed what its daemon believed of
/// its servers, of the declaration and of the state daemons around that time.
class RequestHistory {
public:
  explicit RequestHistory(std::string Request) : Request(std::move(Request)) {}

  /// A line of any daemon; what is no line of a daemon is counted.
  void add(std::string_view Text);
  /// NotFound when no line names the request.
  absl::StatusOr<std::string> tell() const;

private:
  /// Lines around the request within this time are shown.
  static constexpr std::chrono::seconds Around{10};
  /// Fewer common events tell nothing of two clocks.
  static constexpr std::size_t LeastCommonEvents = 3;

  bool concerns(const LogLine &Line, const std::set<std::string> &Servers,
                const Common::DaemonId &Daemon, LogTime From,
                LogTime Until) const;
  std::string tellClocks(const Common::DaemonId &Daemon,
                         const std::set<Common::DaemonId> &Others) const;

  std::string Request;
  std::vector<LogLine> Lines;
  std::uint64_t Unreadable = 0;
};

} // namespace Telemetry

#endif
