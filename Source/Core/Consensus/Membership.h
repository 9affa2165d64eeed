#ifndef SYCAMOREREACH_CONSENSUS_MEMBERSHIP_H
#define SYCAMOREREACH_CONSENSUS_MEMBERSHIP_H

#include "Common/Ids.h"
#include "Network/Address.h"

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace Consensus {

/// The identity of a formatted disk. A wiped disk gets a new one, so a
/// replica that lost its state can never vote under its old name.
using ReplicaId = Common::StrongId<struct ReplicaIdTag>;

enum class Role : std::uint8_t {
  /// Receives the log and counts for nothing.
  Learner,
  Voter,
};

/// One replica of the group.
struct Member {
  ReplicaId Id;
  Network::Address Address;
  Common::DataCentreId DataCentre;
  Consensus::Role Role = Role::Voter;

  /// Reads "IDENTITY@IP:PORT@DATACENTRE" as a voter.
  static absl::StatusOr<Member> create(const std::string &Text);

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Address, this->DataCentre, this->Role);
  }
};

/// The replicas of a group and the rules for changing them.
class Membership {
public:
  Membership() = default;

  /// FailedPrecondition when a data centre would hold a majority of three or
  /// more voters, or when an identity stands twice.
  static absl::StatusOr<Membership> create(std::vector<Member> Members);

  const std::vector<Member> &members() const { return this->Members; }
  const Member *find(const ReplicaId &Id) const;
  bool isVoter(const ReplicaId &Id) const;
  std::size_t voterCount() const;
  /// Number of voters that form a majority.
  std::size_t quorum() const { return this->voterCount() / 2 + 1; }

  absl::StatusOr<Membership> withLearner(const Member &Added) const;
  absl::StatusOr<Membership> withPromoted(const ReplicaId &Id) const;
  absl::StatusOr<Membership> withRemoved(const ReplicaId &Id) const;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Members); }

private:
  std::vector<Member> Members;
};

} // namespace Consensus

#endif
