#include "State/StateClient.h"

#include "Network/Codec.h"

#include <algorithm>

namespace State {

namespace {

/// Keeps two daemons that name each other from causing a storm.
constexpr Common::Duration RedirectDelay = std::chrono::milliseconds(3);

} // namespace

struct StateClient::Pending {
  QuestionBody Body;
  OnAnswer Done;
  Common::TimePoint EndsAt;
  bool OnlyOnce = false;
  /// Whether some attempt was sent and not refused.
  bool MaybeDone = false;
  /// Definite refusals since the last attempt that was not refused.
  std::size_t Refusals = 0;
  bool Finished = false;
  Correlation Current;
  std::size_t Link = 0;
  Network::EventHandle Timer;
};

StateClient::StateClient(Network::EventLoop &Loop, Options Settings,
                         Telemetry::Metrics &Metrics)
    : Loop(Loop), Settings(std::move(Settings)), Metrics(Metrics) {
  for (std::size_t I = 0; I < this->Settings.Daemons.size(); ++I) {
    Network::FrameLink::Handlers Handle;
    Handle.OnPayload = [this, I](const std::string &Payload) {
      this->received(I, Payload);
    };
    Handle.OnUp = [this, I] { this->linkUp(I); };
    Handle.OnDown = [this, I] { this->linkDown(I); };
    Handle.OnRefused = [this](Common::RefusalReason Reason) {
      this->Metrics.recordRefusal(Reason);
    };
    this->Links.push_back(std::make_unique<Network::FrameLink>(
        Loop, this->Settings.Daemons[I], this->Settings.Key,
        std::move(Handle)));
  }
}

std::size_t StateClient::aliveCount() const {
  return std::count_if(this->Links.begin(), this->Links.end(),
                       [](const auto &Link) { return Link->alive(); });
}

bool StateClient::leaderless() const {
  return this->RefusedSince && this->Loop.now() - *this->RefusedSince >
                                   this->Settings.LeaderlessAfter;
}

void StateClient::noteRefusal() {
  if (!this->RefusedSince)
    this->RefusedSince = this->Loop.now();
}

void StateClient::ask(QuestionBody Body, Common::Duration Limit,
                      OnAnswer Done) {
  auto Asked = std::make_shared<Pending>();
  Asked->Body = std::move(Body);
  Asked->Done = std::move(Done);
  Asked->EndsAt = this->Loop.now() + Limit;
  this->attempt(Asked);
}

void StateClient::askAny(QuestionBody Body, Common::Duration Limit,
                         OnAnswer Done) {
  auto Asked = std::make_shared<Pending>();
  Asked->Body = std::move(Body);
  Asked->Done = std::move(Done);
  Asked->EndsAt = this->Loop.now() + Limit;
  Asked->OnlyOnce = true;
  this->attempt(Asked);
}

void StateClient::watch(OnConfiguration OnChange) {
  this->Changed = std::move(OnChange);
  for (std::size_t I = 0; I < this->Links.size(); ++I)
    if (this->Links[I]->up())
      this->linkUp(I);
}

std::size_t StateClient::chooseLink() {
  for (std::size_t I = 0; I < this->Links.size(); ++I) {
    const std::size_t Candidate = (this->Preferred + I) % this->Links.size();
    if (this->Links[Candidate]->alive())
      return Candidate;
  }
  return this->Links.size();
}

void StateClient::attempt(const PendingPtr &Asked) {
  const Common::TimePoint Now = this->Loop.now();
  const bool Hopeless = this->leaderless() && !Asked->MaybeDone &&
                        Asked->Refusals >= this->aliveCount();
  if (Now >= Asked->EndsAt || Hopeless) {
    const AskFailure Failure =
        Asked->MaybeDone ? AskFailure::MaybeDone : AskFailure::NothingDone;
    this->Loop.defer([this, Asked, Failure] { this->finish(Asked, Failure); });
    return;
  }
  const std::size_t Link = this->chooseLink();
  if (Link >= this->Links.size()) {
    this->noteRefusal();
    this->retryAfter(Asked, this->Settings.RetryDelay);
    return;
  }
  this->Last = Correlation{this->Last.Value + 1};
  Asked->Current = this->Last;
  Asked->Link = Link;
  Question Carrier{Asked->Current, Asked->Body};
  const bool Sent =
      this->Links[Link]->send(Network::encode(Frame(std::move(Carrier))));
  if (!Sent) {
    this->retryAfter(Asked, this->Settings.RetryDelay);
    return;
  }
  this->Waiting[Asked->Current] = Asked;
  const Common::Duration Limit =
      std::min(this->Settings.AttemptLimit, Asked->EndsAt - Now);
  Asked->Timer =
      this->Loop.callAfter(Limit, [this, Asked] { this->expire(Asked); });
}

void StateClient::expire(const PendingPtr &Asked) {
  this->Waiting.erase(Asked->Current);
  Asked->MaybeDone = true;
  Asked->Refusals = 0;
  this->Metrics.recordRetry(Common::RetryReason::StateTimeout);
  if (!this->Links.empty())
    this->Preferred = (Asked->Link + 1) % this->Links.size();
  if (Asked->OnlyOnce)
    this->finish(Asked, AskFailure::MaybeDone);
  else
    this->attempt(Asked);
}

void StateClient::retryAfter(const PendingPtr &Asked, Common::Duration Delay) {
  Asked->Timer =
      this->Loop.callAfter(Delay, [this, Asked] { this->attempt(Asked); });
}

void StateClient::finish(const PendingPtr &Asked, AskResult Result) {
  if (Asked->Finished)
    return;
  Asked->Finished = true;
  Asked->Timer.cancel();
  Asked->Done(std::move(Result));
}

void StateClient::received(std::size_t From, const std::string &Payload) {

  auto Given = Network::decode<Frame>(Payload);
  if (!Given.ok() || !std::holds_alternative<Answer>(*Given)) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  this->answered(From, std::get<Answer>(*Given));
}

void StateClient::answered(std::size_t From, const Answer &Given) {
  if (const auto *Pushed = std::get_if<ConfigurationAnswer>(&Given.Body);
      Pushed && Given.Correlation.Value == 0) {
    if (Pushed->Newer && this->Changed)
      this->Changed(*Pushed->Newer);
    return;
  }
  const auto Found = this->Waiting.find(Given.Correlation);
  if (Found == this->Waiting.end())
    return;
  const PendingPtr Asked = Found->second;
  this->Waiting.erase(Found);
  Asked->Timer.cancel();
  const bool Refused = std::holds_alternative<NoQuorum>(Given.Body);
  const auto *Elsewhere = std::get_if<NotLeader>(&Given.Body);
  const bool Open = std::holds_alternative<OutcomeUnknown>(Given.Body);
  if (!Refused && !Elsewhere && !Open) {
    const bool FromLeader =
        !std::holds_alternative<ConfigurationAnswer>(Given.Body);
    if (FromLeader) {
      this->Preferred = From;
      this->RefusedSince.reset();
    }
    this->finish(Asked, Given.Body);
    return;
  }
  this->Metrics.recordRetry(Common::RetryReason::StateLeaderMoved);
  Asked->MaybeDone = Asked->MaybeDone || Open;
  ++Asked->Refusals;
  this->noteRefusal();
  const bool Redirected = Elsewhere && this->redirect(*Elsewhere);
  if (!Redirected)
    this->Preferred = (From + 1) % this->Links.size();
  if (Asked->OnlyOnce)
    this->finish(Asked, Given.Body);
  else
    this->retryAfter(Asked,
                     Redirected ? RedirectDelay : this->Settings.RetryDelay);
}

bool StateClient::redirect(const NotLeader &Hint) {
  for (std::size_t I = 0; I < this->Links.size(); ++I) {
    if (this->Links[I]->peer() != Hint.Leader || !this->Links[I]->up())
      continue;
    this->Preferred = I;
    return true;
  }
  return false;
}

void StateClient::linkUp(std::size_t Link) {

  if (!this->Changed)
    return;
  const Question Watch{Correlation(), WatchConfiguration{}};
  this->Links[Link]->send(Network::encode(Frame(Watch)));
}

void StateClient::linkDown(std::size_t Link) {
  std::vector<PendingPtr> Lost;
  for (const auto &[Id, Asked] : this->Waiting)
    if (Asked->Link == Link)
      Lost.push_back(Asked);
  for (const PendingPtr &Asked : Lost)
    this->expire(Asked);
}

} // namespace State
