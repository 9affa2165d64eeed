#include "Admission/RankShares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Admission {

namespace {

/// An entry daemon receives only a few requests a second, so that its view of
/// what is requested needs some seconds.
constexpr double WindowSeconds = 5;
/// Less recorded work, in milliseconds, is forgotten.
constexpr double MinWork = 0.01;
/// Requests differ in size if one needs this many times the work.
constexpr double SizeFactor = 2;

/// The largest allocation of one team, so that the teams together get Budget.
double fairAllocation(std::vector<double> Offered, double Budget) {
  std::sort(Offered.begin(), Offered.end());
  for (std::size_t I = 0; I < Offered.size(); ++I) {
    const double Equal = Budget / static_cast<double>(Offered.size() - I);
    if (Offered[I] >= Equal)
      return Equal;
    Budget -= Offered[I];
  }
  return Offered.empty() ? 0 : Offered.back();
}

} // namespace

int RankShares::sizeClass(double Work) {
  return static_cast<int>(
      std::floor(std::log2(std::max(Work, 1.0)) / std::log2(SizeFactor)));
}

void RankShares::decay(Common::TimePoint Now) {
  if (Now <= this->DecayedAt)
    return;
  const double Factor =
      std::exp(-Common::toSeconds(Now - this->DecayedAt) / WindowSeconds);
  this->DecayedAt = Now;
  for (auto &Team : this->Teams) {
    for (auto &Each : Team.second)
      Each.second *= Factor;
    std::erase_if(Team.second,
                  [](const auto &Each) { return Each.second < MinWork; });
  }
  std::erase_if(this->Teams,
                [](const auto &Each) { return Each.second.empty(); });
}

void RankShares::record(const std::string &Team, double Work,
                        Common::TimePoint Now) {
  this->decay(Now);
  this->Teams[Team][sizeClass(Work)] += std::max(Work, 1.0);
}

double RankShares::fraction(const std::string &Team, double Work, double Share,
                            Common::TimePoint Now) {
  if (Share >= 1)
    return 1;
  this->decay(Now);
  const auto Own = this->Teams.find(Team);
  if (Own == this->Teams.end())
    return Share;
  double Total = 0;
  double OwnTotal = 0;
  std::vector<double> Offered;
  for (const auto &[Name, Kinds] : this->Teams) {
    double Sum = 0;
    for (const auto &Each : Kinds)
      Sum += Each.second;
    Offered.push_back(Sum);
    Total += Sum;
    if (Name == Team)
      OwnTotal = Sum;
  }
  const double TeamShare = std::min(
      1.0, fairAllocation(std::move(Offered), Share * Total) / OwnTotal);
  const double Minimum = MinimumFraction * TeamShare;
  double Remaining = OwnTotal * (TeamShare - Minimum);
  // In the order of their sizes.
  const int OwnClass = sizeClass(Work);
  double SameSize = 0;
  for (const auto &[Each, Sum] : Own->second) {
    if (Each < OwnClass)
      Remaining -= Sum * (1 - Minimum);
    else if (Each == OwnClass)
      SameSize = Sum;
  }
  if (SameSize <= 0)
    return TeamShare;
  return std::clamp(Minimum + Remaining / SameSize, Minimum, 1.0);
}

} // namespace Admission
