#ifndef SYCAMOREREACH_COMMON_TIME_H
#define SYCAMOREREACH_COMMON_TIME_H

#include <chrono>
#include <concepts>
#include <cstdint>

namespace Common {

using Duration = std::chrono::microseconds;

/// Whole milliseconds, for logs.
constexpr std::int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

/// Tag type of the monotonic clock that all decisions are based on.
struct MonotonicTimeline {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline>;
};

using TimePoint = MonotonicTimeline::time_point;

/// Wall-clock milliseconds since the Unix epoch. Used for retention only,
/// never for leases or leadership.
struct WallTime {
  std::uint64_t Milliseconds = 0;

  auto operator<=>(const WallTime &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Milliseconds);
  }
};

/// A source of monotonic time.
template <typename T>
concept Clock = requires(const T &Source) {
  { Source.now() } -> std::same_as<TimePoint>;
};

/// A clock that only moves when it is advanced, for tests and simulations.
class ManualClock {
public:
  TimePoint now() const { return this->Current; }
  void advance(Duration By) { this->Current += By; }
  void advanceTo(TimePoint To) {
    if (To > this->Current)
      this->Current = To;
  }

private:
  TimePoint Current{};
};

inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace Common

#endif
