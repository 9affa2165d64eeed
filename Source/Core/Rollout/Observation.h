#ifndef SYCAMOREREACH_ROLLOUT_OBSERVATION_H
#define SYCAMOREREACH_ROLLOUT_OBSERVATION_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Rollout {

/// Identifies one accepted rollout order; increases with each one.
using RolloutNumber = Common::StrongNumber<struct RolloutNumberTag>;

/// Numbers of measured times, by bucket. Bucket I counts the times from
/// 2^(I/2) ms up to 2^((I+1)/2) ms; the first and the last one are unbounded.
struct DurationHistogram {
  static constexpr std::size_t Buckets = 34;
  /// Either empty or of size Buckets.
  std::vector<std::uint32_t> Counts;

  void add(Common::Duration Time);
  void add(const DurationHistogram &Other);
  std::uint64_t total() const;

  /// Reports hold many histograms with few counts, so they are encoded with
  /// seven bits in a byte, without the zeros at the end.
  std::string encode() const;
  void decode(const std::string &Bytes);

  template <class Archive> void save(Archive &Ar) const { Ar(this->encode()); }
  template <class Archive> void load(Archive &Ar) {
    std::string Bytes;
    Ar(Bytes);
    this->decode(Bytes);
  }
};

/// What one entry daemon has seen of a rollout since it learnt of it, on one
/// route: at one server of the target version, or at all servers of other
/// versions together. The figures are cumulative, so a lost report has no
/// effect.
struct Observation {
  Common::ServiceName Service;
  RolloutNumber Number;
  std::string Route;
  /// Empty for the servers of other versions.
  Common::BackendServerId Server;
  /// Requests sent, and those of them that were answered or failed.
  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Failed = 0;
  /// Requests that wait for their first output or are being answered now.
  std::uint32_t Running = 0;
  DurationHistogram FirstOutput;
  DurationHistogram OutputGap;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Number, this->Route, this->Server, this->Sent,
       this->Answered, this->Failed, this->Running, this->FirstOutput,
       this->OutputGap);
  }
};

/// What one entry daemon obeys with regard to a rollout.
struct Progress {
  Common::ServiceName Service;
  RolloutNumber Number;
  /// Revision of the last directive received.
  std::uint64_t Revision = 0;
  /// Requests that run at servers of other versions than the target.
  std::uint32_t RunningElsewhere = 0;
  /// This daemon sends the target version nothing, by its own observations.
  bool StoppedLocally = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Number, this->Revision, this->RunningElsewhere,
       this->StoppedLocally);
  }
};

} // namespace Rollout

#endif
