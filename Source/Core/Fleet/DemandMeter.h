#ifndef SYCAMOREREACH_FLEET_DEMANDMETER_H
#define SYCAMOREREACH_FLEET_DEMANDMETER_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cmath>
#include <map>

namespace Fleet {

/// Engine time that callers ask for, by service, as a moving average in
/// engines: 1 keeps one engine busy.
class DemandMeter {
public:
  void record(const Common::ServiceName &Service, double EngineMilliseconds,
              Common::TimePoint Now) {
    Meter &Of = this->Services[Service];
    decay(Of, Now);
    Of.Milliseconds += EngineMilliseconds;
  }

  std::map<Common::ServiceName, double> busyEngines(Common::TimePoint Now) {
    std::map<Common::ServiceName, double> Result;
    for (auto &[Service, Of] : this->Services) {
      decay(Of, Now);
      Result[Service] = Of.Milliseconds / 1000 / Memory;
    }
    return Result;
  }

private:
  /// Time constant of the average, in seconds: a few requests of one daemon.
  static constexpr double Memory = 2;
  struct Meter {
    double Milliseconds = 0;
    Common::TimePoint At;
  };
  static void decay(Meter &Of, Common::TimePoint Now) {
    Of.Milliseconds *= std::exp(-Common::toSeconds(Now - Of.At) / Memory);
    Of.At = Now;
  }

  std::map<Common::ServiceName, Meter> Services;
};

} // namespace Fleet

#endif
