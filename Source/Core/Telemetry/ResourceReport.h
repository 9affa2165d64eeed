#ifndef SYCAMOREREACH_TELEMETRY_RESOURCEREPORT_H
#define SYCAMOREREACH_TELEMETRY_RESOURCEREPORT_H

#include "Network/ResourceGuard.h"
#include "Telemetry/Metrics.h"

namespace Telemetry {

/// Reports what a process holds for its peers, and what it ended to keep its
/// limits: one log line for all that ended since the last update.
class ResourceReport {
public:
  ResourceReport(const Network::ResourceGuard &Guard, Metrics &To)
      : Guard(Guard), To(To) {}

  void update();

private:
  const Network::ResourceGuard &Guard;
  Metrics &To;
  Network::ResourceGuard::Counts Reported;
};

} // namespace Telemetry

#endif
