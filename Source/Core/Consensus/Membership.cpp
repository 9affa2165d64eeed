#include "Consensus/Membership.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <map>
#include <set>

namespace Consensus {

namespace {

/// Groups of one or two voters are not checked: in every placement there is a
/// data centre whose loss costs them the quorum.
constexpr std::size_t MinVotersForPlacementCheck = 3;

absl::Status checkPlacement(const Membership &Checked) {
  std::map<Common::DataCentreId, std::size_t> VoterCounts;
  for (const Member &Each : Checked.members())
    if (Each.Role == Role::Voter)
      ++VoterCounts[Each.DataCentre];
  if (Checked.voterCount() < MinVotersForPlacementCheck)
    return absl::OkStatus();
  for (const auto &[DataCentre, Count] : VoterCounts)
    if (Count >= Checked.quorum())
      return absl::FailedPreconditionError(absl::StrCat(
          "data centre ", DataCentre.str(), " would hold ", Count, " of ",
          Checked.voterCount(),
          " voters, a majority; distribute the voters over more data centres"));
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<Member> Member::create(const std::string &Text) {
  const std::vector<std::string> Parts = absl::StrSplit(Text, '@');
  if (Parts.size() != 3 || Parts[0].empty() || Parts[2].empty())
    return absl::InvalidArgumentError(absl::StrCat(
        "invalid member '", Text, "'; expected IDENTITY@IP:PORT@DATACENTRE"));
  auto Address = Network::Address::create(Parts[1]);
  if (!Address.ok())
    return Address.status();
  return Member{ReplicaId(Parts[0]), *Address, Common::DataCentreId(Parts[2]),
                Consensus::Role::Voter};
}

absl::StatusOr<Membership> Membership::create(std::vector<Member> Members) {
  std::set<ReplicaId> Seen;
  for (const Member &Each : Members)
    if (!Seen.insert(Each.Id).second)
      return absl::FailedPreconditionError(
          absl::StrCat("duplicate replica identity ", Each.Id.str(),
                       "; format each data folder separately"));
  Membership Result;
  Result.Members = std::move(Members);
  if (absl::Status Placement = checkPlacement(Result); !Placement.ok())
    return Placement;
  return Result;
}

const Member *Membership::find(const ReplicaId &Id) const {
  for (const Member &Each : this->Members)
    if (Each.Id == Id)
      return &Each;
  return nullptr;
}

bool Membership::isVoter(const ReplicaId &Id) const {
  const Member *Found = this->find(Id);
  return Found && Found->Role == Role::Voter;
}

std::size_t Membership::voterCount() const {
  return std::count_if(
      this->Members.begin(), this->Members.end(),
      [](const Member &Each) { return Each.Role == Role::Voter; });
}

absl::StatusOr<Membership> Membership::withLearner(const Member &Added) const {
  std::vector<Member> Changed = this->Members;
  Changed.push_back(Added);
  Changed.back().Role = Role::Learner;
  return Membership::create(std::move(Changed));
}

absl::StatusOr<Membership> Membership::withPromoted(const ReplicaId &Id) const {
  std::vector<Member> Changed = this->Members;
  for (Member &Each : Changed) {
    if (Each.Id != Id)
      continue;
    Each.Role = Role::Voter;
    return Membership::create(std::move(Changed));
  }
  return absl::NotFoundError(
      absl::StrCat("unknown replica ", Id.str(), "; see 'show replicas'"));
}

absl::StatusOr<Membership> Membership::withRemoved(const ReplicaId &Id) const {
  if (!this->find(Id))
    return absl::NotFoundError(
        absl::StrCat("unknown replica ", Id.str(), "; see 'show replicas'"));
  if (this->isVoter(Id) && this->voterCount() == 1)
    return absl::FailedPreconditionError(
        "the last voter cannot be removed; add another one first");
  std::vector<Member> Changed;
  for (const Member &Each : this->Members)
    if (Each.Id != Id)
      Changed.push_back(Each);
  return Membership::create(std::move(Changed));
}

} // namespace Consensus
