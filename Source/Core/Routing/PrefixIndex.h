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
  void sent(const std::vector<BlockHash> &Blocks);
  /// Late or repeated events are skipped; after a gap the index is doubtful
  /// until the server's events run on without one.
  void learn(const std::vector<Membership::CacheEvent> &Events);
  /// The server lost its cache.
  void clear();

  /// Leading blocks of the prompt that are probably cached; none while
  /// doubtful.
  std::size_t matched(const std::vector<BlockHash> &Blocks) const;
  bool doubtful() const { return this->DoubtfulEvents > 0; }
  std::size_t size() const { return this->Places.size(); }

private:
  /// Events without a gap after which the index is trusted again.
  static constexpr std::uint64_t EventsToTrust = 64;

  void touch(BlockHash Block);
  void drop(BlockHash Block);

  std::size_t Capacity;
  /// Latest use first.
  std::list<BlockHash> Order;
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> Places;
  std::uint64_t LastSequence = 0;
  std::uint64_t DoubtfulEvents = 0;
};

} // namespace Routing

#endif
