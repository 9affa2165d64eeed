#ifndef SYCAMOREREACH_UNITTESTS_CONSENSUS_SIMULATEDGROUP_H
#define SYCAMOREREACH_UNITTESTS_CONSENSUS_SIMULATEDGROUP_H

#include "Common/Random.h"
#include "Consensus/VoterPlan.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace UnitTests {

/// At which point of performing its actions a replica crashes.
enum class CrashPoint { BeforeSync, AfterSync, AfterSend };

/// A group of replicas on a simulated network that delays, drops and
/// duplicates messages, with simulated disks that keep synced data only.
/// Safety is checked after each step; violation() returns the first violation.
class SimulatedGroup {
public:
  SimulatedGroup(std::size_t Voters, std::uint64_t Seed);

  /// Advances the simulated time by Span, in steps of a few milliseconds.
  void run(Common::Duration Span);
  /// Injects one randomly chosen fault or repairs one.
  void injectRandomFault();
  /// Repairs the network and resumes or restarts all replicas.
  void clearFaults();

  /// Proposes Payload to the serving leader; false when there is none.
  bool propose(const std::string &Payload);
  /// Payloads that the proposing leader has applied, so that a client would
  /// have got a reply.
  const std::set<std::string> &acknowledged() const {
    return this->Acknowledged;
  }
  std::size_t leaderCount() const;
  /// The replica that may serve, if any.
  std::optional<std::size_t> leader() const;
  /// Whether all running members applied the same payloads in the same order,
  /// including all acknowledged ones.
  bool converged() const;
  const std::string &violation() const { return this->Violation; }

  void crash(std::size_t Node);
  void crashAt(std::size_t Node, CrashPoint Point);
  void restart(std::size_t Node);
  /// Replaces a replica that lost its disk with an empty one under a new
  /// identity, whose index is returned.
  std::size_t replaceDisk(std::size_t Node);
  /// Starts an empty replica on a new host and returns its index.
  std::size_t addHost();
  /// Stops a replica for good.
  void remove(std::size_t Node);
  /// From now on replicas without a leader ask to join, and the leader changes
  /// the members as the state daemons do.
  void keepVoters(const Consensus::VoterPlanOptions &Options) {
    this->VoterOptions = Options;
  }
  void pause(std::size_t Node, Common::Duration For);
  /// Drops all messages in this direction.
  void blockLink(std::size_t From, std::size_t To) {
    this->BlockedLinks.insert({From, To});
  }
  void isolate(std::size_t Node);
  bool isBlocked(std::size_t From, std::size_t To) const {
    return this->BlockedLinks.count({From, To}) != 0;
  }
  bool isPaused(std::size_t Node) const {
    return this->Nodes[Node].PausedUntil > this->Now;
  }
  void compact(std::size_t Node);
  std::size_t size() const { return this->Nodes.size(); }
  Consensus::Replica &replica(std::size_t Node) {
    return *this->Nodes[Node].Running;
  }
  bool running(std::size_t Node) const {
    return this->Nodes[Node].Running.has_value();
  }
  Consensus::Member member(std::size_t Node) const;
  const std::vector<std::string> &applied(std::size_t Node) const {
    return this->Nodes[Node].AppliedPayloads;
  }
  Common::TimePoint now() const { return this->Now; }

private:
  struct Node {
    Consensus::ReplicaId Id;
    std::optional<Consensus::Replica> Running;
    Consensus::PersistentState Disk;
    std::vector<std::string> AppliedPayloads;
    Common::TimePoint PausedUntil;
    std::optional<CrashPoint> PendingCrash;
    std::size_t Host = 0;
    bool Removed = false;
    Common::TimePoint LeaderLastKnownAt;
    Common::TimePoint LeadingSince;
    bool MembersChanged = false;
  };
  struct InFlightMessage {
    Common::TimePoint DeliverAt;
    std::size_t From = 0;
    std::size_t To = 0;
    Consensus::Message Message;
  };

  void start(std::size_t Index);
  std::size_t startEmpty();
  void performActions(std::size_t Index);
  void save(Node &Each, const Consensus::Actions &Pending);
  void send(std::size_t From, const std::vector<Consensus::Message> &Messages);
  void apply(std::size_t Index, const Consensus::LogEntry &Entry);
  void deliver();
  void checkLeaderSafety();
  void keepMembers();
  void requestJoin(std::size_t Index);
  void changeVoters(std::size_t Index);
  void recordViolation(const std::string &Description);

  Common::Random Randomness;
  Common::TimePoint Now = Common::TimePoint(std::chrono::hours(1));
  std::vector<Node> Nodes;
  std::vector<InFlightMessage> InFlight;
  std::set<std::pair<std::size_t, std::size_t>> BlockedLinks;
  std::map<std::uint64_t, std::string> Committed;
  std::map<std::uint64_t, Consensus::ReplicaId> LeaderOfTerm;
  std::map<std::pair<std::size_t, std::uint64_t>, std::string> PendingProposals;
  std::set<std::string> Acknowledged;
  std::string Violation;
  std::optional<Consensus::VoterPlanOptions> VoterOptions;
  Common::TimePoint NextGroupCheck;
  Consensus::LatestReplicas JoinRequesters;
};

} // namespace UnitTests

#endif
