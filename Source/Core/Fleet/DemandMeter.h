#ifndef SYCAMOREREACH_FLEET_DEMANDMETER_H
#define SYCAMOREREACH_FLEET_DEMANDMETER_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cmath>
#include <map>

namespace Fleet {

/// Exponential moving average of the engine time that callers request, by
/// service.
class DemandMeter {
public:
  void record(const Common::ServiceName &Service, double EngineMilliseconds,
              Common::TimePoint Now) {
    DecayedSum &Sum = this->Services[Service];
    decay(Sum, Now);
    Sum.EngineMilliseconds += EngineMilliseconds;
  }

  /// Average number of engines that the requested work keeps busy.
  std::map<Common::ServiceName, double> busyEngines(Common::TimePoint Now) {
    std::map<Common::ServiceName, double> Result;
    for (auto &[Service, Sum] : this->Services) {
      decay(Sum, Now);
      Result[Service] = Sum.EngineMilliseconds / 1000 / TimeConstantSeconds;
    }
    return Result;
  }

private:
  /// Long enough to cover a few requests of one daemon.
  static constexpr double TimeConstantSeconds = 2;
  struct DecayedSum {
    double EngineMilliseconds = 0;
    Common::TimePoint UpdatedAt;
  };
  static void decay(DecayedSum &Sum, Common::TimePoint Now) {
    Sum.EngineMilliseconds *=
        std::exp(-Common::toSeconds(Now - Sum.UpdatedAt) / TimeConstantSeconds);
    Sum.UpdatedAt = Now;
  }

  std::map<Common::ServiceName, DecayedSum> Services;
};

} // namespace Fleet

#endif
