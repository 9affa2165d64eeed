#ifndef SYCAMOREREACH_ROUTING_PREFIXINDEX_H
#define SYCAMOREREACH_ROUTING_PREFIXINDEX_H

#include "Membership/Announcement.h"
#include "Routing/PrefixBlocks.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Estimated contents of a backend server's prefix cache: derived from the
/// prompts sent to it and corrected by its cache events. Evicts the least
/// recently used blocks, as the server does.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t CapacityBlocks) : Capacity(CapacityBlocks) {}

  /// Records that a prompt with these blocks was sent to the server.
  void recordPrompt(const std::vector<BlockHash> &Blocks);
  /// Applies the server's cache events and skips late or repeated ones. After a
  /// gap in the sequence the index is uncertain until enough events have
  /// followed without another gap.
  void applyEvents(const std::vector<Membership::CacheEvent> &Events);
  /// Clears the index after the server has lost its cache.
  void clear();

  /// Number of leading blocks of the prompt that are probably cached; 0 while
  /// the index is uncertain.
  std::size_t countMatched(const std::vector<BlockHash> &Blocks) const;
  bool isUncertain() const { return this->RemainingUntrustedEvents > 0; }
  std::size_t size() const { return this->Positions.size(); }

private:
  /// Consecutive events after a gap that make the index reliable again.
  static constexpr std::uint64_t EventsUntilTrusted = 64;

  void markUsed(BlockHash Block);
  void eraseBlock(BlockHash Block);

  std::size_t Capacity;
  /// Most recently used first.
  std::list<BlockHash> LruOrder;
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> Positions;
  std::uint64_t LastSequence = 0;
  std::uint64_t RemainingUntrustedEvents = 0;
};

} // namespace Routing

#endif
