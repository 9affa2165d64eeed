#ifndef SYCAMOREREACH_NETWORK_HTTP1CHUNKSCANNER_H
#define SYCAMOREREACH_NETWORK_HTTP1CHUNKSCANNER_H

#include <string_view>

namespace Network {

/// Checks what frames the data of a chunked body (RFC 9112, section 7.1): size
/// lines, the ends of chunks, and trailers. http-parser accepts other bytes
/// there. Spaces behind a size are accepted, as old servers pad sizes.
class Http1ChunkScanner {
public:
  /// Takes the next bytes of the body without the data of its chunks. Returns
  /// false if they are malformed.
  bool feed(std::string_view Framing);

private:
  enum class Position {
    Size,
    /// Only an extension or the end of the line may follow.
    BehindSize,
    Extension,
    SizeLineFeed,
    DataCarriageReturn,
    DataLineFeed,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineFeed,
    LastLineFeed,
    End,
  };

  bool feed(char Character);
  bool feedSizeLine(char Character);
  bool feedTrailer(char Character);
  /// Goes on to Next if a line feed has arrived.
  bool expectLineFeed(char Character, Position Next);

  Position Current = Position::Size;
  /// Whether the size of the current chunk is 0 as far as it has arrived.
  bool IsZero = true;
};

} // namespace Network

#endif
