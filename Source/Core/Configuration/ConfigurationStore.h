#ifndef SYCAMOREREACH_CONFIGURATION_CONFIGURATIONSTORE_H
#define SYCAMOREREACH_CONFIGURATION_CONFIGURATIONSTORE_H

#include "Configuration/Change.h"
#include "Configuration/Declaration.h"

#include <map>

namespace Configuration {

/// The replicated declaration and the answers to the latest commands.
class ConfigurationStore {
public:
  /// Commands whose answers are remembered.
  static constexpr std::size_t RememberedCommands = 4096;

  ChangeOutcome apply(const ChangeCommand &Command);
  const Declaration &current() const { return this->Current; }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Current, this->Answers, this->Order);
  }

private:
  ChangeOutcome decide(const ChangeCommand &Command);
  void remember(const Common::CommandId &Id, const ChangeOutcome &Answer);

  Declaration Current;
  std::map<Common::CommandId, ChangeOutcome> Answers;
  /// Oldest first.
  std::vector<Common::CommandId> Order;
};

} // namespace Configuration

#endif
