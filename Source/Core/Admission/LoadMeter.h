#ifndef SYCAMOREREACH_ADMISSION_LOADMETER_H
#define SYCAMOREREACH_ADMISSION_LOADMETER_H

#include "Admission/AdmissionLevel.h"
#include "Common/Time.h"

#include <map>
#include <vector>

namespace Admission {

/// Counts what callers request of each service, by scheduling rank, between two
/// reports.
class LoadMeter {
public:
  explicit LoadMeter(Common::TimePoint Now) : Since(Now) {}

  /// Records a request that needs Work milliseconds of engine time.
  void recordOffered(const Common::ServiceName &Service, std::uint32_t Rank,
                     double Work);
  /// Records that a server has begun the output of a request.
  void recordServed(const Common::ServiceName &Service, std::uint32_t Rank,
                    double Work);
  void recordRefused(const Common::ServiceName &Service, std::uint32_t Rank);
  /// Records an admitted request for which no server had room in time.
  void recordWithoutRoom(const Common::ServiceName &Service,
                         std::uint32_t Rank);

  /// Returns the counts since the last call.
  std::vector<ServiceLoad> take(Common::TimePoint Now);

private:
  RankLoad &at(const Common::ServiceName &Service, std::uint32_t Rank);

  Common::TimePoint Since;
  std::map<Common::ServiceName, std::map<std::uint32_t, RankLoad>> Services;
};

} // namespace Admission

#endif
