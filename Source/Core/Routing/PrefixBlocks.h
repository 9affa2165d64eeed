#ifndef SYCAMOREREACH_ROUTING_PREFIXBLOCKS_H
#define SYCAMOREREACH_ROUTING_PREFIXBLOCKS_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace Routing {

/// Hash of a prompt from its start to the end of one block. Inference engines
/// identify the blocks of their caches by the same hash.
using BlockHash = std::uint64_t;

/// Size of a block, in bytes of prompt text.
inline constexpr std::size_t BlockBytes = 256;
/// Assumed size of a token in bytes, used where no tokenizer is available.
inline constexpr std::size_t BytesPerToken = 4;
inline constexpr std::size_t BlockTokens = BlockBytes / BytesPerToken;

/// Returns the chained hashes of all complete blocks of a prompt.
std::vector<BlockHash> hashPrefixBlocks(std::string_view Prompt);

/// Estimated number of tokens in a text of this size, rounded up.
std::uint64_t estimateTokens(std::size_t Bytes);

} // namespace Routing

#endif
