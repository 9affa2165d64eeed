#ifndef SYCAMOREREACH_ADMISSION_RANKSHARES_H
#define SYCAMOREREACH_ADMISSION_RANKSHARES_H

#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Admission {

/// Distributes an admitted share of one rank's work. Teams share it by max-min
/// fairness: a team that requests little is admitted whole, and what remains is
/// divided equally among the others. Within a team, requests that need less
/// work go first, but every size class, and so every route, keeps
/// MinimumFraction of its team's share.
class RankShares {
public:
  static constexpr double MinimumFraction = 0.25;

  /// Records a request that needs Work milliseconds of engine time.
  void record(const std::string &Team, double Work, Common::TimePoint Now);
  /// The fraction of the team's requests of this size that is admitted, if
  /// Share of the rank's work is.
  double fraction(const std::string &Team, double Work, double Share,
                  Common::TimePoint Now);

private:
  /// The logarithm of the work.
  static int sizeClass(double Work);
  void decay(Common::TimePoint Now);

  /// Decayed work by team and size class.
  std::map<std::string, std::map<int, double>> Teams;
  Common::TimePoint DecayedAt;
};

} // namespace Admission

#endif
