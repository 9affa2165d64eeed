#ifndef SYCAMOREREACH_TELEMETRY_LINEWRITER_H
#define SYCAMOREREACH_TELEMETRY_LINEWRITER_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace Telemetry {

/// Writes lines to a file descriptor without blocking. When a slow reader lets
/// the buffer fill up, further lines are dropped, and a log_lines_dropped line
/// reports their number once there is room again.
class LineWriter {
public:
  /// Makes Descriptor non-blocking. The caller keeps its ownership.
  explicit LineWriter(int Descriptor);

  /// Appends a line break to Line and writes it, or drops it when the buffer is
  /// full.
  void write(const std::string &Line);

private:
  /// Holds a few seconds of a busy daemon's log, and is a small part of a
  /// daemon's memory limit.
  static constexpr std::size_t MaxBufferedBytes = 256u << 10;

  /// Writes as much of the buffer as the descriptor accepts.
  void flush();

  int Descriptor;
  std::string Buffer;
  std::uint64_t DroppedLines = 0;
};

} // namespace Telemetry

#endif
