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

std::vector<ServiceLoad> LoadMeter::take(Common::TimePoint Now) {
  const std::int64_t Period = Common::toMilliseconds(
      std::chrono::duration_cast<Common::Duration>(Now - this->Since));
  this->Since = Now;
  std::vector<ServiceLoad> Result;
  for (const auto &[Service, Ranks] : this->Services) {
    ServiceLoad Load;
    Load.Service = Service;
    Load.PeriodMilliseconds =
        static_cast<std::uint32_t>(std::max<std::int64_t>(Period, 0));
    for (const auto &[Rank, Each] : Ranks)
      Load.Ranks.push_back(Each);
    Result.push_back(std::move(Load));
  }
  this->Services.clear();
  return Result;
}

} // namespace Admission
