#ifndef SYCAMOREREACH_CONFIGURATION_CONFIGURATIONSTORE_H
#define SYCAMOREREACH_CONFIGURATION_CONFIGURATIONSTORE_H

#include "Configuration/Change.h"
#include "Configuration/Declaration.h"

#include <map>

namespace Configuration {

/// The replicated declaration and the results of the latest commands.
class ConfigurationStore {
public:
  /// At least this many of the latest results are retained, and fewer than
  /// twice as many.
  static constexpr std::size_t MinRetainedCommands = 4096;

  /// Executes Command once and returns its result, also for repeats.
  ChangeResult apply(const ChangeCommand &Command);
  const Declaration &current() const { return this->Current; }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Current, this->Results, this->CommandOrder);
  }

private:
  ChangeResult execute(const ChangeCommand &Command);
  void storeResult(const Common::CommandId &Id, const ChangeResult &Result);

  Declaration Current;
  std::map<Common::CommandId, ChangeResult> Results;
  /// Command IDs in order of execution, oldest first.
  std::vector<Common::CommandId> CommandOrder;
};

} // namespace Configuration

#endif
