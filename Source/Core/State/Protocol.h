#ifndef SYCAMOREREACH_STATE_PROTOCOL_H
#define SYCAMOREREACH_STATE_PROTOCOL_H

#include "Configuration/Declaration.h"
#include "Consensus/Membership.h"
#include "Consensus/Messages.h"
#include "State/StateMachine.h"

#include <cstdint>
#include <variant>

/// \file
/// Messages between daemons and the state daemons, over framed TCP.

namespace State {

/// Links an answer to its question on one connection.
using Correlation = Common::StrongNumber<struct CorrelationTag>;

/// Looks at a request of the journal; answered by the leader only.
struct FindRequest {
  Journal::RequestKey Key;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Key); }
};

/// Asks for the configuration if it is newer than Have; any state daemon and
/// any entry daemon answers from what it holds.
struct FetchConfiguration {
  Common::ConfigurationVersion Have;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Have); }
};

/// Asks a state daemon to push newer configurations on this connection.
struct WatchConfiguration {
  template <class Archive> void serialize(Archive &) {}
};

struct FetchLeases {
  template <class Archive> void serialize(Archive &) {}
};

struct FetchReplicas {
  template <class Archive> void serialize(Archive &) {}
};

enum class ReplicaVerb : std::uint8_t { AddLearner, Promote, Remove };

/// Changes the replicas of the state group.
struct ChangeReplicas {
  ReplicaVerb Verb = ReplicaVerb::AddLearner;
  Consensus::Member Member;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Verb, this->Member);
  }
};

using QuestionBody = std::variant<CommandBody, FindRequest, FetchConfiguration,
                                  WatchConfiguration, FetchLeases,
                                  FetchReplicas, ChangeReplicas>;

struct Question {
  State::Correlation Correlation;
  QuestionBody Body;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Correlation, this->Body);
  }
};

/// The asked daemon does not lead and changed nothing.
struct NotLeader {
  /// Where the leader listens, when it is known.
  Network::Address Leader;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Leader); }
};

/// The leader has no quorum and changed nothing.
struct NoQuorum {
  template <class Archive> void serialize(Archive &) {}
};

/// The command was appended and its fate is open.
struct OutcomeUnknown {
  template <class Archive> void serialize(Archive &) {}
};

/// The current configuration; absent when the asker's is as new.
struct ConfigurationAnswer {
  std::optional<Configuration::Declaration> Newer;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Newer); }
};

struct LeasesAnswer {
  std::map<LeaseName, Lease> Leases;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Leases); }
};

struct ReplicasAnswer {
  Consensus::Membership Group;
  Consensus::ReplicaId Leader;
  Consensus::Term Term;
  Consensus::LogIndex Commit;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Group, this->Leader, this->Term, this->Commit);
  }
};

struct ReplicasChanged {
  bool Done = false;
  std::string Detail;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Done, this->Detail);
  }
};

/// A lease request that came before the last holder's lease has run out.
struct LeaseHeld {
  Lease Current;
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Current); }
};

using AnswerBody =
    std::variant<CommandResult, NotLeader, NoQuorum, OutcomeUnknown,
                 ConfigurationAnswer, LeasesAnswer, ReplicasAnswer,
                 ReplicasChanged, LeaseHeld>;

struct Answer {
  /// 0 for what is pushed without a question.
  State::Correlation Correlation;
  AnswerBody Body;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Correlation, this->Body);
  }
};

/// Everything that travels on a TCP connection between daemons.
using Frame = std::variant<Consensus::Message, Question, Answer>;

} // namespace State

#endif
