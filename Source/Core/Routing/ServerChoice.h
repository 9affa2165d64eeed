#ifndef SYCAMOREREACH_ROUTING_SERVERCHOICE_H
#define SYCAMOREREACH_ROUTING_SERVERCHOICE_H

#include "Routing/ServerPool.h"

#include <optional>
#include <vector>

namespace Routing {

/// What the choice of a server depends on.
struct ChoiceQuery {
  /// The prompt's prefix blocks; empty for plain services.
  std::vector<BlockHash> Blocks;
  /// Names the conversation, so that all daemons prefer the same server.
  std::uint64_t AffinityKey = 0;
  /// Servers that have failed this request.
  std::set<Common::BackendServerId> Excluded;
  /// Servers that run suspects; a suspect must not join them.
  std::set<Common::BackendServerId> ServersRunningSuspects;
  bool Suspect = false;
  /// The one server that may be chosen, if any.
  std::optional<Common::BackendServerId> RequiredServer;
};

struct Choice {
  Common::BackendServerId Server;
  /// Leading blocks that are probably cached there.
  std::size_t MatchedBlocks = 0;
};

/// Knobs of the choice.
struct ChoiceOptions {
  /// A preferred server is passed over when it runs more than this many
  /// times the mean of the open servers. Consistent hashing with bounded
  /// loads: V. Mirrokni, M. Thorup, M. Zadimoghaddam, SODA 2018.
  double LoadBound = 1.5;
  /// A known match counts from this many blocks on.
  std::size_t MinMatchedBlocks = 2;
};

/// Chooses a server that has room: the one with the longest cached prefix,
/// else the first in rendezvous order on the conversation (D. Thaler,
/// C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
/// IEEE/ACM ToN 1998), each under the load bound; servers of the own data
/// centre first. Nothing when no server has room.
std::optional<Choice> chooseServer(const ServerPool &Pool,
                                   const ChoiceQuery &Query,
                                   const ChoiceOptions &Options);

} // namespace Routing

#endif
