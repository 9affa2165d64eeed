#include "Routing/PrefixIndex.h"

namespace Routing {

void PrefixIndex::markUsed(BlockHash Block) {
  this->eraseBlock(Block);
  this->LruOrder.push_front(Block);
  this->Positions[Block] = this->LruOrder.begin();
  while (this->Positions.size() > this->Capacity) {
    this->Positions.erase(this->LruOrder.back());
    this->LruOrder.pop_back();
  }
}

void PrefixIndex::eraseBlock(BlockHash Block) {
  const auto Found = this->Positions.find(Block);
  if (Found == this->Positions.end())
    return;
  this->LruOrder.erase(Found->second);
  this->Positions.erase(Found);
}

void PrefixIndex::recordPrompt(const std::vector<BlockHash> &Blocks) {
  // Blocks are marked in reverse, so that the end of a prompt is evicted before
  // its beginning.
  for (auto Each = Blocks.rbegin(); Each != Blocks.rend(); ++Each)
    this->markUsed(*Each);
}

void PrefixIndex::applyEvents(
    const std::vector<Membership::CacheEvent> &Events) {
  for (const Membership::CacheEvent &Event : Events) {
    if (Event.Sequence <= this->LastSequence)
      continue;
    const bool Gap =
        this->LastSequence != 0 && Event.Sequence != this->LastSequence + 1;
    if (Gap)
      this->RemainingUntrustedEvents = EventsUntilTrusted;
    else if (this->RemainingUntrustedEvents > 0)
      --this->RemainingUntrustedEvents;
    this->LastSequence = Event.Sequence;
    if (Event.Stored)
      this->markUsed(Event.Block);
    else
      this->eraseBlock(Event.Block);
  }
}

void PrefixIndex::clear() {
  this->LruOrder.clear();
  this->Positions.clear();
  this->LastSequence = 0;
  this->RemainingUntrustedEvents = 0;
}

std::size_t
PrefixIndex::countMatched(const std::vector<BlockHash> &Blocks) const {
  if (this->isUncertain())
    return 0;
  std::size_t Count = 0;
  while (Count < Blocks.size() && this->Positions.count(Blocks[Count]) != 0)
    ++Count;
  return Count;
}

} // namespace Routing
