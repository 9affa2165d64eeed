#ifndef SYCAMOREREACH_COMMON_CAUSESET_H
#define SYCAMOREREACH_COMMON_CAUSESET_H

#include <algorithm>
#include <cstdint>
#include <vector>

namespace Common {

/// Hash of something that requests have in common and that may crash the
/// servers that run them: a whole content, or a part of a prompt.
using CauseHash = std::uint64_t;

/// Causes of crashes, in ascending order. A request has a set if it has all of
/// its causes.
using CauseSet = std::vector<CauseHash>;

inline CauseSet makeCauseSet(std::vector<CauseHash> Causes) {
  std::sort(Causes.begin(), Causes.end());
  Causes.erase(std::unique(Causes.begin(), Causes.end()), Causes.end());
  return Causes;
}

/// Whether All contains each cause of Part.
inline bool includesCauses(const CauseSet &All, const CauseSet &Part) {
  return std::includes(All.begin(), All.end(), Part.begin(), Part.end());
}

} // namespace Common

#endif
