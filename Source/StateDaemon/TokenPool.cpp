#include "StateDaemon/TokenPool.h"

#include "Telemetry/LogEvents.h"

#include <algorithm>

namespace StateDaemon {

namespace {

/// A request to the leader without an answer for longer counts as lost.
constexpr Common::Duration LeaderTimeout = std::chrono::milliseconds(250);
/// Retry-After of needs that expired without an answer from the leader, which
/// is enough for the election of another one.
constexpr Common::Duration RetryAfterNoLeader = std::chrono::milliseconds(900);
/// Beyond this number, the need that has waited longest is refused.
constexpr std::size_t MaxWaiting = 20'000;

std::uint64_t milliseconds(Common::Duration Value) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(Common::toMilliseconds(Value), 0));
}

} // namespace

void TokenPool::setDeclaration(
    std::shared_ptr<const Configuration::ServiceMap> Newest) {
  this->Declaration = std::move(Newest);
  if (this->Declaration)
    this->Account.applyLimits(*this->Declaration);
}

void TokenPool::decide(const Client &To, std::uint64_t Number, bool Granted,
                       Common::Duration RetryAfter) {
  this->Decisions[To].push_back({Number, Granted, milliseconds(RetryAfter)});
}

void TokenPool::refuse(const WaitingNeed &Each, Common::Duration RetryAfter) {
  Telemetry::log(Telemetry::Events::TokensRefused, Each.From.first.str(),
                 Each.Need.Number, Each.Need.Team.str(), Each.Need.Tokens,
                 milliseconds(RetryAfter));
  this->decide(Each.From, Each.Need.Number, false, RetryAfter);
}

void TokenPool::handleRequest(const State::TokenRequest &Request,
                              Common::TimePoint Now) {
  for (const auto &[Team, Tokens] : Request.Returned)
    this->Account.add(Team, std::max(Tokens, 0.0));
  const Client From{Request.Entry, Request.Incarnation};
  for (const State::TokenNeed &Each : Request.Needs) {
    const Configuration::Team *Limits =
        this->Declaration ? this->Declaration->team(Each.Team) : nullptr;
    if (Limits)
      this->Account.recordDemand(*Limits, Each.Tokens, Now);
    // Needs of a team that have waited longer come first.
    const bool OthersWait = std::any_of(
        this->Waiting.begin(), this->Waiting.end(),
        [&Each](const auto &Other) { return Other.Need.Team == Each.Team; });
    const bool Unlimited = Limits && Limits->TokenRate <= 0;
    if (Unlimited ||
        (!OthersWait && this->Account.tryConsume(Each.Team, Each.Tokens))) {
      this->decide(From, Each.Number, true, {});
      continue;
    }
    const auto MaxWait = std::chrono::milliseconds(Each.MaxWaitMilliseconds);
    this->Waiting.push_back({From, Each, Now + MaxWait, Now, 0});
    if (this->Waiting.size() <= MaxWaiting)
      continue;
    this->refuse(this->Waiting.front(), RetryAfterNoLeader);
    this->Waiting.pop_front();
  }
}

Admission::AllowanceAccount::TokensByTeam
TokenPool::requestedTokens(Common::TimePoint Now) {
  std::erase_if(this->Pending, [Now](const auto &Each) {
    return Now - Each.second.SentAt > LeaderTimeout;
  });
  Admission::AllowanceAccount::TokensByTeam Result;
  for (const auto &Request : this->Pending)
    for (const auto &[Team, Tokens] : Request.second.Tokens)
      Result[Team] += Tokens;
  return Result;
}

std::optional<State::TokenPoolRequest>
TokenPool::takeDemand(Common::TimePoint Now) {
  const auto Requested = this->requestedTokens(Now);
  Admission::AllowanceAccount::TokensByTeam Needed;
  for (const WaitingNeed &Each : this->Waiting)
    if (Each.RequestAt <= Now)
      Needed[Each.Need.Team] += Each.Need.Tokens;
  const auto Demands = this->Account.demands(Needed, Requested, Now);
  if (Demands.empty())
    return std::nullopt;
  State::TokenPoolRequest Result;
  Result.Sequence = ++this->LastSequence;
  PendingRequest &Sent = this->Pending[Result.Sequence];
  Sent.SentAt = Now;
  for (const auto &Each : Demands) {
    Result.Demands.push_back({Each.Team, Each.Needed, Each.Reserve});
    Sent.Tokens[Each.Team] = Each.Needed + Each.Reserve;
  }
  for (WaitingNeed &Each : this->Waiting)
    if (Each.RequestAt <= Now)
      Each.RequestedIn = Result.Sequence;
  return Result;
}

void TokenPool::handleGrant(const State::TokenPoolGrant &Grant,
                            Common::TimePoint Now) {
  this->Pending.erase(Grant.Sequence);
  std::map<Configuration::TeamName, Common::Duration> Waits;
  for (const State::TokenGrant &Each : Grant.Grants) {
    this->Account.add(Each.Team, std::max(Each.Tokens, 0.0));
    if (Each.WaitMilliseconds > 0)
      Waits[Each.Team] = std::chrono::milliseconds(Each.WaitMilliseconds);
  }
  std::deque<WaitingNeed> StillWaiting;
  for (WaitingNeed &Each : this->Waiting) {
    if (this->Account.tryConsume(Each.Need.Team, Each.Need.Tokens)) {
      this->decide(Each.From, Each.Need.Number, true, {});
      continue;
    }
    const auto Wait = Waits.find(Each.Need.Team);
    if (Wait != Waits.end() && Each.RequestedIn != 0 &&
        Each.RequestedIn <= Grant.Sequence) {
      if (Now + Wait->second > Each.ExpiresAt) {
        this->refuse(Each, Wait->second);
        continue;
      }
      Each.RequestAt = Now + Wait->second;
    }
    StillWaiting.push_back(std::move(Each));
  }
  this->Waiting = std::move(StillWaiting);
  this->Account.trimReserves();
}

void TokenPool::refuseExpired(Common::TimePoint Now) {
  std::erase_if(this->Waiting, [this, Now](const WaitingNeed &Each) {
    if (Each.ExpiresAt > Now)
      return false;
    this->refuse(Each, RetryAfterNoLeader);
    return true;
  });
}

std::vector<State::TokenDecisions> TokenPool::takeDecisions() {
  std::vector<State::TokenDecisions> Result;
  for (auto &[To, Made] : this->Decisions)
    Result.push_back({To.first, To.second, std::move(Made)});
  this->Decisions.clear();
  return Result;
}

} // namespace StateDaemon
