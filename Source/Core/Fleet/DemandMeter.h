#ifndef SYCAMOREREACH_FLEET_DEMANDMETER_H
#define SYCAMOREREACH_FLEET_DEMANDMETER_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cmath>
#include <map>

namespace Fleet {

/// Exponential moving average of the engine time that callers request, by
/// service. Its unit is busy engines: 1 keeps one engine busy.
class DemandMeter {
public:
  void record(const Common::ServiceName &Service, double EngineMilliseconds,
              Common::TimePoint Now) {
    MovingAverage &Average = this->Services[Service];
    decay(Average, Now);
    Average.Milliseconds += EngineMilliseconds;
  }

  std::map<Common::ServiceName, double> busyEngines(Common::TimePoint Now) {
    std::map<Common::ServiceName, double> Result;
    for (auto &[Service, Average] : this->Services) {
      decay(Average, Now);
      Result[Service] = Average.Milliseconds / 1000 / TimeConstantSeconds;
    }
    return Result;
  }

private:
  /// Long enough to cover a few requests of one daemon.
  static constexpr double TimeConstantSeconds = 2;
  struct MovingAverage {
    double Milliseconds = 0;
    Common::TimePoint UpdatedAt;
  };
  static void decay(MovingAverage &Average, Common::TimePoint Now) {
    Average.Milliseconds *= std::exp(
        -Common::toSeconds(Now - Average.UpdatedAt) / TimeConstantSeconds);
    Average.UpdatedAt = Now;
  }

  std::map<Common::ServiceName, MovingAverage> Services;
};

} // namespace Fleet

#endif
