#include "Journal/RequestJournal.h"

#include <algorithm>

namespace Journal {

namespace {

/// Limits the work that one command can cause.
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
  return {JournalStatus::Conflict, Found.View};
}

JournalResult RequestJournal::done(const Request &Found) const {
  return {JournalStatus::Done, Found.View};
}

void RequestJournal::advance(Common::WallTime Timestamp) {
  // The clocks of successive leaders differ; the journal's time is monotonic.
  this->Now = std::max(this->Now, Timestamp);
  for (int I = 0; I < MaxExpiriesPerCommand && !this->Expiries.empty(); ++I) {
    const Expiry First = *this->Expiries.begin();
    if (First.At > this->Now)
      return;
    this->Expiries.erase(this->Expiries.begin());
    Request *Found = this->lookUp(First.Key);
    if (!Found || !isFinished(Found->View.State) ||
        Found->ExpiresAt != First.At)
      continue;
    if (!Found->View.Response) {
      this->Requests.erase(First.Key);
      continue;
    }
    this->dropResponse(*Found);
    this->scheduleExpiry(First.Key, *Found,
                         Found->RetentionMilliseconds *
                             (RequestRetentionFactor - 1));
  }
}

void RequestJournal::scheduleExpiry(const RequestKey &Key, Request &Found,
                                    std::uint64_t Milliseconds) {
  Found.ExpiresAt = Common::WallTime{this->Now.Milliseconds + Milliseconds};
  this->Expiries.insert({Found.ExpiresAt, Key});
}

void RequestJournal::dropResponse(Request &Found) {
  if (Found.View.Response)
    this->ResponseBytes -= Found.View.Response->Body.size();
  Found.View.Response.reset();
}

JournalResult RequestJournal::apply(const AcceptCommand &Command) {
  if (Request *Known = this->lookUp(Command.Key)) {
    if (Known->View.Fingerprint != Command.Fingerprint)
      return {JournalStatus::KeyReused, std::nullopt};
    const bool Repeat = Known->View.State == RequestState::Accepted &&
                        Known->View.Owner == Command.Owner &&
                        Known->View.CallId == Command.CallId;
    if (Repeat)
      return this->done(*Known);
    if (Known->View.State != RequestState::NotRun)
      return {JournalStatus::Existing, Known->View};
    // The request was never sent, so this is its first execution.
    Known->View.State = RequestState::Accepted;
    Known->View.Owner = Command.Owner;
    Known->View.CallId = Command.CallId;
    Known->TakenOverFrom = Common::DaemonId();
    Known->Content = Command.Content;
    this->Unfinished[Command.Owner].insert(Command.Key);
    return this->done(*Known);
  }
  if (this->Requests.size() >= MaxRequests)
    return {JournalStatus::Full, std::nullopt};
  Request &Added = this->Requests[Command.Key];
  Added.View.Owner = Command.Owner;
  Added.View.CallId = Command.CallId;
  Added.View.Fingerprint = Command.Fingerprint;
  Added.Content = Command.Content;
  Added.RetentionMilliseconds = Command.RetentionMilliseconds;
  this->Unfinished[Command.Owner].insert(Command.Key);
  return this->done(Added);
}

JournalResult RequestJournal::apply(const ClaimCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalStatus::NotFound, std::nullopt};
  RequestView &View = Found->View;
  const bool SameOwner = View.Owner == Command.Owner;
  const bool Repeat = View.State == RequestState::Claimed && SameOwner &&
                      View.Attempt == Command.Attempt &&
                      View.CallId == Command.CallId &&
                      View.BackendServer == Command.BackendServer;
  if (Repeat)
    return this->done(*Found);
  const bool Next = Command.Attempt.Value == View.Attempt.Value + 1;
  if (View.State != RequestState::Accepted || !SameOwner || !Next)
    return this->conflict(*Found);
  View.State = RequestState::Claimed;
  View.Attempt = Command.Attempt;
  View.CallId = Command.CallId;
  View.BackendServer = Command.BackendServer;
  return this->done(*Found);
}

JournalResult RequestJournal::apply(const ReleaseCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalStatus::NotFound, std::nullopt};
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
    return {JournalStatus::NotFound, std::nullopt};
  RequestView &View = Found->View;
  if (View.Attempt != Command.Attempt)
    return this->conflict(*Found);
  if (View.State == RequestState::Completed)
    return this->done(*Found);
  const bool MayComplete = View.State == RequestState::Claimed ||
                           View.State == RequestState::Unknown;
  if (!MayComplete)
    return this->conflict(*Found);
  if (Command.Response.Body.size() <= MaxResponseBytes) {
    View.Response = Command.Response;
    this->ResponseBytes += Command.Response.Body.size();
  }
  this->finish(Command.Key, *Found, RequestState::Completed);
  return this->done(*Found);
}

JournalResult RequestJournal::apply(const MarkUnknownCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalStatus::NotFound, std::nullopt};
  RequestView &View = Found->View;
  const bool IsCurrentAttempt =
      View.State == RequestState::Claimed && View.Attempt == Command.Attempt;
  if (!IsCurrentAttempt)
    return this->conflict(*Found);
  this->finish(Command.Key, *Found, RequestState::Unknown);
  return this->done(*Found);
}

JournalResult RequestJournal::apply(const WithdrawCommand &Command) {
  Request *Found = this->lookUp(Command.Key);
  if (!Found)
    return {JournalStatus::NotFound, std::nullopt};
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
  this->listTakenOver(Command, Result);
  const Owner First{Command.From, Common::Incarnation{0}};
  auto Each = this->Unfinished.lower_bound(First);
  while (Each != this->Unfinished.end() && Each->first.Daemon == Command.From &&
         Each->first.Incarnation <= Command.MaxIncarnation &&
         Each->first != Command.To) {
    const Owner PreviousOwner = Each->first;
    const std::set<RequestKey> Keys = Each->second;
    for (const RequestKey &Key : Keys) {
      if (Result.Requests.size() >= MaxTakeOverBatch) {
        Result.HasMore = true;
        return Result;
      }
      Request &Found = this->Requests.at(Key);
      if (Found.View.State == RequestState::Claimed) {
        this->finish(Key, Found, RequestState::Unknown);
        continue;
      }
      this->Unfinished[PreviousOwner].erase(Key);
      Found.View.Owner = Command.To;
      Found.View.CallId = Common::RequestId();
      Found.TakenOverFrom = Command.From;
      this->Unfinished[Command.To].insert(Key);
      Result.Requests.push_back({Key, Found.View.Attempt, Found.Content});
    }
    this->Unfinished.erase(PreviousOwner);
    Each = this->Unfinished.lower_bound(First);
  }
  return Result;
}

void RequestJournal::listTakenOver(const TakeOverCommand &Command,
                                   TakeOverResult &Result) const {
  // A repeated command must return the requests that were moved by the first
  // one, as the result of the first may have been lost.
  const auto Keys = this->Unfinished.find(Command.To);
  if (Keys == this->Unfinished.end())
    return;
  for (const RequestKey &Key : Keys->second) {
    const Request &Found = this->Requests.at(Key);
    if (Found.TakenOverFrom == Command.From &&
        Found.View.State == RequestState::Accepted)
      Result.Requests.push_back({Key, Found.View.Attempt, Found.Content});
  }
}

void RequestJournal::finish(const RequestKey &Key, Request &Found,
                            RequestState State) {
  Found.View.State = State;
  const auto Keys = this->Unfinished.find(Found.View.Owner);
  if (Keys != this->Unfinished.end()) {
    Keys->second.erase(Key);
    if (Keys->second.empty())
      this->Unfinished.erase(Keys);
  }
  Found.Content.Body.clear();
  Found.Content.Headers.clear();
  // A retained response expires first, and the request later (see advance()).
  // Without a response the full retention of the request starts now.
  const std::uint64_t Factor = Found.View.Response ? 1 : RequestRetentionFactor;
  this->scheduleExpiry(Key, Found, Found.RetentionMilliseconds * Factor);
}

JournalResult RequestJournal::find(const RequestKey &Key) const {
  const auto Found = this->Requests.find(Key);
  if (Found == this->Requests.end())
    return {JournalStatus::NotFound, std::nullopt};
  return this->done(Found->second);
}

RequestJournal::Counts RequestJournal::counts() const {
  Counts Result;
  Result.Requests = this->Requests.size();
  for (const auto &Each : this->Unfinished)
    Result.Unfinished += Each.second.size();
  Result.ResponseBytes = this->ResponseBytes;
  return Result;
}

} // namespace Journal
