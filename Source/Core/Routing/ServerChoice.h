#ifndef SYCAMOREREACH_ROUTING_SERVERCHOICE_H
#define SYCAMOREREACH_ROUTING_SERVERCHOICE_H

#include "Routing/ServerPool.h"

#include <optional>
#include <vector>

namespace Routing {

/// The criteria for choosing a server.
struct ChoiceQuery {
  /// The prompt's prefix blocks; empty for plain services.
  std::vector<BlockHash> Blocks;
  /// Identifies the conversation, so that all daemons prefer the same server
  /// for it; 0 if there is none.
  std::uint64_t AffinityKey = 0;
  /// Servers on which this request has failed.
  std::set<Common::BackendServerId> Excluded;
  /// Servers that run suspect requests. Another suspect must not be sent to
  /// them, so that a crash can be attributed to one request.
  std::set<Common::BackendServerId> ServersRunningSuspects;
  bool Suspect = false;
  /// If set, the only server that may be chosen.
  std::optional<Common::BackendServerId> RequiredServer;
};

struct Choice {
  Common::BackendServerId Server;
  /// Leading prompt blocks that are probably cached on the server.
  std::size_t MatchedBlocks = 0;
};

/// Parameters of chooseServer.
struct ChoiceOptions {
  /// A preferred server is skipped if its utilization exceeds this many times
  /// the mean. Consistent hashing with bounded loads: V. Mirrokni, M. Thorup,
  /// M. Zadimoghaddam, SODA 2018.
  double LoadBound = 1.5;
  /// Minimum number of matched blocks for a server to be preferred for its
  /// cache.
  std::size_t MinMatchedBlocks = 2;
};

/// Chooses a server with free capacity: the one with the longest cached prefix,
/// otherwise the first in rendezvous order for the conversation (D. Thaler, C.
/// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN
/// 1998), both subject to the load bound, otherwise the least utilized one.
/// Servers of the local data centre take precedence. Returns nothing if no
/// eligible server has capacity.
std::optional<Choice> chooseServer(const ServerPool &Pool,
                                   const ChoiceQuery &Query,
                                   const ChoiceOptions &Options);

} // namespace Routing

#endif
