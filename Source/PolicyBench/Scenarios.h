#ifndef SYCAMOREREACH_POLICYBENCH_SCENARIOS_H
#define SYCAMOREREACH_POLICYBENCH_SCENARIOS_H

#include "PolicyBench/Scenario.h"

namespace PolicyBench {

extern const Common::PriorityName Urgent;
extern const Common::PriorityName Normal;
extern const Common::PriorityName Later;

/// Three priorities whose total load is half of the fleet's capacity.
Scenario steadyLoad(std::size_t Engines, std::size_t Daemons,
                    Common::Duration NetworkDelay);
/// Adds a flood of five times the fleet's capacity in Priority for thirty
/// seconds.
Scenario floodOf(const Common::PriorityName &Priority, Scenario Base);
/// One of five callers sends fifty times as many requests as each of the
/// others.
Scenario greedyCaller(Scenario Base);
/// Conversations with shared prefixes. The caches together hold CacheFactor
/// times the working set.
Scenario conversations(double CacheFactor, Scenario Base);

} // namespace PolicyBench

#endif
