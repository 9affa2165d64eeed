#ifndef SYCAMOREREACH_TELEMETRY_LINEWRITER_H
#define SYCAMOREREACH_TELEMETRY_LINEWRITER_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace Telemetry {

/// Writes lines to a descriptor and never waits for its reader. Lines that a
/// slow reader leaves no room for are dropped and counted in a line of its own.
class LineWriter {
public:
  /// Descriptor is made non-blocking and stays its owner's.
  explicit LineWriter(int Descriptor);

  void write(const std::string &Line);

private:
  /// Lines that wait for the reader, in bytes: a few seconds of a busy daemon,
  /// and a small part of the memory that daemons are given.
  static constexpr std::size_t MostWaitingBytes = 256u << 10;

  void drain();

  int Descriptor;
  std::string Waiting;
  std::uint64_t Dropped = 0;
};

} // namespace Telemetry

#endif
