#ifndef SYCAMOREREACH_ROUTING_PREFIXBLOCKS_H
#define SYCAMOREREACH_ROUTING_PREFIXBLOCKS_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace Routing {

/// Hash of a prompt from its start to the end of one block. Model engines
/// name the blocks of their caches by the same hash.
using BlockHash = std::uint64_t;

/// Bytes of prompt text in a block.
inline constexpr std::size_t BlockBytes = 256;
/// Bytes of text taken as one token where no tokenizer is at hand.
inline constexpr std::size_t BytesPerToken = 4;
inline constexpr std::size_t BlockTokens = BlockBytes / BytesPerToken;

/// The chained hashes of all whole blocks of a prompt.
std::vector<BlockHash> hashPrefixBlocks(std::string_view Prompt);

/// Tokens of a text of this size, rounded up.
std::uint64_t estimateTokens(std::size_t Bytes);

} // namespace Routing

#endif
