#ifndef SYCAMOREREACH_ROUTING_PREFIXINDEX_H
#define SYCAMOREREACH_ROUTING_PREFIXINDEX_H

#include "Membership/Announcement.h"
#include "Routing/PrefixBlocks.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Routing {

/// What one backend server's prefix cache probably holds: from the prompts
/// sent there, corrected by the server's cache events. The oldest blocks are
/// dropped as the server itself would.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t CapacityBlocks) : Capacity(CapacityBlocks) {}

  /// A prompt with these blocks was sent to the server.
  void recordPrompt(const std::vector<BlockHash> &Blocks);
  /// Late or repeated events are skipped; after a gap the index is doubtful
  /// until the server's events run on without one.
  void applyEvents(const std::vector<Membership::CacheEvent> &Events);
  /// The server lost its cache.
  void clear();

  /// Leading blocks of the prompt that are probably cached; none while
  /// doubtful.
  std::size_t countMatched(const std::vector<BlockHash> &Blocks) const;
  bool isUncertain() const { return this->RemainingUntrustedEvents > 0; }
  std::size_t size() const { return this->Positions.size(); }

private:
  /// Events without a gap after which the index is trusted again.
  static constexpr std::uint64_t EventsUntilTrusted = 64;

  void markUsed(BlockHash Block);
  void eraseBlock(BlockHash Block);

  std::size_t Capacity;
  /// Latest use first.
  std::list<BlockHash> LruOrder;
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> Positions;
  std::uint64_t LastSequence = 0;
  std::uint64_t RemainingUntrustedEvents = 0;
};

} // namespace Routing

#endif
