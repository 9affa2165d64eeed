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

/// Lets journal time pass while nobody asks for anything.
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
  /// The leader's wall clock; used for retention.
  Common::WallTime Stamp;
  CommandBody Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Stamp, this->Body);
  }
};

using CommandResult =
    std::variant<std::monostate, Configuration::ChangeResult,
                 Journal::JournalResult, Journal::TakeOverResult, LeaseResult>;

/// The replicated state: configuration, journal and leases. Equal logs give
/// equal states; it reads no clock and no random numbers.
class StateMachine {
public:
  CommandResult apply(Consensus::LogIndex Index, const Command &Applied);

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
