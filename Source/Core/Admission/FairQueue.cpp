#include "Admission/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr double MinWeight = 0.001;

} // namespace

double FairQueue::CallerQueue::usageAt(Common::TimePoint Now) const {
  const Common::Duration Since =
      std::max(Now - this->UsageUpdatedAt, Common::Duration(0));
  return this->Usage * std::exp2(-Common::toSeconds(Since) /
                                 Common::toSeconds(UsageHalfLife));
}

void FairQueue::CallerQueue::addUsage(double Units, Common::TimePoint Now) {
  this->Usage = this->usageAt(Now) + Units;
  this->UsageUpdatedAt = std::max(this->UsageUpdatedAt, Now);
}

FairQueue::CallerQueue &FairQueue::addToTotals(const WaitingRequest &Added) {
  CallerQueue &Queue = this->Callers[Added.Caller];
  Queue.Weight = std::max(Added.CallerWeight, MinWeight);
  Queue.QueuedCost.Value += Added.Cost.Value;
  this->TotalCost.Value += Added.Cost.Value;
  ++this->Count;
  this->WaitingCallers.insert(Added.Caller);
  return Queue;
}

void FairQueue::push(const WaitingRequest &Added) {
  this->addToTotals(Added).Waiting.push_back(Added);
}

void FairQueue::pushFront(const WaitingRequest &Added) {
  this->addToTotals(Added).Waiting.push_front(Added);
}

void FairQueue::removeAt(const Common::CallerId &Caller, CallerQueue &Queue,
                         std::size_t Position) {
  const auto Request =
      Queue.Waiting.begin() + static_cast<std::ptrdiff_t>(Position);
  Queue.QueuedCost.Value -= Request->Cost.Value;
  this->TotalCost.Value -= Request->Cost.Value;
  --this->Count;
  Queue.Waiting.erase(Request);
  if (Queue.Waiting.empty())
    this->WaitingCallers.erase(Caller);
}

void FairQueue::charge(const Common::CallerId &Caller, Cost Usage,
                       Common::TimePoint Now) {
  this->Callers[Caller].addUsage(static_cast<double>(Usage.Value), Now);
}

const Common::CallerId *
FairQueue::leastServedCaller(Common::TimePoint Now) const {
  const Common::CallerId *LeastServed = nullptr;
  double LowestUsage = 0;
  for (const Common::CallerId &Caller : this->WaitingCallers) {
    const CallerQueue &Queue = this->Callers.at(Caller);
    const double NormalizedUsage = Queue.usageAt(Now) / Queue.Weight;
    if (LeastServed && NormalizedUsage >= LowestUsage)
      continue;
    LeastServed = &Caller;
    LowestUsage = NormalizedUsage;
  }
  return LeastServed;
}

const WaitingRequest *FairQueue::front(Common::TimePoint Now) const {
  const Common::CallerId *Caller = this->leastServedCaller(Now);
  return Caller ? &this->Callers.at(*Caller).Waiting.front() : nullptr;
}

WaitingRequest FairQueue::pop(Common::TimePoint Now) {
  const Common::CallerId Caller = *this->leastServedCaller(Now);
  CallerQueue &Queue = this->Callers.at(Caller);
  WaitingRequest Request = Queue.Waiting.front();
  this->removeAt(Caller, Queue, 0);
  Queue.addUsage(static_cast<double>(Request.Cost.Value), Now);
  return Request;
}

bool FairQueue::remove(Common::RequestId Id) {
  for (auto &[Caller, Queue] : this->Callers) {
    const auto Found =
        std::find_if(Queue.Waiting.begin(), Queue.Waiting.end(),
                     [&](const WaitingRequest &Each) { return Each.Id == Id; });
    if (Found == Queue.Waiting.end())
      continue;
    this->removeAt(Caller, Queue,
                   static_cast<std::size_t>(Found - Queue.Waiting.begin()));
    return true;
  }
  return false;
}

std::vector<WaitingRequest> FairQueue::takeExpired(Common::TimePoint Now) {
  std::vector<WaitingRequest> Expired;
  const std::set<Common::CallerId> Snapshot = this->WaitingCallers;
  for (const Common::CallerId &Caller : Snapshot) {
    CallerQueue &Queue = this->Callers.at(Caller);
    // Stops at the first request that has not expired. Preempted, retried and
    // readmitted requests may have later deadlines than requests behind them;
    // those are then taken only after the earlier request has left the queue.
    while (!Queue.Waiting.empty() && Queue.Waiting.front().Deadline <= Now) {
      Expired.push_back(Queue.Waiting.front());
      this->removeAt(Caller, Queue, 0);
    }
  }
  return Expired;
}

Cost FairQueue::workAhead(const Common::CallerId &Caller, Cost Added,
                          Common::TimePoint Now) const {
  const auto Own = this->Callers.find(Caller);
  const CallerQueue OwnQueue =
      Own == this->Callers.end() ? CallerQueue() : Own->second;
  const auto QueuedCost = static_cast<double>(OwnQueue.QueuedCost.Value);
  // Other callers are served until their usage per unit of weight reaches that
  // of this caller after its own work.
  const double TargetUsage =
      (OwnQueue.usageAt(Now) + QueuedCost + static_cast<double>(Added.Value)) /
      OwnQueue.Weight;
  double TotalAhead = QueuedCost;
  for (const Common::CallerId &Other : this->WaitingCallers) {
    if (Other == Caller)
      continue;
    const CallerQueue &Queue = this->Callers.at(Other);
    const double WorkAhead = TargetUsage * Queue.Weight - Queue.usageAt(Now);
    TotalAhead +=
        std::clamp(WorkAhead, 0.0, static_cast<double>(Queue.QueuedCost.Value));
  }
  return Cost{static_cast<std::uint64_t>(TotalAhead)};
}

} // namespace Admission
