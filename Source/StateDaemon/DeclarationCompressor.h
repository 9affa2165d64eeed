#ifndef SYCAMOREREACH_STATEDAEMON_DECLARATIONCOMPRESSOR_H
#define SYCAMOREREACH_STATEDAEMON_DECLARATIONCOMPRESSOR_H

#include "State/ControlProtocol.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>

namespace StateDaemon {

/// Compresses the declaration once for all entry daemons that request it.
class DeclarationCompressor {
public:
  /// The message with this declaration. Returns an Internal error if there is
  /// not enough memory.
  absl::StatusOr<State::RequestedDeclaration>
  compress(Common::ConfigurationVersion Version, const std::string &Document);

private:
  State::RequestedDeclaration Last;
  /// Of the document in Last. A version can be assigned again.
  std::uint64_t DocumentHash = 0;
};

} // namespace StateDaemon

#endif
