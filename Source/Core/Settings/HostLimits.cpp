#include "Settings/HostLimits.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace Settings {

HostLimits HostLimits::create(SettingsReader &Reader) {
  // Below this, a single request of legal size does not fit.
  constexpr std::uint64_t MinMemory = 48;
  constexpr std::uint64_t MaxMemory = 1'000'000;
  constexpr std::uint64_t MaxDescriptors = 10'000'000;
  HostLimits Result;
  if (!Reader.text("--memory", "").empty())
    Result.Memory = static_cast<std::size_t>(
        Reader.number("--memory", 0, MinMemory, MaxMemory));
  if (!Reader.text("--descriptors", "").empty())
    Result.Descriptors = static_cast<std::size_t>(
        Reader.number("--descriptors", 0, 1, MaxDescriptors));
  return Result;
}

void HostLimits::apply(Network::EventLoop &Loop) const {
  constexpr std::size_t BytesPerMegabyte = 1'000'000;
  Loop.resources().setHostLimits(this->Memory * BytesPerMegabyte,
                                 this->Descriptors);
#ifdef __GLIBC__
  // Without these, the first large block that is freed raises the threshold to
  // its size, and later bodies leave the heap fragmented and resident.
  constexpr int LargeBlockBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
#endif
}

} // namespace Settings
