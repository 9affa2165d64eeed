#ifndef SYCAMOREREACH_ADMISSION_LEVELPLANNER_H
#define SYCAMOREREACH_ADMISSION_LEVELPLANNER_H

#include "Admission/AdmissionLevel.h"
#include "Common/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace Admission {

/// Fraction of the work of each rank that is admitted at any level, so that no
/// rank is refused altogether.
inline constexpr double GuaranteedShare = 0.05;

struct LevelPlannerOptions {
  /// Time constant of the averages.
  Common::Duration Window = std::chrono::milliseconds(800);
  /// Fewer admitted requests within the window prove no shortage.
  double MinRequests = 8;
};

/// Decides whether a service has too little room for what callers request, and
/// which requests are then admitted. The limit on the admitted work starts at
/// the rate at which servers began work when room ran out, so that it needs no
/// figures of the engines, and follows whether admitted requests still find no
/// room. Adjusting a priority threshold by the queueing of admitted requests
/// follows H. Zhou et al., "Overload Control for Scaling WeChat Microservices",
/// SoCC 2018.
///
/// The leader uses one with the reports of all entry daemons. An entry daemon
/// that is cut off uses one with its own.
class LevelPlanner {
public:
  LevelPlanner(LevelPlannerOptions Options, Common::TimePoint Now)
      : Options(Options), StartedAt(Now) {}

  void recordLoad(const ServiceLoad &Load, Common::TimePoint Now);
  /// Replaces the number of slots of the servers that serve the service. The
  /// limit changes in proportion at once, as servers come and go.
  void setSlots(const Common::ServiceName &Service, std::uint32_t Slots);
  /// The level of the service; nothing if it has room for all.
  std::optional<AdmissionLevel> level(const Common::ServiceName &Service,
                                      Common::TimePoint Now);
  /// The levels of all services that are short of room.
  std::vector<AdmissionLevel> levels(Common::TimePoint Now);

  /// What decided, in milliseconds of engine time a second and in requests.
  struct Figures {
    double OfferedRate = 0;
    double ServedRate = 0;
    double WithoutRoomShare = 0;
    double Limit = 0;
  };
  Figures figures(const Common::ServiceName &Service,
                  Common::TimePoint Now) const;

private:
  struct RankSums {
    double OfferedMilliseconds = 0;
    double ServedMilliseconds = 0;
    double Offered = 0;
    double Refused = 0;
    double WithoutRoom = 0;
  };
  struct ServiceState {
    std::map<std::uint32_t, RankSums> Ranks;
    Common::TimePoint DecayedAt;
    Common::TimePoint UpdatedAt;
    std::uint32_t Slots = 0;
    /// Admitted work in milliseconds a second; nothing if all is admitted.
    std::optional<double> Limit;
    std::optional<Common::TimePoint> ShortSince;
    std::optional<Common::TimePoint> AmpleSince;
    Common::TimePoint ReducedAt;
  };
  void decay(ServiceState &State, Common::TimePoint Now) const;
  Figures figures(const ServiceState &State) const;
  void update(ServiceState &State, Common::TimePoint Now) const;
  static std::optional<AdmissionLevel>
  levelAt(const Common::ServiceName &Service, const ServiceState &State,
          const Figures &Current, double WindowSeconds);

  LevelPlannerOptions Options;
  Common::TimePoint StartedAt;
  std::map<Common::ServiceName, ServiceState> Services;
};

} // namespace Admission

#endif
