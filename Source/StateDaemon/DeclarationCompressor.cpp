#include "StateDaemon/DeclarationCompressor.h"

#include "Common/Hash.h"
#include "Network/Compression.h"

namespace StateDaemon {

absl::StatusOr<State::RequestedDeclaration>
DeclarationCompressor::compress(Common::ConfigurationVersion Version,
                                const std::string &Document) {
  const std::uint64_t Hash = Common::hashBytes(Document);
  if (this->Last.CompressedDocument.empty() || Hash != this->DocumentHash) {
    auto Compressed = Network::compress(Document);
    if (!Compressed.ok())
      return Compressed.status();
    this->Last.CompressedDocument = std::move(*Compressed);
    this->DocumentHash = Hash;
  }
  this->Last.Version = Version;
  return this->Last;
}

} // namespace StateDaemon
