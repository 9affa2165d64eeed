#ifndef SYCAMOREREACH_UNITTESTS_CONSENSUS_SIMULATEDGROUP_H
#define SYCAMOREREACH_UNITTESTS_CONSENSUS_SIMULATEDGROUP_H

#include "Common/Random.h"
#include "Consensus/Replica.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace UnitTests {

/// Where a replica stops when it is killed.
enum class KillPoint { BeforeSync, AfterSync, AfterSend };

/// A group of replicas over a network that delays, drops and repeats
/// messages, with disks that keep only what was synced. Safety is checked
/// all the time; the first fault is kept in fault().
class SimulatedGroup {
public:
  SimulatedGroup(std::size_t Voters, std::uint64_t Seed);

  /// Lets time pass in steps of a few milliseconds.
  void run(Common::Duration Span);
  /// One random event out of all the faults.
  void disturb();
  void healAll();

  /// Proposes at the replica that leads; false when none does.
  bool propose(const std::string &Payload);
  /// Payloads that were committed in the eyes of the proposing leader.
  const std::set<std::string> &acknowledged() const { return this->Acked; }
  std::size_t leaderCount() const;
  std::optional<std::size_t> leader() const;
  /// Every running member holds everything acknowledged, in the same order.
  bool converged() const;
  const std::string &fault() const { return this->Fault; }

  void kill(std::size_t Node);
  void killAt(std::size_t Node, KillPoint Where);
  void restart(std::size_t Node);
  /// The disk is lost; a new replica starts empty under a new identity.
  std::size_t replaceDisk(std::size_t Node);
  void freeze(std::size_t Node, Common::Duration For);
  void cut(std::size_t From, std::size_t To) { this->Cuts.insert({From, To}); }
  void isolate(std::size_t Node);
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
    return this->Nodes[Node].Applied;
  }
  Common::TimePoint now() const { return this->Now; }

private:
  struct Node {
    Consensus::ReplicaId Id;
    std::optional<Consensus::Replica> Running;
    Consensus::PersistentState Disk;
    std::vector<std::string> Applied;
    Common::TimePoint FrozenUntil;
    std::optional<KillPoint> KillNext;
  };
  struct Flight {
    Common::TimePoint At;
    std::size_t From = 0;
    std::size_t To = 0;
    Consensus::Message Carried;
  };

  void start(std::size_t Index);
  void flush(std::size_t Index);
  void save(Node &Each, const Consensus::Actions &Work);
  void send(std::size_t From, const std::vector<Consensus::Message> &Messages);
  void apply(std::size_t Index, const Consensus::LogEntry &Entry);
  void deliver();
  void checkLeases();
  void fail(const std::string &What);

  Common::Random Randomness;
  Common::TimePoint Now = Common::TimePoint(std::chrono::hours(1));
  std::vector<Node> Nodes;
  std::vector<Flight> Flying;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::map<std::uint64_t, std::string> Committed;
  std::map<std::uint64_t, Consensus::ReplicaId> LeaderOfTerm;
  std::map<std::pair<std::size_t, std::uint64_t>, std::string> Proposed;
  std::set<std::string> Acked;
  std::string Fault;
};

} // namespace UnitTests

#endif
