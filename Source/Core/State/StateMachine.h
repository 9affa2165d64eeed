#ifndef SYCAMOREREACH_STATE_STATEMACHINE_H
#define SYCAMOREREACH_STATE_STATEMACHINE_H

#include "Configuration/ConfigurationStore.h"
#include "Consensus/Messages.h"
#include "Journal/RequestJournal.h"
#include "State/Lease.h"

#include <absl/status/statusor.h>
#include <string>
#include <variant>

namespace State {

/// Advances the journal's time while there are no other commands.
struct ClockCommand {
  template <class Archive> void serialize(Archive &) {}
};

using CommandBody = std::variant<
    ClockCommand, Configuration::ChangeCommand, Journal::AcceptCommand,
    Journal::ClaimCommand, Journal::ReleaseCommand, Journal::CompleteCommand,
    Journal::MarkUnknownCommand, Journal::WithdrawCommand,
    Journal::TakeOverCommand, AcquireLeaseCommand, RenewLeaseCommand>;

/// One entry of the replicated log.
struct Command {
  /// The leader's wall clock time; used for retention.
  Common::WallTime Timestamp;
  CommandBody Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Timestamp, this->Body);
  }
};

using CommandResult =
    std::variant<std::monostate, Configuration::ChangeResult,
                 Journal::JournalResult, Journal::TakeOverResult, LeaseResult>;

/// The replicated state: configuration, journal and leases. Deterministic: it
/// uses neither clocks nor random numbers, so equal logs produce equal states.
class StateMachine {
public:
  CommandResult apply(Consensus::LogIndex Index, const Command &Command);

  const Configuration::ConfigurationStore &configuration() const {
    return this->Configuration;
  }
  const Journal::RequestJournal &journal() const { return this->Journal; }
  const LeaseTable &leases() const { return this->Leases; }

  std::string snapshot() const;
  static absl::StatusOr<StateMachine> restore(const std::string &Bytes);

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Configuration, this->Journal, this->Leases);
  }

private:
  Configuration::ConfigurationStore Configuration;
  Journal::RequestJournal Journal;
  LeaseTable Leases;
};

} // namespace State

#endif
