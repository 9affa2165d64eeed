#ifndef SYCAMOREREACH_STATE_PROTOCOL_H
#define SYCAMOREREACH_STATE_PROTOCOL_H

#include "Configuration/Declaration.h"
#include "Consensus/Membership.h"
#include "Consensus/Messages.h"
#include "State/StateMachine.h"

#include <cstdint>
#include <variant>

/// \file
/// Messages between daemons and the state daemons, sent as frames over TCP.

namespace State {

/// Associates a response with its request on one connection.
using Correlation = Common::StrongNumber<struct CorrelationTag>;

/// Reads a request from the journal. Only the leader answers it.
struct FindJournaledRequest {
  Journal::RequestKey Key;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Key); }
};

/// Asks for the configuration if it is newer than InstalledVersion. Any state
/// daemon or entry daemon answers with the configuration it holds.
struct FetchConfiguration {
  Common::ConfigurationVersion InstalledVersion;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->InstalledVersion);
  }
};

/// Subscribes to configuration updates: the state daemon pushes newer
/// configurations on this connection.
struct WatchConfiguration {
  template <class Archive> void serialize(Archive &) {}
};

struct FetchLeases {
  template <class Archive> void serialize(Archive &) {}
};

struct FetchReplicas {
  template <class Archive> void serialize(Archive &) {}
};

enum class ReplicaChangeKind : std::uint8_t { AddLearner, Promote, Remove };

/// Changes the replicas of the state group.
struct ChangeReplicas {
  ReplicaChangeKind Kind = ReplicaChangeKind::AddLearner;
  Consensus::Member Member;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Member);
  }
};

using RequestBody = std::variant<CommandBody, FindJournaledRequest,
                                 FetchConfiguration, WatchConfiguration,
                                 FetchLeases, FetchReplicas, ChangeReplicas>;

struct Request {
  State::Correlation Correlation;
  RequestBody Body;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Correlation, this->Body);
  }
};

/// The receiver is not the leader. The request was not executed.
struct NotLeader {
  /// The leader's address, if known.
  Network::Address Leader;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Leader); }
};

/// The leader has no quorum. The request was not executed.
struct NoQuorum {
  template <class Archive> void serialize(Archive &) {}
};

/// The command was appended to the log, but it is not known whether it will be
/// committed.
struct OutcomeUnknown {
  template <class Archive> void serialize(Archive &) {}
};

/// The current configuration of `sycamore-state run`; absent if the requester's
/// is up to date.
struct ConfigurationResponse {
  std::optional<Configuration::Declaration> Newer;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Newer); }
};

struct LeasesResponse {
  std::map<LeaseName, Lease> Leases;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Leases); }
};

struct ReplicasResponse {
  Consensus::Membership Group;
  Consensus::ReplicaId Leader;
  Consensus::Term Term;
  Consensus::LogIndex Commit;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Group, this->Leader, this->Term, this->Commit);
  }
};

struct ChangeReplicasResponse {
  bool Done = false;
  std::string Detail;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Done, this->Detail);
  }
};

/// Refuses an AcquireLeaseCommand because the last holder's lease may still be
/// valid.
struct LeaseHeld {
  Lease Current;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Current); }
};

using ResponseBody =
    std::variant<CommandResult, NotLeader, NoQuorum, OutcomeUnknown,
                 ConfigurationResponse, LeasesResponse, ReplicasResponse,
                 ChangeReplicasResponse, LeaseHeld>;

struct Response {
  /// 0 for a message that is pushed without a request.
  State::Correlation Correlation;
  ResponseBody Body;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Correlation, this->Body);
  }
};

/// Any message on a TCP connection between daemons.
using Frame = std::variant<Consensus::Message, Request, Response>;

} // namespace State

#endif
