#include "Consensus/Membership.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <map>
#include <set>

namespace Consensus {

namespace {

/// Fewer voters cannot be spread so that no data centre has a majority.
constexpr std::size_t LeastSpreadVoters = 3;

absl::Status checkSpread(const Membership &Group) {
  std::map<Common::DataCentreId, std::size_t> VotersOf;
  for (const Member &Each : Group.members())
    if (Each.Role == Role::Voter)
      ++VotersOf[Each.DataCentre];
  if (Group.voterCount() < LeastSpreadVoters)
    return absl::OkStatus();
  for (const auto &[DataCentre, Count] : VotersOf)
    if (Count >= Group.quorum())
      return absl::FailedPreconditionError(absl::StrCat(
          "data centre ", DataCentre.str(), " would hold ", Count, " of ",
          Group.voterCount(),
          " voters, a majority; spread the voters over more data centres"));
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<Member> Member::create(const std::string &Text) {
  const std::vector<std::string> Parts = absl::StrSplit(Text, '@');
  if (Parts.size() != 3 || Parts[0].empty() || Parts[2].empty())
    return absl::InvalidArgumentError(absl::StrCat(
        "'", Text, "' is no member; write IDENTITY@IP:PORT@DATACENTRE"));
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
          absl::StrCat("identity ", Each.Id.str(),
                       " stands twice; format each data folder on its own"));
  Membership Group;
  Group.Members = std::move(Members);
  if (absl::Status Spread = checkSpread(Group); !Spread.ok())
    return Spread;
  return Group;
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
  std::vector<Member> Next = this->Members;
  Next.push_back(Added);
  Next.back().Role = Role::Learner;
  return Membership::create(std::move(Next));
}

absl::StatusOr<Membership> Membership::withPromoted(const ReplicaId &Id) const {
  std::vector<Member> Next = this->Members;
  for (Member &Each : Next) {
    if (Each.Id != Id)
      continue;
    Each.Role = Role::Voter;
    return Membership::create(std::move(Next));
  }
  return absl::NotFoundError(
      absl::StrCat("no replica ", Id.str(), "; see 'show replicas'"));
}

absl::StatusOr<Membership> Membership::withRemoved(const ReplicaId &Id) const {
  if (!this->find(Id))
    return absl::NotFoundError(
        absl::StrCat("no replica ", Id.str(), "; see 'show replicas'"));
  if (this->isVoter(Id) && this->voterCount() == 1)
    return absl::FailedPreconditionError(
        "the last voter cannot be removed; add another one first");
  std::vector<Member> Next;
  for (const Member &Each : this->Members)
    if (Each.Id != Id)
      Next.push_back(Each);
  return Membership::create(std::move(Next));
}

} // namespace Consensus
