#include "State/StateMachine.h"

#include "Network/Codec.h"

namespace State {

namespace {

/// Dispatches each command to the component that handles it.
struct Applier {
  Configuration::ConfigurationStore &Configuration;
  Journal::RequestJournal &Journal;
  LeaseTable &Leases;
  Consensus::LogIndex Index;

  CommandResult operator()(const ClockCommand &) { return std::monostate(); }
  CommandResult operator()(const Configuration::ChangeCommand &Body) {
    return this->Configuration.apply(Body);
  }
  CommandResult operator()(const AcquireLeaseCommand &Body) {
    return this->Leases.apply(Body, Common::FencingNumber{Index.Value});
  }
  CommandResult operator()(const RenewLeaseCommand &Body) {
    return this->Leases.apply(Body);
  }
  template <typename T> CommandResult operator()(const T &Body) {
    return this->Journal.apply(Body);
  }
};

} // namespace

CommandResult StateMachine::apply(Consensus::LogIndex Index,
                                  const Command &Command) {
  this->Journal.advance(Command.Timestamp);
  Applier Apply{this->Configuration, this->Journal, this->Leases, Index};
  return std::visit(Apply, Command.Body);
}

std::string StateMachine::snapshot() const { return Network::encode(*this); }

absl::StatusOr<StateMachine> StateMachine::restore(const std::string &Bytes) {
  if (Bytes.empty())
    return StateMachine();
  return Network::decode<StateMachine>(Bytes);
}

} // namespace State
