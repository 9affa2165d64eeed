#ifndef SYCAMOREREACH_POLICYBENCH_SCENARIOS_H
#define SYCAMOREREACH_POLICYBENCH_SCENARIOS_H

#include "PolicyBench/Scenario.h"

namespace PolicyBench {

extern const Common::PriorityName Urgent;
extern const Common::PriorityName Normal;
extern const Common::PriorityName Later;

/// Three priorities at half of the fleet's capacity together.
Scenario steadyLoad(std::size_t Engines, std::size_t Daemons,
                    Common::Duration OneWay);
/// Priority asks for five times the capacity for thirty seconds.
Scenario floodOf(const Common::PriorityName &Priority, Scenario Base);
/// One caller of five asks for fifty times the rest.
Scenario greedyCaller(Scenario Base);
/// Conversations with shared prefixes; the caches together hold CacheTimes
/// the working set.
Scenario conversations(double CacheTimes, Scenario Base);

} // namespace PolicyBench

#endif
