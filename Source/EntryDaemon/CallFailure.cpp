#include "EntryDaemon/CallFailure.h"

#include <array>
#include <cstddef>

namespace EntryDaemon {

const char *nameOf(CallFailure Failure) {
  // In the order of the enum.
  static constexpr std::array FailureNames = {
      "no_declaration",    "stale_declaration", "bad_headers",
      "unknown_route",     "unknown_key",       "over_allowance",
      "admission_limited", "content_refused",   "no_server",
      "overloaded",        "servers_resting",   "server_rejected",
      "server_lost",       "server_silent",     "bad_answer",
      "deadline_passed",   "shutting_down"};
  return FailureNames[static_cast<std::size_t>(Failure)];
}

} // namespace EntryDaemon
