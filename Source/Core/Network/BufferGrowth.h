#ifndef SYCAMOREREACH_NETWORK_BUFFERGROWTH_H
#define SYCAMOREREACH_NETWORK_BUFFERGROWTH_H

#include <algorithm>
#include <cstddef>
#include <string>

namespace Network {

/// The capacity that a buffer of bytes from a peer needs to hold Size bytes. It
/// grows by a quarter and at least 16 KiB, as the doubling of std::string would
/// allocate up to twice what has arrived.
inline std::size_t capacityFor(const std::string &Buffer, std::size_t Size) {
  constexpr std::size_t MinGrowth = 16u << 10;
  return Size <= Buffer.capacity()
             ? Buffer.capacity()
             : Size + std::max(MinGrowth, Buffer.size() / 4);
}

/// Reallocates Buffer to Capacity if it is smaller; std::string::reserve would
/// at least double it.
inline void growTo(std::string &Buffer, std::size_t Capacity) {
  if (Capacity <= Buffer.capacity())
    return;
  std::string Grown;
  Grown.reserve(Capacity);
  Grown = Buffer;
  Buffer.swap(Grown);
}

} // namespace Network

#endif
