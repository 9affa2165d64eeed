#include "Admission/LoadMeter.h"

#include <algorithm>

namespace Admission {

RankLoad &LoadMeter::at(const Common::ServiceName &Service,
                        std::uint32_t Rank) {
  RankLoad &Result = this->Services[Service][Rank];
  Result.Rank = Rank;
  return Result;
}

void LoadMeter::recordOffered(const Common::ServiceName &Service,
                              std::uint32_t Rank, double Work) {
  RankLoad &Load = this->at(Service, Rank);
  ++Load.Offered;
  Load.OfferedMilliseconds += static_cast<float>(Work);
}

void LoadMeter::recordServed(const Common::ServiceName &Service,
                             std::uint32_t Rank, double Work) {
  this->at(Service, Rank).AdmittedMilliseconds += static_cast<float>(Work);
}

void LoadMeter::recordRefused(const Common::ServiceName &Service,
                              std::uint32_t Rank) {
  ++this->at(Service, Rank).Refused;
}

void LoadMeter::recordWithoutRoom(const Common::ServiceName &Service,
                                  std::uint32_t Rank) {
  ++this->at(Service, Rank).WithoutRoom;
}

void LoadMeter::addWaiting(const Common::ServiceName &Service,
                           std::uint32_t Rank, int Change) {
  RankLoad &Load = this->at(Service, Rank);
  if (Change < 0)
    Load.Waiting -= std::min(Load.Waiting, static_cast<std::uint32_t>(-Change));
  else
    Load.Waiting += static_cast<std::uint32_t>(Change);
}

std::vector<ServiceLoad> LoadMeter::take(Common::TimePoint Now) {
  const std::int64_t Period = Common::toMilliseconds(
      std::chrono::duration_cast<Common::Duration>(Now - this->Since));
  this->Since = Now;
  std::vector<ServiceLoad> Result;
  for (auto &[Service, Ranks] : this->Services) {
    ServiceLoad Load;
    Load.Service = Service;
    Load.PeriodMilliseconds =
        static_cast<std::uint32_t>(std::max<std::int64_t>(Period, 0));
    std::map<std::uint32_t, RankLoad> Kept;
    for (const auto &[Rank, Each] : Ranks) {
      Load.Ranks.push_back(Each);
      if (Each.Waiting == 0)
        continue;
      Kept[Rank].Rank = Rank;
      Kept[Rank].Waiting = Each.Waiting;
    }
    Ranks = std::move(Kept);
    if (!Load.Ranks.empty())
      Result.push_back(std::move(Load));
  }
  std::erase_if(this->Services,
                [](const auto &Each) { return Each.second.empty(); });
  return Result;
}

} // namespace Admission
