#include "PolicyBench/EngineModel.h"

#include <algorithm>

namespace PolicyBench {

void EngineModel::submit(const EngineJob &Job, Common::TimePoint Now) {
  if (this->Active.empty() && this->Queue.empty())
    this->LastAdvance = Now;
  this->Queue.push_back(Job);
  this->startQueued();
}

std::size_t EngineModel::countCachedBlocks(
    const std::vector<Routing::BlockHash> &Blocks) const {
  std::size_t Count = 0;
  while (Count < Blocks.size() && this->Cache.count(Blocks[Count]) != 0)
    ++Count;
  return Count;
}

void EngineModel::insertIntoCache(
    const std::vector<Routing::BlockHash> &Blocks) {
  for (auto Each = Blocks.rbegin(); Each != Blocks.rend(); ++Each) {
    const auto Cached = this->Cache.find(*Each);
    if (Cached != this->Cache.end())
      this->LruOrder.erase(Cached->second);
    else
      this->Events.push_back({++this->EventSequence, true, *Each});
    this->LruOrder.push_front(*Each);
    this->Cache[*Each] = this->LruOrder.begin();
  }
  while (this->Cache.size() > this->Options.CacheBlocks) {
    this->Events.push_back(
        {++this->EventSequence, false, this->LruOrder.back()});
    this->Cache.erase(this->LruOrder.back());
    this->LruOrder.pop_back();
  }
}

void EngineModel::startQueued() {
  while (!this->Queue.empty() && this->Active.size() < this->Options.Slots) {
    ActiveRequest Next;
    Next.Job = std::move(this->Queue.front());
    this->Queue.pop_front();
    const std::uint64_t CachedTokens = std::min<std::uint64_t>(
        this->countCachedBlocks(Next.Job.Blocks) * Routing::BlockTokens,
        Next.Job.PromptTokens);
    Next.RemainingPrefill = double(Next.Job.PromptTokens - CachedTokens);
    this->PrefillTokens += Next.Job.PromptTokens - CachedTokens;
    this->insertIntoCache(Next.Job.Blocks);
    this->Active.push_back(std::move(Next));
  }
}

std::vector<EngineModel::Event> EngineModel::advance(Common::TimePoint Now) {
  std::vector<Event> NewEvents;
  if (!this->Alive || Now <= this->LastAdvance)
    return NewEvents;
  double Elapsed = Common::toSeconds(Now - this->LastAdvance);
  this->LastAdvance = Now;
  for (ActiveRequest &Each : this->Active) {
    if (!Each.Job.Crashes)
      continue;
    NewEvents.push_back({Event::Kind::Crashed, Each.Job});
    return NewEvents;
  }
  // Prompts are processed one after another; output tokens of all streams are
  // generated in one batch.
  double PrefillBudget = Elapsed * this->Options.PrefillTokensPerSecond;
  const double Slowdown =
      1 + this->Options.SlowdownPerStream * double(this->Active.size());
  const double NewTokens =
      Elapsed / (Common::toSeconds(this->Options.TokenInterval) * Slowdown);
  for (auto Each = this->Active.begin(); Each != this->Active.end();) {
    if (Each->RemainingPrefill > 0) {
      const double Processed = std::min(PrefillBudget, Each->RemainingPrefill);
      Each->RemainingPrefill -= Processed;
      PrefillBudget -= Processed;
      ++Each;
      continue;
    }
    Each->GeneratedTokens += NewTokens;
    if (!Each->FirstTokenSent && Each->GeneratedTokens >= 1) {
      Each->FirstTokenSent = true;
      NewEvents.push_back({Event::Kind::FirstToken, Each->Job});
    }
    if (Each->GeneratedTokens < double(Each->Job.RemainingTokens)) {
      ++Each;
      continue;
    }
    this->GeneratedTokens += Each->Job.RemainingTokens;
    NewEvents.push_back({Event::Kind::Finished, Each->Job});
    Each = this->Active.erase(Each);
  }
  this->startQueued();
  return NewEvents;
}

std::uint64_t EngineModel::cancel(std::size_t Daemon, Common::RequestId Id) {
  const auto Matches = [&](const EngineJob &Job) {
    return Job.Id == Id && Job.Daemon == Daemon;
  };
  std::erase_if(this->Queue, Matches);
  for (auto Each = this->Active.begin(); Each != this->Active.end(); ++Each) {
    if (!Matches(Each->Job))
      continue;
    const auto Generated = static_cast<std::uint64_t>(
        std::min(Each->GeneratedTokens, double(Each->Job.RemainingTokens)));
    this->Active.erase(Each);
    this->startQueued();
    return Generated;
  }
  return 0;
}

std::uint64_t EngineModel::progress(std::size_t Daemon,
                                    Common::RequestId Id) const {
  for (const ActiveRequest &Each : this->Active)
    if (Each.Job.Id == Id && Each.Job.Daemon == Daemon)
      return static_cast<std::uint64_t>(Each.GeneratedTokens);
  return 0;
}

std::vector<EngineJob> EngineModel::crash() {
  std::vector<EngineJob> Lost(this->Queue.begin(), this->Queue.end());
  for (const ActiveRequest &Each : this->Active)
    Lost.push_back(Each.Job);
  this->Queue.clear();
  this->Active.clear();
  this->Cache.clear();
  this->LruOrder.clear();
  this->Events.clear();
  this->EventSequence = 0;
  this->Alive = false;
  return Lost;
}

void EngineModel::restart() {
  this->Alive = true;
  ++this->Incarnation;
}

std::vector<Membership::CacheEvent> EngineModel::takeCacheEvents() {
  return std::exchange(this->Events, {});
}

} // namespace PolicyBench
