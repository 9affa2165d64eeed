#ifndef SYCAMOREREACH_ROUTING_RETURNSCHEDULE_H
#define SYCAMOREREACH_ROUTING_RETURNSCHEDULE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>

namespace Routing {

/// A caller that is refused because no server of its service takes requests.
struct RefusedCaller {
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// The time that the caller has left, as a fraction of what it had at first.
  double TimeLeftShare = 1;
};

/// Decides when callers that are refused while all servers of a service rest
/// should return: after the end of the first rest, spread over a time that
/// grows with their number, the most urgent and longest waiting first on
/// average.
class ReturnSchedule {
public:
  /// The Retry-After for a caller. RestEnd is when the first server of the
  /// service takes requests again.
  Common::Duration add(const Common::ServiceName &Service,
                       const RefusedCaller &Caller, Common::TimePoint RestEnd,
                       Common::TimePoint Now);

private:
  struct Returns {
    Common::TimePoint RestEnd;
    std::uint64_t Callers = 0;
  };
  std::map<Common::ServiceName, Returns> Services;
};

} // namespace Routing

#endif
