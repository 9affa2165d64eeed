#ifndef SYCAMOREREACH_STATE_CONTROLPROTOCOL_H
#define SYCAMOREREACH_STATE_CONTROLPROTOCOL_H

#include "Admission/AdmissionLevel.h"
#include "Consensus/Membership.h"
#include "Consensus/Messages.h"
#include "Membership/ServerRecord.h"
#include "Rollout/Directive.h"
#include "Routing/ServerTiming.h"
#include "State/ControlState.h"

#include <cstdint>
#include <map>
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

/// Request of a state daemon that stops to be replaced as a voter. Sent to the
/// leader until it is answered.
struct LeaveRequest {
  Consensus::ReplicaId Self;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Self); }
};

/// Response to a LeaveRequest: the daemon is no voter any more.
struct LeaveConfirmation {
  Consensus::ReplicaId Self;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Self); }
};

/// First message of a state daemon to a member of its group. A daemon of a
/// release before it sends none, and supports no level.
struct PeerHello {
  Consensus::ReplicaId Self;
  ProtocolLevel SupportedLevel;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Self, this->SupportedLevel);
  }
};

/// Asks the leader to record these ends in the replicated log. Sent until it is
/// answered. Requires ServerEndsLevel.
struct ServerEndRequest {
  std::vector<Membership::ServerEnd> Ends;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Ends); }
};

/// Response to a ServerEndRequest: the ends are recorded.
struct ServerEndConfirmation {
  std::vector<Membership::ServerEnd> Ends;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Ends); }
};

/// Heartbeat of a server whose record is unchanged except for its sequence
/// number. It repeats the phase, so that a daemon that missed the change learns
/// it.
struct ServerRefresh {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  std::uint64_t Sequence = 0;
  Membership::ServerPhase Phase = Membership::ServerPhase::Serving;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->StartedAt, this->Sequence, this->Phase);
  }
};

/// Changed records of the server registry. A new connection first receives the
/// records of all servers but those that were silent for seconds.
struct RegistryDelta {
  std::vector<Membership::ServerRecord> Changed;
  std::vector<ServerRefresh> Refreshed;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Changed, this->Refreshed);
  }
};

/// Asks the sender of a RegistryDelta for the records of servers that it has
/// refreshed and the receiver does not know: they were silent when the
/// connection was opened, the message with the record was lost, or the receiver
/// has forgotten them. Answered with a RegistryDelta. A daemon of a release
/// before it ignores the request.
struct ServerRecordRequest {
  std::vector<Common::BackendServerId> Servers;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Servers); }
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

/// Asks the connected state daemon for the next declaration. It answers with
/// one RequestedDeclaration, once it has a newer version than HeldVersion, and
/// sends no other until the next request. Sent ahead of the EntryHello and
/// after each RequestedDeclaration. A state daemon of a release before it
/// ignores the request and sends each declaration unasked, as a
/// DeclarationPush.
struct DeclarationRequest {
  /// The version of the sender's declaration; none if it has no declaration.
  std::optional<Common::ConfigurationVersion> HeldVersion;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->HeldVersion);
  }
};

/// Response to a DeclarationRequest.
struct RequestedDeclaration {
  Common::ConfigurationVersion Version;
  /// The document, compressed with Network::compress().
  std::string CompressedDocument;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->CompressedDocument);
  }
};

/// Tokens that one waiting request of an entry daemon takes from its team's
/// allowance.
struct TokenNeed {
  /// Assigned by the entry daemon; identifies the request in the decision.
  std::uint64_t Number = 0;
  Configuration::TeamName Team;
  double Tokens = 0;
  /// How long the request may wait for the decision.
  std::uint64_t MaxWaitMilliseconds = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Team, this->Tokens, this->MaxWaitMilliseconds);
  }
};

/// Asks the state daemon that an entry daemon is connected to for tokens.
struct TokenRequest {
  Common::DaemonId Entry;
  Common::Incarnation Incarnation;
  std::vector<TokenNeed> Needs;
  /// Tokens of requests that did not run.
  std::map<Configuration::TeamName, double> Returned;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->Needs, this->Returned);
  }
};

struct TokenDecision {
  std::uint64_t Number = 0;
  bool Granted = false;
  /// When the tokens are expected to be available, if they were not granted.
  std::uint64_t RetryAfterMilliseconds = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Granted, this->RetryAfterMilliseconds);
  }
};

/// Decisions on the token needs of one entry daemon.
struct TokenDecisions {
  Common::DaemonId Entry;
  Common::Incarnation Incarnation;
  std::vector<TokenDecision> Decisions;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->Decisions);
  }
};

/// Tokens that a state daemon requests for a team.
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

/// Asks the leader for tokens on behalf of a state daemon's entry daemons.
struct TokenPoolRequest {
  std::uint64_t Sequence = 0;
  std::vector<TokenDemand> Demands;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Sequence, this->Demands);
  }
};

/// Tokens that a state daemon may hand out in addition to earlier grants.
struct TokenGrant {
  Configuration::TeamName Team;
  double Tokens = 0;
  /// Time until the rest of what was needed becomes available.
  std::uint64_t WaitMilliseconds = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Team, this->Tokens, this->WaitMilliseconds);
  }
};

struct TokenPoolGrant {
  std::uint64_t Sequence = 0;
  std::vector<TokenGrant> Grants;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Sequence, this->Grants);
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

/// Load on a server, from one entry daemon or from all of them.
struct ServerLoad {
  Common::BackendServerId Id;
  std::uint32_t Requests = 0;
  std::uint64_t PromptTokens = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Requests, this->PromptTokens);
  }
};

/// Load of all entry daemons together. The leader sends it periodically to the
/// state daemons, which pass it on to their entry daemons.
struct ServerLoads {
  std::vector<ServerLoad> Loads;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Loads); }
};

/// Reports that a server failed while it ran a request with this content.
struct CrashReport {
  /// Hash of the request's content.
  std::uint64_t Content = 0;
  Common::BackendServerId Server;
  std::uint64_t StartedAt = 0;
  /// Time since the server failed.
  std::uint64_t AgeMilliseconds = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Content, this->Server, this->StartedAt, this->AgeMilliseconds);
  }
};

/// A run that was lost with its server soon after the answer had begun.
struct LostRun {
  /// The parts of the prompt that other requests may share.
  Common::CauseSet Parts;
  Common::BackendServerId Server;
  std::uint64_t StartedAt = 0;
  /// Time since the run was lost.
  std::uint64_t AgeMilliseconds = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Parts, this->Server, this->StartedAt, this->AgeMilliseconds);
  }
};

/// An answer that went on, or was completed, although its request has a cause
/// that is under suspicion.
struct Survival {
  Common::CauseHash Cause = 0;
  /// Time since the answer began.
  std::uint64_t AgeMilliseconds = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Cause, this->AgeMilliseconds);
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
  /// The newest version named by any response so far, if the sender asks the
  /// leader for it; 0 while it expects it from its state daemon.
  Common::ConfigurationVersion NewestSeenVersion;
  Common::WallTime Wall;
  /// Number of live entry daemons according to the last response.
  std::uint32_t EntryCount = 0;
  std::vector<RecentTokenGrants> RecentGrants;
  std::vector<UsageCount> Usage;
  std::vector<ServiceDemand> Services;
  std::vector<ServerLoad> Loads;
  std::vector<CrashReport> Crashes;
  std::vector<LostRun> LostRuns;
  std::vector<Survival> Survivals;
  /// Refusals that a request has met since the last poll.
  std::vector<Common::CauseSet> UsedRefusals;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->DataCentre, this->Sequence,
       this->InstalledVersion, this->NewestSeenVersion, this->Wall,
       this->EntryCount, this->RecentGrants, this->Usage, this->Services,
       this->Loads, this->Crashes, this->LostRuns, this->Survivals,
       this->UsedRefusals);
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
  /// Requests with all causes of one of these sets are refused.
  std::vector<Common::CauseSet> Refusals;
  /// Causes whose surviving answers are to be reported.
  std::vector<Common::CauseHash> Suspects;
  /// Refusals through which this daemon may let one request.
  std::vector<Common::CauseSet> Probes;
  /// The newest declaration, for an entry daemon that knows of this version but
  /// did not receive it from its state daemon.
  std::optional<DeclarationPush> Declaration;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->Sequence, this->NewestVersion,
       this->EntryCount, this->ReferenceTime, this->Refusals, this->Suspects,
       this->Probes, this->Declaration);
  }
};

/// A supposed crash of a server process, which answers of other requests may
/// disprove.
struct SupposedCrash {
  Common::BackendServerId Server;
  std::uint64_t StartedAt = 0;
  /// Assigned by the leader; identifies the crash in the reports.
  std::uint64_t Number = 0;
  std::uint64_t AgeMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->StartedAt, this->Number, this->AgeMilliseconds);
  }
};

/// What an entry daemon observes of servers and load. Sent with each poll, on
/// the same connection; the leader answers it with EntryDirectives. A frame of
/// its own, so that daemons of releases before it ignore it.
struct EntryReport {
  Common::DaemonId Entry;
  Common::Incarnation Incarnation;
  /// Sequence of the poll that it accompanies.
  std::uint64_t Sequence = 0;
  std::vector<Rollout::Observation> Rollouts;
  std::vector<Rollout::Progress> RolloutProgress;
  std::vector<Routing::ServerTiming> Timings;
  std::vector<Admission::ServiceLoad> Services;
  /// Numbers of the supposed crashes that an answer to this daemon disproves.
  std::vector<std::uint64_t> DisprovedCrashes;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->Sequence, this->Rollouts,
       this->RolloutProgress, this->Timings, this->Services,
       this->DisprovedCrashes);
  }
};

/// The leader's answer to an EntryReport. With an empty Entry it is sent to all
/// entry daemons, unasked; such directives may only reduce what a daemon is
/// allowed, and extend no validity.
struct EntryDirectives {
  Common::DaemonId Entry;
  Common::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  std::vector<Rollout::Directive> Rollouts;
  std::vector<Admission::AdmissionLevel> Levels;
  /// Recent supposed crashes, to be disproved.
  std::vector<SupposedCrash> Crashes;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Entry, this->Incarnation, this->Sequence, this->Rollouts,
       this->Levels, this->Crashes);
  }
};

/// Speeds of servers as learnt from all entry daemons. The leader sends changes
/// as they occur, and all of them periodically, to the state daemons, which
/// pass them on to their entry daemons. If it contains the profile of a
/// service, it lists all of its servers whose speed is not 1.
struct ServerSpeeds {
  std::vector<Routing::EngineProfile> Engines;
  std::vector<Routing::ServerSpeed> Servers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Engines, this->Servers);
  }
};

/// Software version of one incarnation of a server.
struct ServerVersion {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  Common::SoftwareVersion Version;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->StartedAt, this->Version);
  }
};

/// Versions of the servers of the RegistryDelta that follows on the same
/// connection. A frame of its own, so that daemons of releases before it can
/// still read the RegistryDelta.
struct ServerVersions {
  std::vector<ServerVersion> Versions;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Versions); }
};

/// Frames are encoded with their position in this list, so new ones are added
/// at its end.
using ControlFrame =
    std::variant<Consensus::Message, JoinRequest, RegistryDelta, EntryHello,
                 StateEndpoints, DeclarationPush, EntryPoll, EntryPollResponse,
                 TokenRequest, TokenDecisions, TokenPoolRequest, TokenPoolGrant,
                 ServerLoads, LeaveRequest, LeaveConfirmation, PeerHello,
                 ServerEndRequest, ServerEndConfirmation, EntryReport,
                 EntryDirectives, ServerSpeeds, ServerVersions,
                 DeclarationRequest, RequestedDeclaration, ServerRecordRequest>;

} // namespace State

#endif
