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
/// Messages between entry and state daemons of routed serving, over framed
/// TCP.

namespace State {

/// A state daemon asks to be taken into the group.
struct JoinRequest {
  Consensus::Member Self;
  /// Passed on by a state daemon; not passed on again.
  bool Relayed = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Self, this->Relayed);
  }
};

/// Another message of a server that changes nothing but its freshness.
struct ServerRefresh {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  std::uint64_t Sequence = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->StartedAt, this->Sequence);
  }
};

struct RegistryDelta {
  std::vector<Membership::ServerRecord> Changed;
  std::vector<ServerRefresh> Refreshed;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Changed, this->Refreshed);
  }
};

/// First message of an entry daemon on its link.
struct EntryHello {
  Common::DaemonId Entry;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Entry); }
};

struct StatePlace {
  Network::Address Address;
  Common::DataCentreId DataCentre;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Address, this->DataCentre);
  }
};

/// Where the state daemons of the group listen.
struct StatePlaces {
  std::vector<StatePlace> Places;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Places); }
};

/// The declaration in force, pushed when it changes.
struct DeclarationPush {
  Common::ConfigurationVersion Version;
  std::string Document;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Document);
  }
};

/// Tokens that an entry daemon wants to be able to spend for a team.
struct TokenDemand {
  Configuration::TeamName Team;
  /// For requests that wait for them.
  double Needed = 0;
  /// To have at hand for what comes next.
  double Stock = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Needed, this->Stock);
  }
};

/// Tokens of a team that an entry daemon was granted lately.
struct TokenUse {
  Configuration::TeamName Team;
  /// Within the last second, the last two seconds, and so on.
  std::vector<double> Within;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Within);
  }
};

/// Tokens that an entry daemon may spend, beyond those granted before.
struct TokenGrant {
  Configuration::TeamName Team;
  double Tokens = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Tokens);
  }
};

/// Requests that began to run in a window at one entry daemon, since its
/// start. Sent again until the window is old, so a lost message costs nothing.
struct UsageCount {
  UsageWindow Window;
  Configuration::TeamName Team;
  std::uint64_t Requests = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Window, this->Team, this->Requests);
  }
};

/// Work of one entry daemon for a service that is scaled.
struct ServiceDemand {
  Common::ServiceName Service;
  /// Engine time asked for, in engines: 1 keeps one engine busy.
  double Engines = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Engines);
  }
};

/// Work of one entry daemon at a server.
struct ServerLoad {
  Common::BackendServerId Id;
  std::uint32_t Requests = 0;
  std::uint64_t PromptTokens = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Requests, this->PromptTokens);
  }
};

/// A request content whose server failed while it ran there.
struct CrashReport {
  std::uint64_t Content = 0;
  Common::BackendServerId Server;
  std::uint64_t StartedAt = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Content, this->Server, this->StartedAt);
  }
};

/// Asks the leader what is in force. The answer proves that a leader with a
/// quorum stood behind it after the question was sent.
struct EntryPoll {
  Common::DaemonId Entry;
  Common::Incarnation Life;
  Common::DataCentreId DataCentre;
  std::uint64_t Sequence = 0;
  Common::ConfigurationVersion Have;
  /// The newest version that an answer spoke of.
  Common::ConfigurationVersion HeardOf;
  Common::WallTime Wall;
  /// Entry daemons that lived at the last answer.
  std::uint32_t EntryCount = 0;
  std::vector<TokenDemand> Demands;
  std::vector<TokenUse> Used;
  std::vector<UsageCount> Usage;
  std::vector<ServiceDemand> Services;
  std::vector<ServerLoad> Loads;
  std::vector<CrashReport> Crashes;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Life, this->DataCentre, this->Sequence, this->Have,
       this->HeardOf, this->Wall, this->EntryCount, this->Demands, this->Used,
       this->Usage, this->Services, this->Loads, this->Crashes);
  }
};

struct EntryPollAnswer {
  Common::DaemonId Entry;
  Common::Incarnation Life;
  std::uint64_t Sequence = 0;
  Common::ConfigurationVersion Newest;
  /// Entry daemons that asked lately.
  std::uint32_t EntryCount = 1;
  /// The median of the daemons' wall clocks.
  Common::WallTime Time;
  std::vector<TokenGrant> Grants;
  /// Work of all other entry daemons.
  std::vector<ServerLoad> Loads;
  /// Contents that are refused as they crash servers.
  std::vector<std::uint64_t> Refused;
  /// The newest declaration, for a daemon that has heard of it and did not get
  /// it from its state daemon.
  std::optional<DeclarationPush> Declaration;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Life, this->Sequence, this->Newest, this->EntryCount,
       this->Time, this->Grants, this->Loads, this->Refused, this->Declaration);
  }
};

using ControlFrame =
    std::variant<Consensus::Message, JoinRequest, RegistryDelta, EntryHello,
                 StatePlaces, DeclarationPush, EntryPoll, EntryPollAnswer>;

} // namespace State

#endif
