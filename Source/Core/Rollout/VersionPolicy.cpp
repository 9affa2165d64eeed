#include "Rollout/VersionPolicy.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Rollout {

namespace {

template <typename Value>
bool contains(const std::vector<Value> &Values, const Value &Searched) {
  return std::find(Values.begin(), Values.end(), Searched) != Values.end();
}

bool sameContent(const Directive &Left, const Directive &Right) {
  return Left.Number == Right.Number && Left.Target == Right.Target &&
         Left.TargetShare == Right.TargetShare &&
         Left.TrialServers == Right.TrialServers &&
         Left.OthersExcluded == Right.OthersExcluded &&
         Left.MoveStreams == Right.MoveStreams &&
         Left.RefusedVersions == Right.RefusedVersions &&
         Left.OnlyVersion == Right.OnlyVersion;
}

} // namespace

bool VersionPolicy::setServers(const Common::ServiceName &Service,
                               std::vector<Server> Servers,
                               Common::TimePoint Now) {
  ServiceState &State = this->Services[Service];
  State.Servers = std::move(Servers);
  std::set<Common::SoftwareVersion> Serving;
  for (const Server &Each : State.Servers)
    Serving.insert(Each.Version);
  std::erase_if(State.FirstSeenAt, [&Serving](const auto &Each) {
    return Serving.count(Each.first) == 0;
  });
  bool Appeared = false;
  for (const Common::SoftwareVersion &Each : Serving)
    Appeared = State.FirstSeenAt.try_emplace(Each, Now).second || Appeared;
  return Appeared;
}

void VersionPolicy::confirmPoll(Common::TimePoint SentAt) {
  if (!this->AnsweredPollSentAt || *this->AnsweredPollSentAt < SentAt)
    this->AnsweredPollSentAt = SentAt;
}

bool VersionPolicy::apply(const Directive &Received,
                          std::optional<Common::TimePoint> PollSentAt) {
  ServiceState &State = this->Services[Received.Service];
  const std::optional<Directive> Previous = State.Newest;
  if (PollSentAt)
    replace(State, Received, *PollSentAt);
  else
    reduce(State, Received);
  if (State.Stopped &&
      (State.Newest->Number != *State.Stopped || State.Newest->OthersExcluded))
    State.Stopped.reset();
  return !Previous || !sameContent(*Previous, *State.Newest);
}

void VersionPolicy::replace(ServiceState &State, const Directive &Received,
                            Common::TimePoint PollSentAt) {
  if (State.Newest && Received.Revision < State.Newest->Revision)
    return;
  const Common::TimePoint ValidUntil =
      PollSentAt + std::chrono::milliseconds(Received.ValidMilliseconds);
  const bool IsRepeat = State.IsConfirmed && State.Newest &&
                        Received.Revision == State.Newest->Revision;
  // The answer to an earlier poll may arrive after that to a later one.
  State.ValidUntil =
      IsRepeat ? std::max(State.ValidUntil, ValidUntil) : ValidUntil;
  State.Newest = Received;
  State.IsConfirmed = true;
}

/// A directive that was sent unasked may be as old as the connection was slow,
/// so only what it takes away is believed.
void VersionPolicy::reduce(ServiceState &State, const Directive &Received) {
  if (!State.Newest) {
    // Nothing was allowed that could be taken away, but for the versions that
    // it refuses or rolls out.
    State.Newest = Received;
    State.Newest->TargetShare = 0;
    State.Newest->OthersExcluded = false;
    State.Newest->MoveStreams = false;
    State.Newest->OnlyVersion.reset();
    State.IsConfirmed = false;
    return;
  }
  Directive &Current = *State.Newest;
  if (Received.Revision <= Current.Revision)
    return;
  // The rollout that this daemon has carried out was completed. The others stay
  // excluded, and the answer to the next poll brings the rest.
  if (Current.OthersExcluded && Received.OnlyVersion == Current.Target)
    return;
  if (Received.Number != Current.Number || Received.Target != Current.Target) {
    Current.TargetShare = 0;
    Current.OthersExcluded = false;
    Current.MoveStreams = false;
    // The end of a rollout does not open its target version before that is
    // confirmed, unless it refuses the version.
    if (contains(Received.RefusedVersions, Current.Target))
      Current.Target = {};
    if (Current.Target.empty()) {
      Current.Target = Received.Target;
      Current.Number = Received.Number;
    }
  } else {
    Current.TargetShare = std::min(Current.TargetShare, Received.TargetShare);
    Current.OthersExcluded = Current.OthersExcluded && Received.OthersExcluded;
    Current.MoveStreams = Current.MoveStreams && Received.MoveStreams;
  }
  for (const Common::SoftwareVersion &Each : Received.RefusedVersions)
    if (!contains(Current.RefusedVersions, Each))
      Current.RefusedVersions.push_back(Each);
  Current.Revision = Received.Revision;
  State.IsConfirmed = false;
}

void VersionPolicy::stop(const Common::ServiceName &Service,
                         RolloutNumber Number) {
  this->Services[Service].Stopped = Number;
}

bool VersionPolicy::isStopped(const Common::ServiceName &Service) const {
  const auto Found = this->Services.find(Service);
  return Found != this->Services.end() && Found->second.Stopped.has_value();
}

double VersionPolicy::shareOf(const ServiceState &State,
                              Common::TimePoint Now) {
  if (!State.Newest || State.Newest->Target.empty() ||
      Now >= State.ValidUntil || State.Stopped)
    return 0;
  return std::clamp(State.Newest->TargetShare, 0.0, 1.0);
}

bool VersionPolicy::isConfirmed(const ServiceState &State,
                                const Common::SoftwareVersion &Version) const {
  const auto Seen = State.FirstSeenAt.find(Version);
  return Seen != State.FirstSeenAt.end() && this->AnsweredPollSentAt &&
         *this->AnsweredPollSentAt > Seen->second;
}

bool VersionPolicy::isTarget(const ServiceState &State, const Server &Each) {
  return State.Newest && !State.Newest->Target.empty() &&
         Each.Version == State.Newest->Target;
}

bool VersionPolicy::isRefused(const ServiceState &State, const Server &Each) {
  if (!State.Newest || isTarget(State, Each))
    return false;
  return contains(State.Newest->RefusedVersions, Each.Version) ||
         (State.Newest->OnlyVersion &&
          Each.Version != *State.Newest->OnlyVersion);
}

std::set<Common::BackendServerId>
VersionPolicy::shareServers(const ServiceState &State) const {
  std::vector<std::pair<std::uint64_t, Common::BackendServerId>> Ranked;
  for (const Server &Each : State.Servers)
    if (isTarget(State, Each))
      Ranked.emplace_back(
          Common::hashBytes(Each.Id.str(), State.Newest->Number.Value),
          Each.Id);
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  const std::size_t Limit = State.Newest->TrialServers;
  if (Limit != 0 && Ranked.size() > Limit)
    Ranked.resize(Limit);
  std::set<Common::BackendServerId> Result;
  for (const auto &Each : Ranked)
    Result.insert(Each.second);
  return Result;
}

std::map<Common::BackendServerId, VersionPolicy::Standing>
VersionPolicy::standings(const Common::ServiceName &Service,
                         Common::TimePoint Now) const {
  std::map<Common::BackendServerId, Standing> Result;
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return Result;
  const ServiceState &State = Found->second;
  const double Share = shareOf(State, Now);
  const bool OthersExcluded = Share > 0 && State.Newest->OthersExcluded;
  std::vector<const Server *> Targets;
  std::vector<const Server *> Others;
  std::vector<const Server *> Unconfirmed;
  bool TargetConfirmed = false;
  bool AnyFresh = false;
  for (const Server &Each : State.Servers) {
    Result[Each.Id] = Standing::Excluded;
    if (isRefused(State, Each))
      continue;
    AnyFresh = AnyFresh || Each.IsFresh;
    const bool Confirmed = this->isConfirmed(State, Each.Version);
    if (isTarget(State, Each)) {
      Targets.push_back(&Each);
      TargetConfirmed = Confirmed;
    } else {
      (Confirmed ? Others : Unconfirmed).push_back(&Each);
    }
  }
  // A server that crashed counts as serving until its record expires. If all
  // are silent, the link of this daemon is at fault.
  const auto Serve = [AnyFresh](const std::vector<const Server *> &Servers) {
    return std::any_of(
        Servers.begin(), Servers.end(),
        [AnyFresh](const Server *Each) { return Each->IsFresh || !AnyFresh; });
  };
  const auto Open = [&Result](const std::vector<const Server *> &Servers) {
    for (const Server *Each : Servers)
      Result[Each->Id] = Standing::Open;
  };
  if (Share > 0 && TargetConfirmed && !Targets.empty()) {
    const bool All = OthersExcluded || (!Serve(Others) && !Serve(Unconfirmed));
    const auto Chosen = this->shareServers(State);
    for (const Server *Each : Targets)
      if (All)
        Result[Each->Id] = Standing::Open;
      else if (Chosen.count(Each->Id) != 0)
        Result[Each->Id] = Standing::Share;
    if (OthersExcluded && Serve(Targets))
      return Result;
  }
  Open(Others);
  if (Serve(Others))
    return Result;
  // Without any other server, the one that started first is taken for the old
  // version, for this daemon may have been started during a rollout.
  const auto Oldest =
      std::min_element(Unconfirmed.begin(), Unconfirmed.end(),
                       [](const Server *Left, const Server *Right) {
                         return Left->StartedAt < Right->StartedAt;
                       });
  if (Serve(Unconfirmed)) {
    for (const Server *Each : Unconfirmed)
      if (Each->Version == (*Oldest)->Version)
        Result[Each->Id] = Standing::Open;
    return Result;
  }
  Open(Targets);
  return Result;
}

bool VersionPolicy::isInShare(const Common::ServiceName &Service,
                              std::string_view RequestId,
                              Common::TimePoint Now) const {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return false;
  const double Share = shareOf(Found->second, Now);
  return Share > 0 &&
         Common::fractionOf(Common::hashBytes(
             RequestId, Found->second.Newest->Number.Value)) < Share;
}

std::optional<Common::TimePoint>
VersionPolicy::nextExpiry(Common::TimePoint Now) const {
  std::optional<Common::TimePoint> Result;
  for (const auto &[Service, State] : this->Services)
    if (shareOf(State, Now) > 0 && (!Result || State.ValidUntil < *Result))
      Result = State.ValidUntil;
  return Result;
}

const Directive *
VersionPolicy::directive(const Common::ServiceName &Service) const {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() || !Found->second.Newest
             ? nullptr
             : &*Found->second.Newest;
}

Common::SoftwareVersion
VersionPolicy::target(const Common::ServiceName &Service) const {
  const Directive *Newest = this->directive(Service);
  return Newest ? Newest->Target : Common::SoftwareVersion();
}

std::vector<Common::ServiceName> VersionPolicy::services() const {
  std::vector<Common::ServiceName> Result;
  for (const auto &Each : this->Services)
    Result.push_back(Each.first);
  return Result;
}

} // namespace Rollout
