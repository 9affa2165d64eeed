#include "Routing/PrefixBlocks.h"

#include "Common/Hash.h"

namespace Routing {

std::vector<BlockHash> hashPrefixBlocks(std::string_view Prompt) {
  std::vector<BlockHash> Blocks;
  BlockHash Previous = 0;
  for (std::size_t At = 0; At + BlockBytes <= Prompt.size(); At += BlockBytes) {
    Previous = Common::hashBytes(Prompt.substr(At, BlockBytes), Previous);
    Blocks.push_back(Previous);
  }
  return Blocks;
}

std::uint64_t estimateTokens(std::size_t Bytes) {
  return (Bytes + BytesPerToken - 1) / BytesPerToken;
}

} // namespace Routing
