#include "PolicyBench/EngineModel.h"

#include <algorithm>

namespace PolicyBench {

void EngineModel::submit(const EngineJob &Job, Common::TimePoint Now) {
  if (this->Active.empty() && this->Queue.empty())
    this->AdvancedTo = Now;
  this->Queue.push_back(Job);
  this->begin();
}

std::size_t
EngineModel::cached(const std::vector<Routing::BlockHash> &Blocks) const {
  std::size_t Count = 0;
  while (Count < Blocks.size() && this->Cache.count(Blocks[Count]) != 0)
    ++Count;
  return Count;
}

void EngineModel::store(const std::vector<Routing::BlockHash> &Blocks) {
  for (auto Each = Blocks.rbegin(); Each != Blocks.rend(); ++Each) {
    const auto Known = this->Cache.find(*Each);
    if (Known != this->Cache.end())
      this->Order.erase(Known->second);
    else
      this->Events.push_back({++this->EventSequence, true, *Each});
    this->Order.push_front(*Each);
    this->Cache[*Each] = this->Order.begin();
  }
  while (this->Cache.size() > this->Rules.CacheBlocks) {
    this->Events.push_back({++this->EventSequence, false, this->Order.back()});
    this->Cache.erase(this->Order.back());
    this->Order.pop_back();
  }
}

void EngineModel::begin() {
  while (!this->Queue.empty() && this->Active.size() < this->Rules.Slots) {
    Stream Next;
    Next.Job = std::move(this->Queue.front());
    this->Queue.pop_front();
    const std::uint64_t Hit = std::min<std::uint64_t>(
        this->cached(Next.Job.Blocks) * Routing::BlockTokens,
        Next.Job.PromptTokens);
    Next.PrefillLeft = double(Next.Job.PromptTokens - Hit);
    this->PrefillTokens += Next.Job.PromptTokens - Hit;
    this->store(Next.Job.Blocks);
    this->Active.push_back(std::move(Next));
  }
}

std::vector<EngineModel::Event> EngineModel::advance(Common::TimePoint Now) {
  std::vector<Event> Happened;
  if (!this->Alive || Now <= this->AdvancedTo)
    return Happened;
  double Span = Common::toSeconds(Now - this->AdvancedTo);
  this->AdvancedTo = Now;
  for (Stream &Each : this->Active) {
    if (!Each.Job.Crashes)
      continue;
    Happened.push_back({Event::Kind::Crashed, Each.Job});
    return Happened;
  }
  // Prompts are worked off one after the other, tokens all together.
  double Prefill = Span * this->Rules.PrefillPerSecond;
  const double Slowdown =
      1 + this->Rules.SlowdownPerStream * double(this->Active.size());
  const double Tokens =
      Span / (Common::toSeconds(this->Rules.TokenTime) * Slowdown);
  for (auto Each = this->Active.begin(); Each != this->Active.end();) {
    if (Each->PrefillLeft > 0) {
      const double Part = std::min(Prefill, Each->PrefillLeft);
      Each->PrefillLeft -= Part;
      Prefill -= Part;
      ++Each;
      continue;
    }
    Each->TokensDone += Tokens;
    if (!Each->FirstSeen && Each->TokensDone >= 1) {
      Each->FirstSeen = true;
      Happened.push_back({Event::Kind::FirstToken, Each->Job});
    }
    if (Each->TokensDone < double(Each->Job.Tokens)) {
      ++Each;
      continue;
    }
    this->GeneratedTokens += Each->Job.Tokens;
    Happened.push_back({Event::Kind::Finished, Each->Job});
    Each = this->Active.erase(Each);
  }
  this->begin();
  return Happened;
}

std::uint64_t EngineModel::cancel(std::size_t Daemon, Common::RequestId Id) {
  const auto Same = [&](const EngineJob &Job) {
    return Job.Id == Id && Job.Daemon == Daemon;
  };
  std::erase_if(this->Queue, Same);
  for (auto Each = this->Active.begin(); Each != this->Active.end(); ++Each) {
    if (!Same(Each->Job))
      continue;
    const auto Done = static_cast<std::uint64_t>(
        std::min(Each->TokensDone, double(Each->Job.Tokens)));
    this->Active.erase(Each);
    this->begin();
    return Done;
  }
  return 0;
}

std::uint64_t EngineModel::progress(std::size_t Daemon,
                                    Common::RequestId Id) const {
  for (const Stream &Each : this->Active)
    if (Each.Job.Id == Id && Each.Job.Daemon == Daemon)
      return static_cast<std::uint64_t>(Each.TokensDone);
  return 0;
}

std::vector<EngineJob> EngineModel::crash() {
  std::vector<EngineJob> Lost(this->Queue.begin(), this->Queue.end());
  for (const Stream &Each : this->Active)
    Lost.push_back(Each.Job);
  this->Queue.clear();
  this->Active.clear();
  this->Cache.clear();
  this->Order.clear();
  this->Events.clear();
  this->EventSequence = 0;
  this->Alive = false;
  return Lost;
}

void EngineModel::restart() {
  this->Alive = true;
  ++this->Life;
}

std::vector<Membership::CacheEvent> EngineModel::takeCacheEvents() {
  return std::exchange(this->Events, {});
}

} // namespace PolicyBench
