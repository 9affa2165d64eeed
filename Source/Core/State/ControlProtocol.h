#ifndef SYCAMOREREACH_STATE_CONTROLPROTOCOL_H
#define SYCAMOREREACH_STATE_CONTROLPROTOCOL_H

#include "Consensus/Membership.h"
#include "Consensus/Messages.h"
#include "Membership/ServerRecord.h"
#include "State/ControlState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Messages that state daemons of `sycamore-state control` exchange with entry
/// daemons and with each other, as frames over TCP.

namespace State {

/// Request of a state daemon to join the group.
struct JoinRequest {
  Consensus::Member Self;
  /// Whether a state daemon relayed the request. A relayed request is not
  /// relayed again.
  bool Relayed = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Self, this->Relayed);
  }
};

/// Heartbeat of a server whose record is unchanged except for its sequence
/// number.
struct ServerRefresh {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  std::uint64_t Sequence = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->StartedAt, this->Sequence);
  }
};

/// Changed records of the server registry. A new connection first receives all
/// records.
struct RegistryDelta {
  std::vector<Membership::ServerRecord> Changed;
  std::vector<ServerRefresh> Refreshed;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Changed, this->Refreshed);
  }
};

/// First message of an entry daemon on a connection.
struct EntryHello {
  Common::DaemonId Entry;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Entry); }
};

struct StateEndpoint {
  Network::Address Address;
  Common::DataCentreId DataCentre;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Address, this->DataCentre);
  }
};

/// The addresses of all state daemons of the group.
struct StateEndpoints {
  std::vector<StateEndpoint> Endpoints;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Endpoints); }
};

/// The current declaration, pushed to the entry daemons when it changes.
struct DeclarationPush {
  Common::ConfigurationVersion Version;
  std::string Document;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Document);
  }
};

/// Tokens that an entry daemon requests for a team.
struct TokenDemand {
  Configuration::TeamName Team;
  /// Tokens needed by waiting requests.
  double Needed = 0;
  /// Tokens to hold in reserve for requests to come.
  double Reserve = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Needed, this->Reserve);
  }
};

/// Tokens that an entry daemon was recently granted for a team.
struct RecentTokenGrants {
  Configuration::TeamName Team;
  /// Tokens granted within the last second, the last two seconds, and so on.
  std::vector<double> CumulativeTokens;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->CumulativeTokens);
  }
};

/// Tokens that an entry daemon may spend in addition to earlier grants.
struct TokenGrant {
  Configuration::TeamName Team;
  double Tokens = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Tokens);
  }
};

/// Number of requests that one entry daemon has started in a usage window since
/// the process started. It is resent until the window has aged out, so a lost
/// message has no effect.
struct UsageCount {
  UsageWindow Window;
  Configuration::TeamName Team;
  std::uint64_t Requests = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Window, this->Team, this->Requests);
  }
};

/// Load that one entry daemon puts on an automatically scaled service.
struct ServiceDemand {
  Common::ServiceName Service;
  /// Requested engine time per unit of time: 1 keeps one engine busy.
  double Engines = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Engines);
  }
};

/// Load that one entry daemon puts on a server.
struct ServerLoad {
  Common::BackendServerId Id;
  std::uint32_t Requests = 0;
  std::uint64_t PromptTokens = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Requests, this->PromptTokens);
  }
};

/// Reports that a server failed while it ran a request with this content.
struct CrashReport {
  /// Hash of the request's content.
  std::uint64_t Content = 0;
  Common::BackendServerId Server;
  std::uint64_t StartedAt = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Content, this->Server, this->StartedAt);
  }
};

/// Asks the leader for the current state. The response proves that the state
/// was confirmed by a leader with a quorum after the poll was sent.
struct EntryPoll {
  Common::DaemonId Entry;
  Common::Incarnation Incarnation;
  Common::DataCentreId DataCentre;
  std::uint64_t Sequence = 0;
  Common::ConfigurationVersion InstalledVersion;
  /// The newest version named by any response so far.
  Common::ConfigurationVersion NewestSeenVersion;
  Common::WallTime Wall;
  /// Number of live entry daemons according to the last response.
  std::uint32_t EntryCount = 0;
  std::vector<TokenDemand> Demands;
  std::vector<RecentTokenGrants> RecentGrants;
  std::vector<UsageCount> Usage;
  std::vector<ServiceDemand> Services;
  std::vector<ServerLoad> Loads;
  std::vector<CrashReport> Crashes;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->DataCentre, this->Sequence,
       this->InstalledVersion, this->NewestSeenVersion, this->Wall,
       this->EntryCount, this->Demands, this->RecentGrants, this->Usage,
       this->Services, this->Loads, this->Crashes);
  }
};

struct EntryPollResponse {
  Common::DaemonId Entry;
  Common::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  Common::ConfigurationVersion NewestVersion;
  /// Number of entry daemons that polled recently.
  std::uint32_t EntryCount = 1;
  /// The median of the daemons' wall clocks.
  Common::WallTime ReferenceTime;
  std::vector<TokenGrant> Grants;
  /// Load of all other entry daemons.
  std::vector<ServerLoad> Loads;
  /// Hashes of request contents that are refused because they crash servers.
  std::vector<std::uint64_t> RefusedContents;
  /// The newest declaration, for an entry daemon that knows of this version but
  /// did not receive it from its state daemon.
  std::optional<DeclarationPush> Declaration;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->Sequence, this->NewestVersion,
       this->EntryCount, this->ReferenceTime, this->Grants, this->Loads,
       this->RefusedContents, this->Declaration);
  }
};

using ControlFrame =
    std::variant<Consensus::Message, JoinRequest, RegistryDelta, EntryHello,
                 StateEndpoints, DeclarationPush, EntryPoll, EntryPollResponse>;

} // namespace State

#endif
