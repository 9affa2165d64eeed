#include "Routing/PrefixIndex.h"

namespace Routing {

void PrefixIndex::touch(BlockHash Block) {
  this->drop(Block);
  this->Order.push_front(Block);
  this->Places[Block] = this->Order.begin();
  while (this->Places.size() > this->Capacity) {
    this->Places.erase(this->Order.back());
    this->Order.pop_back();
  }
}

void PrefixIndex::drop(BlockHash Block) {
  const auto Found = this->Places.find(Block);
  if (Found == this->Places.end())
    return;
  this->Order.erase(Found->second);
  this->Places.erase(Found);
}

void PrefixIndex::sent(const std::vector<BlockHash> &Blocks) {
  // The first block last, so that tails are dropped before heads.
  for (auto Each = Blocks.rbegin(); Each != Blocks.rend(); ++Each)
    this->touch(*Each);
}

void PrefixIndex::learn(const std::vector<Membership::CacheEvent> &Events) {
  for (const Membership::CacheEvent &Event : Events) {
    if (Event.Sequence <= this->LastSequence)
      continue;
    const bool Gap =
        this->LastSequence != 0 && Event.Sequence != this->LastSequence + 1;
    if (Gap)
      this->DoubtfulEvents = EventsToTrust;
    else if (this->DoubtfulEvents > 0)
      --this->DoubtfulEvents;
    this->LastSequence = Event.Sequence;
    if (Event.Stored)
      this->touch(Event.Block);
    else
      this->drop(Event.Block);
  }
}

void PrefixIndex::clear() {
  this->Order.clear();
  this->Places.clear();
  this->LastSequence = 0;
  this->DoubtfulEvents = 0;
}

std::size_t PrefixIndex::matched(const std::vector<BlockHash> &Blocks) const {
  if (this->doubtful())
    return 0;
  std::size_t Count = 0;
  while (Count < Blocks.size() && this->Places.count(Blocks[Count]) != 0)
    ++Count;
  return Count;
}

} // namespace Routing
