#include "Journal/RequestJournal.h"

#include <algorithm>

namespace Journal {

namespace {

/// Bounds the work that one command may cause.
constexpr int MaxExpiriesPerCommand = 64;

bool isFinished(RequestState State) {
  return State == RequestState::Completed || State == RequestState::Unknown ||
         State == RequestState::NotRun;
}

} // namespace

const char *requestStateName(RequestState State) {
  switch (State) {
  case RequestState::Accepted:
    return "accepted";
  case RequestState::Claimed:
    return "claimed";
  case RequestState::Completed:
    return "completed";
  case RequestState::NotRun:
    return "not_run";
  case RequestState::Unknown:
    return "unknown";
  }
  return "unknown";
}

RequestJournal::Request *RequestJournal::lookUp(const RequestKey &Key) {
  const auto Found = this->Requests.find(Key);
  return Found == this->Requests.end() ? nullptr : &Found->second;
}

JournalResult RequestJournal::conflict(const Request &Found) const {
  return {JournalVerdict::Conflict, Found.View};
}

JournalResult RequestJournal::done(const Request &Found) const {
  return {JournalVerdict::Done, Found.View};
}

void RequestJournal::advance(Common::WallTime Stamp) {
  // Clocks of successive leaders differ; journal time only moves forward.
  this->Now = std::max(this->Now, Stamp);
  for (int I = 0; I < MaxExpiriesPerCommand && !this->Expiries.empty(); ++I) {
    const Expiry First = *this->Expiries.begin();
    if (First.At > this->Now)
      return;
    this->Expiries.erase(this->Expiries.begin());
    Request *Found = this->lookUp(First.Key);
    if (!Found || !isFinished(Found->View.State) ||
        Found->ExpiresAt != First.At)
      continue;
    if (!Found->View.Answer) {
      this->Requests.erase(First.Key);
      continue;
    }
    this->dropAnswer(*Found);
    this->expireAfter(First.Key, *Found,
                      Found->KeepMilliseconds * (RememberFactor - 1));
  }
}

void RequestJournal::expireAfter(const RequestKey &Key, Request &Found,
                                 std::uint64_t Milliseconds) {
  Found.ExpiresAt = Common::WallTime{this->Now.Milliseconds + Milliseconds};
  this->Expiries.insert({Found.ExpiresAt, Key});
}

void RequestJournal::dropAnswer(Request &Found) {
  if (Found.View.Answer)
    this->AnswerBytes -= Found.View.Answer->Body.size();
  Found.View.Answer.reset();
}

JournalResult RequestJournal::apply(const AcceptCommand &Command) {
  if (Request *Known = this->lookUp(Command.Key)) {
    if (Known->View.Fingerprint != Command.Fingerprint)
      return {JournalVerdict::KeyReused, std::nullopt};
    const bool Repeat = Known->View.State == RequestState::Accepted &&
                        Known->View.Owner == Command.Owner &&
                        Known->View.Runner == Command.Runner;
    if (Repeat)
      return this->done(*Known);
    if (Known->View.State != RequestState::NotRun)
      return {JournalVerdict::Existing, Known->View};
    // It provably never ran, so this is its first run.
    Known->View.State = RequestState::Accepted;
    Known->View.Owner = Command.Owner;
    Known->View.Runner = Command.Runner;
    Known->TakenFrom = Common::DaemonId();
    Known->Content = Command.Content;
    this->Unfinished[Command.Owner].insert(Command.Key);
    return this->done(*Known);
  }
  if (this->Requests.size() >= MaxRequests)
    return {JournalVerdict::Full, std::nullopt};
  Request &Added = this->Requests[Command.Key];
  Added.View.Owner = Command.Owner;
  Added.View.Runner = Command.Runner;
  Added.View.Fingerprint = Command.Fingerprint;
  Added.Content = Command.Content;
  Added.KeepMilliseconds = Command.KeepMilliseconds;
  this->Unfinished[Command.Owner].insert(Command.Key);
  return this->done(Added);
}

JournalResult RequestJournal::apply(const ClaimCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalVerdict::NotFound, std::nullopt};
  RequestView &View = Found->View;
  const bool SameOwner = View.Owner == Command.Owner;
  const bool Repeat = View.State == RequestState::Claimed && SameOwner &&
                      View.Attempt == Command.Attempt &&
                      View.Runner == Command.Runner &&
                      View.BackendServer == Command.BackendServer;
  if (Repeat)
    return this->done(*Found);
  const bool Next = Command.Attempt.Value == View.Attempt.Value + 1;
  if (View.State != RequestState::Accepted || !SameOwner || !Next)
    return this->conflict(*Found);
  View.State = RequestState::Claimed;
  View.Attempt = Command.Attempt;
  View.Runner = Command.Runner;
  View.BackendServer = Command.BackendServer;
  return this->done(*Found);
}

JournalResult RequestJournal::apply(const ReleaseCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalVerdict::NotFound, std::nullopt};
  RequestView &View = Found->View;
  if (View.Owner != Command.Owner || View.Attempt != Command.Attempt)
    return this->conflict(*Found);
  if (View.State == RequestState::Accepted)
    return this->done(*Found);
  if (View.State != RequestState::Claimed)
    return this->conflict(*Found);
  View.State = RequestState::Accepted;
  View.BackendServer = Common::BackendServerId();
  return this->done(*Found);
}

JournalResult RequestJournal::apply(const CompleteCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalVerdict::NotFound, std::nullopt};
  RequestView &View = Found->View;
  if (View.Attempt != Command.Attempt)
    return this->conflict(*Found);
  if (View.State == RequestState::Completed)
    return this->done(*Found);
  const bool MayComplete = View.State == RequestState::Claimed ||
                           View.State == RequestState::Unknown;
  if (!MayComplete)
    return this->conflict(*Found);
  if (Command.Answer.Body.size() <= MaxAnswerBytes) {
    View.Answer = Command.Answer;
    this->AnswerBytes += Command.Answer.Body.size();
  }
  this->finish(Command.Key, *Found, RequestState::Completed);
  return this->done(*Found);
}

JournalResult RequestJournal::apply(const MarkUnknownCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalVerdict::NotFound, std::nullopt};
  RequestView &View = Found->View;
  const bool Mine =
      View.State == RequestState::Claimed && View.Attempt == Command.Attempt;
  if (!Mine)
    return this->conflict(*Found);
  this->finish(Command.Key, *Found, RequestState::Unknown);
  return this->done(*Found);
}

JournalResult RequestJournal::apply(const WithdrawCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalVerdict::NotFound, std::nullopt};
  const RequestView &View = Found->View;
  if (View.State == RequestState::NotRun)
    return this->done(*Found);
  if (View.State != RequestState::Accepted || View.Owner != Command.Owner)
    return this->conflict(*Found);
  this->finish(Command.Key, *Found, RequestState::NotRun);
  return this->done(*Found);
}

TakeOverResult RequestJournal::apply(const TakeOverCommand &Command) {
  TakeOverResult Result;
  this->listTaken(Command, Result);
  const Owner First{Command.From, Common::Incarnation{0}};
  auto Each = this->Unfinished.lower_bound(First);
  while (Each != this->Unfinished.end() && Each->first.Daemon == Command.From &&
         Each->first.Life <= Command.UpTo && Each->first != Command.To) {
    const Owner Dead = Each->first;
    const std::set<RequestKey> Keys = Each->second;
    for (const RequestKey &Key : Keys) {
      if (Result.Taken.size() >= MaxTakenAtOnce) {
        Result.More = true;
        return Result;
      }
      Request &Found = this->Requests.at(Key);
      if (Found.View.State == RequestState::Claimed) {
        this->finish(Key, Found, RequestState::Unknown);
        continue;
      }
      this->Unfinished[Dead].erase(Key);
      Found.View.Owner = Command.To;
      Found.View.Runner = Common::RequestId();
      Found.TakenFrom = Command.From;
      this->Unfinished[Command.To].insert(Key);
      Result.Taken.push_back({Key, Found.View.Attempt, Found.Content});
    }
    this->Unfinished.erase(Dead);
    Each = this->Unfinished.lower_bound(First);
  }
  return Result;
}

void RequestJournal::listTaken(const TakeOverCommand &Command,
                               TakeOverResult &Result) const {
  // A repeated command must show what its first copy moved.
  const auto Held = this->Unfinished.find(Command.To);
  if (Held == this->Unfinished.end())
    return;
  for (const RequestKey &Key : Held->second) {
    const Request &Found = this->Requests.at(Key);
    if (Found.TakenFrom == Command.From &&
        Found.View.State == RequestState::Accepted)
      Result.Taken.push_back({Key, Found.View.Attempt, Found.Content});
  }
}

void RequestJournal::finish(const RequestKey &Key, Request &Found,
                            RequestState State) {
  Found.View.State = State;
  const auto Held = this->Unfinished.find(Found.View.Owner);
  if (Held != this->Unfinished.end()) {
    Held->second.erase(Key);
    if (Held->second.empty())
      this->Unfinished.erase(Held);
  }
  Found.Content.Body.clear();
  Found.Content.Headers.clear();
  // Without an answer to drop first, the request itself is what expires.
  const std::uint64_t Factor = Found.View.Answer ? 1 : RememberFactor;
  this->expireAfter(Key, Found, Found.KeepMilliseconds * Factor);
}

JournalResult RequestJournal::find(const RequestKey &Key) const {
  const auto Found = this->Requests.find(Key);
  if (Found == this->Requests.end())
    return {JournalVerdict::NotFound, std::nullopt};
  return this->done(Found->second);
}

RequestJournal::Counts RequestJournal::counts() const {
  Counts Result;
  Result.Requests = this->Requests.size();
  for (const auto &Each : this->Unfinished)
    Result.Unfinished += Each.second.size();
  Result.AnswerBytes = this->AnswerBytes;
  return Result;
}

} // namespace Journal
