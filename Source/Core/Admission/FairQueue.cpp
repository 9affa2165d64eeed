#include "Admission/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr double LeastWeight = 0.001;

} // namespace

double FairQueue::CallerQueue::usedBy(Common::TimePoint Now) const {
  const Common::Duration Since =
      std::max(Now - this->UsedAt, Common::Duration(0));
  return this->Used *
         std::exp2(-Common::toSeconds(Since) / Common::toSeconds(UseHalfLife));
}

void FairQueue::CallerQueue::addUse(double Units, Common::TimePoint Now) {
  this->Used = this->usedBy(Now) + Units;
  this->UsedAt = std::max(this->UsedAt, Now);
}

FairQueue::CallerQueue &FairQueue::touch(const WaitingRequest &Added) {
  CallerQueue &Queue = this->Callers[Added.Caller];
  Queue.Weight = std::max(Added.CallerWeight, LeastWeight);
  Queue.Queued.Value += Added.Cost.Value;
  this->Total.Value += Added.Cost.Value;
  ++this->Count;
  this->Active.insert(Added.Caller);
  return Queue;
}

void FairQueue::push(const WaitingRequest &Added) {
  this->touch(Added).Waiting.push_back(Added);
}

void FairQueue::pushFront(const WaitingRequest &Added) {
  this->touch(Added).Waiting.push_front(Added);
}

void FairQueue::takeOut(const Common::CallerId &Caller, CallerQueue &Queue,
                        std::size_t Position) {
  const auto Which =
      Queue.Waiting.begin() + static_cast<std::ptrdiff_t>(Position);
  Queue.Queued.Value -= Which->Cost.Value;
  this->Total.Value -= Which->Cost.Value;
  --this->Count;
  Queue.Waiting.erase(Which);
  if (Queue.Waiting.empty())
    this->Active.erase(Caller);
}

void FairQueue::charge(const Common::CallerId &Caller, Cost Used,
                       Common::TimePoint Now) {
  this->Callers[Caller].addUse(static_cast<double>(Used.Value), Now);
}

const Common::CallerId *FairQueue::leastServed(Common::TimePoint Now) const {
  const Common::CallerId *Least = nullptr;
  double LeastUse = 0;
  for (const Common::CallerId &Caller : this->Active) {
    const CallerQueue &Queue = this->Callers.at(Caller);
    const double Use = Queue.usedBy(Now) / Queue.Weight;
    if (Least && Use >= LeastUse)
      continue;
    Least = &Caller;
    LeastUse = Use;
  }
  return Least;
}

const WaitingRequest *FairQueue::front(Common::TimePoint Now) const {
  const Common::CallerId *Caller = this->leastServed(Now);
  return Caller ? &this->Callers.at(*Caller).Waiting.front() : nullptr;
}

WaitingRequest FairQueue::pop(Common::TimePoint Now) {
  const Common::CallerId Caller = *this->leastServed(Now);
  CallerQueue &Queue = this->Callers.at(Caller);
  WaitingRequest Taken = Queue.Waiting.front();
  this->takeOut(Caller, Queue, 0);
  Queue.addUse(static_cast<double>(Taken.Cost.Value), Now);
  return Taken;
}

bool FairQueue::remove(Common::RequestId Id) {
  for (auto &[Caller, Queue] : this->Callers) {
    const auto Found =
        std::find_if(Queue.Waiting.begin(), Queue.Waiting.end(),
                     [&](const WaitingRequest &Each) { return Each.Id == Id; });
    if (Found == Queue.Waiting.end())
      continue;
    this->takeOut(Caller, Queue,
                  static_cast<std::size_t>(Found - Queue.Waiting.begin()));
    return true;
  }
  return false;
}

std::vector<WaitingRequest> FairQueue::takeExpired(Common::TimePoint Now) {
  std::vector<WaitingRequest> Expired;
  const std::set<Common::CallerId> Waiting = this->Active;
  for (const Common::CallerId &Caller : Waiting) {
    CallerQueue &Queue = this->Callers.at(Caller);
    // One caller's requests wait in the order of their deadlines.
    while (!Queue.Waiting.empty() && Queue.Waiting.front().Deadline <= Now) {
      Expired.push_back(Queue.Waiting.front());
      this->takeOut(Caller, Queue, 0);
    }
  }
  return Expired;
}

Cost FairQueue::workBefore(const Common::CallerId &Caller, Cost Added,
                           Common::TimePoint Now) const {
  const auto Own = this->Callers.find(Caller);
  const CallerQueue Mine =
      Own == this->Callers.end() ? CallerQueue() : Own->second;
  const auto Queued = static_cast<double>(Mine.Queued.Value);
  // Others are served until their use for each unit of weight is as large as
  // this caller's will be.
  const double Level =
      (Mine.usedBy(Now) + Queued + static_cast<double>(Added.Value)) /
      Mine.Weight;
  double Before = Queued;
  for (const Common::CallerId &Other : this->Active) {
    if (Other == Caller)
      continue;
    const CallerQueue &Queue = this->Callers.at(Other);
    const double Ahead = Level * Queue.Weight - Queue.usedBy(Now);
    Before += std::clamp(Ahead, 0.0, static_cast<double>(Queue.Queued.Value));
  }
  return Cost{static_cast<std::uint64_t>(Before)};
}

} // namespace Admission
