#include "Admission/FairQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Admission {

FairQueue::CallerQueue &FairQueue::touch(const WaitingRequest &Added) {
  CallerQueue &Queue = this->Callers[Added.Caller];
  Queue.Weight = std::max(Added.CallerWeight, 0.001);
  Queue.Queued.Value += Added.Cost.Value;
  this->Total.Value += Added.Cost.Value;
  ++this->Count;
  return Queue;
}

void FairQueue::activate(const Common::CallerId &Caller, CallerQueue &Queue) {
  if (Queue.Active)
    return;
  Queue.Active = true;
  // Credit is not saved up while idle; debt is kept.
  Queue.Credit = std::min(Queue.Credit, 0.0);
  this->Round.push_back(Caller);
}

void FairQueue::push(const WaitingRequest &Added) {
  CallerQueue &Queue = this->touch(Added);
  Queue.Waiting.push_back(Added);
  this->activate(Added.Caller, Queue);
}

void FairQueue::pushFront(const WaitingRequest &Added) {
  CallerQueue &Queue = this->touch(Added);
  Queue.Waiting.push_front(Added);
  this->activate(Added.Caller, Queue);
}

void FairQueue::forgetDebt(CallerQueue &Queue, Common::TimePoint Now) const {
  if (Queue.Credit < 0 && Now > Queue.CreditAt) {
    const double HalfLives = Common::toSeconds(Now - Queue.CreditAt) /
                             Common::toSeconds(DebtHalfLife);
    Queue.Credit *= std::exp2(-HalfLives);
  }
  Queue.CreditAt = Now;
}

void FairQueue::charge(const Common::CallerId &Caller, Cost Used,
                       Common::TimePoint Now) {
  CallerQueue &Queue = this->Callers[Caller];
  this->forgetDebt(Queue, Now);
  Queue.Credit -= static_cast<double>(Used.Value);
}

void FairQueue::giveCredit() {
  // As many whole rounds at once as it takes until one caller has credit.
  double Rounds = std::numeric_limits<double>::max();
  for (const Common::CallerId &Caller : this->Round) {
    const CallerQueue &Queue = this->Callers.at(Caller);
    const double Needed =
        std::floor(-Queue.Credit / (QuantumCost * Queue.Weight)) + 1;
    Rounds = std::min(Rounds, Needed);
  }
  for (const Common::CallerId &Caller : this->Round) {
    CallerQueue &Queue = this->Callers.at(Caller);
    Queue.Credit += Rounds * QuantumCost * Queue.Weight;
  }
}

const WaitingRequest *FairQueue::front(Common::TimePoint Now) {
  if (this->Round.empty())
    return nullptr;
  for (int Pass = 0; Pass < 2; ++Pass) {
    for (std::size_t I = 0; I < this->Round.size(); ++I) {
      CallerQueue &Queue = this->Callers.at(this->Round.front());
      Queue.CreditAt = Now;
      if (Queue.Credit > 0)
        return &Queue.Waiting.front();
      this->Round.splice(this->Round.end(), this->Round, this->Round.begin());
    }
    this->giveCredit();
  }
  return &this->Callers.at(this->Round.front()).Waiting.front();
}

WaitingRequest FairQueue::pop(Common::TimePoint Now) {
  this->front(Now);
  const Common::CallerId Caller = this->Round.front();
  CallerQueue &Queue = this->Callers.at(Caller);
  WaitingRequest Taken = std::move(Queue.Waiting.front());
  Queue.Waiting.pop_front();
  Queue.Queued.Value -= Taken.Cost.Value;
  Queue.Credit -= static_cast<double>(Taken.Cost.Value);
  this->Total.Value -= Taken.Cost.Value;
  --this->Count;
  this->deactivateIfEmpty(Caller, Queue);
  return Taken;
}

void FairQueue::deactivateIfEmpty(const Common::CallerId &Caller,
                                  CallerQueue &Queue) {
  if (!Queue.Waiting.empty() || !Queue.Active)
    return;
  Queue.Active = false;
  this->Round.remove(Caller);
}

bool FairQueue::remove(Common::RequestId Id) {
  for (auto &[Caller, Queue] : this->Callers) {
    const auto Found =
        std::find_if(Queue.Waiting.begin(), Queue.Waiting.end(),
                     [&](const WaitingRequest &Each) { return Each.Id == Id; });
    if (Found == Queue.Waiting.end())
      continue;
    Queue.Queued.Value -= Found->Cost.Value;
    this->Total.Value -= Found->Cost.Value;
    --this->Count;
    Queue.Waiting.erase(Found);
    this->deactivateIfEmpty(Caller, Queue);
    return true;
  }
  return false;
}

std::vector<WaitingRequest> FairQueue::takeExpired(Common::TimePoint Now) {
  std::vector<WaitingRequest> Expired;
  const std::vector<Common::CallerId> Active(this->Round.begin(),
                                             this->Round.end());
  for (const Common::CallerId &Caller : Active) {
    CallerQueue &Queue = this->Callers.at(Caller);
    // One caller's requests wait in the order of their deadlines.
    while (!Queue.Waiting.empty() && Queue.Waiting.front().Deadline <= Now) {
      const WaitingRequest &First = Queue.Waiting.front();
      Queue.Queued.Value -= First.Cost.Value;
      this->Total.Value -= First.Cost.Value;
      --this->Count;
      Expired.push_back(First);
      Queue.Waiting.pop_front();
    }
    this->deactivateIfEmpty(Caller, Queue);
  }
  return Expired;
}

Cost FairQueue::workBefore(const Common::CallerId &Caller, Cost Added) const {
  const auto Own = this->Callers.find(Caller);
  double Before = 0;
  double Weight = 1;
  double Debt = 0;
  if (Own != this->Callers.end()) {
    Weight = Own->second.Weight;
    Before = static_cast<double>(Own->second.Queued.Value);
    Debt = std::max(0.0, -Own->second.Credit);
  }
  // Others are served until their use per weight reaches this caller's. Debt
  // counts only against others: where nobody else waits it costs nothing.
  const double Mine = Before + static_cast<double>(Added.Value) + Debt;
  for (const Common::CallerId &Other : this->Round) {
    if (Other == Caller)
      continue;
    const CallerQueue &Queue = this->Callers.at(Other);
    const double Turn = Mine / Weight * Queue.Weight;
    const double Ahead = std::max(0.0, Turn + std::min(0.0, Queue.Credit));
    Before += std::min(static_cast<double>(Queue.Queued.Value), Ahead);
  }
  return Cost{static_cast<std::uint64_t>(Before)};
}

std::size_t FairQueue::sizeOf(const Common::CallerId &Caller) const {
  const auto Found = this->Callers.find(Caller);
  return Found == this->Callers.end() ? 0 : Found->second.Waiting.size();
}

std::optional<Common::TimePoint> FairQueue::earliestDeadline() const {
  std::optional<Common::TimePoint> Earliest;
  for (const Common::CallerId &Caller : this->Round) {
    const WaitingRequest &First = this->Callers.at(Caller).Waiting.front();
    if (!Earliest || First.Deadline < *Earliest)
      Earliest = First.Deadline;
  }
  return Earliest;
}

} // namespace Admission
