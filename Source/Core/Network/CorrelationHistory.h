#ifndef SYCAMOREREACH_NETWORK_CORRELATIONHISTORY_H
#define SYCAMOREREACH_NETWORK_CORRELATIONHISTORY_H

#include "Common/Hash.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace Network {

/// The correlation ids of the requests that one connection has carried. Ids are
/// kept as hashes, so contains() may be true for another id, but is never false
/// for one that was added.
class CorrelationHistory {
public:
  /// Limits the memory of one connection to 4 KB.
  static constexpr std::size_t MaxIds = 512;

  void add(const std::string &Id) {
    this->Hashes.push_back(Common::hashBytes(Id));
  }
  bool contains(const std::string &Id) const {
    return std::find(this->Hashes.begin(), this->Hashes.end(),
                     Common::hashBytes(Id)) != this->Hashes.end();
  }
  /// Whether no further id may be added.
  bool isFull() const { return this->Hashes.size() >= MaxIds; }

private:
  std::vector<std::uint64_t> Hashes;
};

} // namespace Network

#endif
