#ifndef SYCAMOREREACH_CONSENSUS_MEMBERSHIP_H
#define SYCAMOREREACH_CONSENSUS_MEMBERSHIP_H

#include "Common/Ids.h"
#include "Network/Address.h"

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace Consensus {

/// Identifies a formatted data folder. Formatting always creates a new
/// identity, so a replica that lost its state cannot vote a second time in a
/// term under its old identity.
using ReplicaId = Common::StrongId<struct ReplicaIdTag>;

enum class Role : std::uint8_t {
  /// Receives the log, but does not vote and is not part of the quorum.
  Learner,
  Voter,
};

/// One replica of a consensus group.
struct Member {
  ReplicaId Id;
  Network::Address Address;
  Common::DataCentreId DataCentre;
  Consensus::Role Role = Role::Voter;

  /// Parses "IDENTITY@IP:PORT@DATACENTRE" as a voter; InvalidArgument when
  /// Text has another form.
  static absl::StatusOr<Member> create(const std::string &Text);

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Address, this->DataCentre, this->Role);
  }
};

/// The replicas of a consensus group and the rules for changing them. An
/// instance does not change; each with... function returns a changed copy.
class Membership {
public:
  Membership() = default;

  /// FailedPrecondition when one data centre would hold a majority of three or
  /// more voters, or when two members have the same identity.
  static absl::StatusOr<Membership> create(std::vector<Member> Members);

  const std::vector<Member> &members() const { return this->Members; }
  /// Returns null when there is no such member.
  const Member *find(const ReplicaId &Id) const;
  bool isVoter(const ReplicaId &Id) const;
  std::size_t voterCount() const;
  /// Number of voters that form a majority.
  std::size_t quorum() const { return this->voterCount() / 2 + 1; }

  /// The following fail like create, and with NotFound for an unknown Id.
  absl::StatusOr<Membership> withLearner(const Member &Added) const;
  absl::StatusOr<Membership> withPromoted(const ReplicaId &Id) const;
  /// FailedPrecondition also when Id is the last voter.
  absl::StatusOr<Membership> withRemoved(const ReplicaId &Id) const;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Members); }

private:
  std::vector<Member> Members;
};

} // namespace Consensus

#endif
