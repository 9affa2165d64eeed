#include "StateDaemon/Controller.h"

// Software versions of the servers. They are passed on in frames of their own,
// before the records of the same servers on the same connection.

namespace StateDaemon {

std::optional<State::ServerVersions>
Controller::versionsFor(const State::RegistryDelta &Delta) const {
  State::ServerVersions Result;
  for (const Membership::ServerRecord &Each : Delta.Changed)
    if (const auto Version = this->Registry.versionOf(Each.Id, Each.StartedAt))
      Result.Versions.push_back({Each.Id, Each.StartedAt, *Version});
  if (Result.Versions.empty())
    return std::nullopt;
  return Result;
}

void Controller::noteVersion(const Membership::ServerRecord &Record,
                             const Common::SoftwareVersion &Version) {
  if (!this->Registry.setVersion(Record.Id, Record.StartedAt, Version,
                                 this->Loop.now()))
    return;
  // The change that a first heartbeat makes is not passed on before the next
  // flush, so it needs no other one.
  const auto *Known = this->Registry.find(Record.Id);
  const bool IsPending =
      !this->PeerChanges.empty() && this->PeerChanges.back().Id == Record.Id;
  if (Known && Known->Record.StartedAt == Record.StartedAt && !IsPending)
    this->publishServerChange(Known->Record, true);
}

void Controller::mergeServerVersions(const State::ServerVersions &Versions) {
  for (const State::ServerVersion &Each : Versions.Versions) {
    const bool IsNews = this->Registry.setVersion(
        Each.Id, Each.StartedAt, Each.Version, this->Loop.now());
    // Without the record, the RegistryDelta that follows is passed on.
    const auto *Known = this->Registry.find(Each.Id);
    if (IsNews && Known && Known->Record.StartedAt == Each.StartedAt)
      this->publishServerChange(Known->Record, false);
  }
}

} // namespace StateDaemon
