#ifndef SYCAMOREREACH_ADMISSION_GRANTHISTORY_H
#define SYCAMOREREACH_ADMISSION_GRANTHISTORY_H

#include "Common/Time.h"
#include "Configuration/ServiceMap.h"

#include <cmath>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace Admission {

/// The tokens that an entry daemon was granted within the last Window, from
/// which a new leader restores its ledger.
class GrantHistory {
public:
  explicit GrantHistory(Common::Duration Window) : Window(Window) {}

  struct RecentGrants {
    Configuration::TeamName Team;
    /// Tokens granted within the last second, the last two seconds, and so on.
    std::vector<double> CumulativeTokens;
  };

  void record(const Configuration::TeamName &Team, double Tokens,
              Common::TimePoint Now) {
    this->Grants[Team].emplace_back(Now, Tokens);
  }

  std::vector<RecentGrants> recent(Common::TimePoint Now) {
    std::vector<RecentGrants> Result;
    for (auto Each = this->Grants.begin(); Each != this->Grants.end();) {
      auto &[Team, Recent] = *Each;
      while (!Recent.empty() && Now - Recent.front().first > this->Window)
        Recent.pop_front();
      if (Recent.empty()) {
        Each = this->Grants.erase(Each);
        continue;
      }
      const auto Seconds =
          static_cast<std::size_t>(std::ceil(Common::toSeconds(this->Window)));
      std::vector<double> CumulativeTokens(Seconds, 0);
      for (const auto &[At, Tokens] : Recent) {
        const auto First =
            static_cast<std::size_t>(Common::toSeconds(Now - At));
        for (std::size_t I = First; I < Seconds; ++I)
          CumulativeTokens[I] += Tokens;
      }
      Result.push_back({Team, std::move(CumulativeTokens)});
      ++Each;
    }
    return Result;
  }

private:
  Common::Duration Window;
  std::map<Configuration::TeamName,
           std::deque<std::pair<Common::TimePoint, double>>>
      Grants;
};

} // namespace Admission

#endif
