#ifndef SYCAMOREREACH_ROLLOUT_VERSIONPOLICY_H
#define SYCAMOREREACH_ROLLOUT_VERSIONPOLICY_H

#include "Rollout/Directive.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Rollout {

/// Decides in one entry daemon which servers may get requests, from the
/// directives of the leader, their validity, and the versions that serve. What
/// is not known to be allowed by the newest directive is not open to a version
/// that may be under rollout.
class VersionPolicy {
public:
  enum class Standing {
    /// All requests.
    Open,
    /// The requests of the share only.
    Share,
    /// No requests.
    Excluded,
  };
  struct Server {
    Common::BackendServerId Id;
    /// Empty if unknown. An unknown version is a version of its own.
    Common::SoftwareVersion Version;
    std::uint64_t StartedAt = 0;
    /// Whether the server was heard from recently.
    bool IsFresh = true;
  };

  /// Replaces the servers of the service that accept requests. Returns whether
  /// a version appeared that needs a poll to be confirmed.
  bool setServers(const Common::ServiceName &Service,
                  std::vector<Server> Servers, Common::TimePoint Now);
  /// Records that a poll was answered that was sent at SentAt. To be called
  /// after its directives were applied.
  void confirmPoll(Common::TimePoint SentAt);
  /// Applies a directive that answers a poll sent at PollSentAt, or that was
  /// sent unasked. Returns whether it changed anything but the validity.
  bool apply(const Directive &Received,
             std::optional<Common::TimePoint> PollSentAt);
  /// Sends the target version nothing for the rest of this rollout, unless the
  /// leader excludes the other versions.
  void stop(const Common::ServiceName &Service, RolloutNumber Number);
  bool isStopped(const Common::ServiceName &Service) const;

  /// The standing of each server of the service that accepts requests.
  std::map<Common::BackendServerId, Standing>
  standings(const Common::ServiceName &Service, Common::TimePoint Now) const;
  /// Whether a request belongs to the share of the target version.
  bool isInShare(const Common::ServiceName &Service, std::string_view RequestId,
                 Common::TimePoint Now) const;
  /// The earliest time after Now at which a standing may change by itself.
  std::optional<Common::TimePoint> nextExpiry(Common::TimePoint Now) const;

  /// The newest directive for the service; null if there was none.
  const Directive *directive(const Common::ServiceName &Service) const;
  /// The version that is rolled out; empty if no rollout is running.
  Common::SoftwareVersion target(const Common::ServiceName &Service) const;
  std::vector<Common::ServiceName> services() const;

private:
  struct ServiceState {
    std::optional<Directive> Newest;
    /// Whether Newest was received as the answer to a poll.
    bool IsConfirmed = false;
    Common::TimePoint ValidUntil;
    std::vector<Server> Servers;
    /// When each version that serves was first seen; erased when its last
    /// server ends, as the version may return with another rollout.
    std::map<Common::SoftwareVersion, Common::TimePoint> FirstSeenAt;
    /// The rollout whose target version gets nothing.
    std::optional<RolloutNumber> Stopped;
  };

  static void replace(ServiceState &State, const Directive &Received,
                      Common::TimePoint PollSentAt);
  static void reduce(ServiceState &State, const Directive &Received);
  static double shareOf(const ServiceState &State, Common::TimePoint Now);
  /// Whether a poll that was sent after the first sight of the version was
  /// answered.
  bool isConfirmed(const ServiceState &State,
                   const Common::SoftwareVersion &Version) const;
  static bool isTarget(const ServiceState &State, const Server &Each);
  /// Whether the version is refused whatever else serves.
  static bool isRefused(const ServiceState &State, const Server &Each);
  /// The servers of the target version that get the share.
  std::set<Common::BackendServerId>
  shareServers(const ServiceState &State) const;

  std::map<Common::ServiceName, ServiceState> Services;
  std::optional<Common::TimePoint> AnsweredPollSentAt;
};

/// Name of the standing in log lines.
constexpr const char *nameOf(VersionPolicy::Standing Standing) {
  switch (Standing) {
  case VersionPolicy::Standing::Open:
    return "open";
  case VersionPolicy::Standing::Share:
    return "share";
  case VersionPolicy::Standing::Excluded:
    return "excluded";
  }
  return "unknown";
}

} // namespace Rollout

#endif
