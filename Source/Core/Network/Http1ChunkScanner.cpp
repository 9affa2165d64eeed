#include "Network/Http1ChunkScanner.h"

#include "Network/HttpSyntax.h"

#include <absl/strings/ascii.h>

namespace Network {

bool Http1ChunkScanner::feed(std::string_view Framing) {
  for (const char Character : Framing)
    if (!this->feed(Character))
      return false;
  return true;
}

bool Http1ChunkScanner::feed(char Character) {
  switch (this->Current) {
  case Position::Size:
  case Position::BehindSize:
  case Position::Extension:
    return this->feedSizeLine(Character);
  case Position::SizeLineFeed: {
    const bool IsLast = this->IsZero;
    this->IsZero = true;
    return this->expectLineFeed(Character, IsLast
                                               ? Position::TrailerStart
                                               : Position::DataCarriageReturn);
  }
  case Position::DataCarriageReturn:
    this->Current = Position::DataLineFeed;
    return Character == '\r';
  case Position::DataLineFeed:
    return this->expectLineFeed(Character, Position::Size);
  case Position::TrailerStart:
  case Position::TrailerName:
  case Position::TrailerValue:
    return this->feedTrailer(Character);
  case Position::TrailerLineFeed:
    return this->expectLineFeed(Character, Position::TrailerStart);
  case Position::LastLineFeed:
    return this->expectLineFeed(Character, Position::End);
  case Position::End:
    return false;
  }
  return false;
}

bool Http1ChunkScanner::feedSizeLine(char Character) {
  if (Character == '\r') {
    this->Current = Position::SizeLineFeed;
    return true;
  }
  if (this->Current == Position::Extension)
    return isTextCharacter(Character);
  if (Character == ';') {
    this->Current = Position::Extension;
    return true;
  }
  if (Character == ' ') {
    this->Current = Position::BehindSize;
    return true;
  }
  this->IsZero = this->IsZero && Character == '0';
  return this->Current == Position::Size &&
         absl::ascii_isxdigit(static_cast<unsigned char>(Character));
}

bool Http1ChunkScanner::feedTrailer(char Character) {
  const bool AtStart = this->Current == Position::TrailerStart;
  if (Character == '\r' && this->Current != Position::TrailerName) {
    this->Current =
        AtStart ? Position::LastLineFeed : Position::TrailerLineFeed;
    return true;
  }
  if (Character == '\n' && this->Current != Position::TrailerName) {
    this->Current = AtStart ? Position::End : Position::TrailerStart;
    return true;
  }
  if (this->Current == Position::TrailerValue)
    return isTextCharacter(Character);
  if (Character == ':' && !AtStart) {
    this->Current = Position::TrailerValue;
    return true;
  }
  this->Current = Position::TrailerName;
  return isTokenCharacter(Character);
}

bool Http1ChunkScanner::expectLineFeed(char Character, Position Next) {
  this->Current = Next;
  return Character == '\n';
}

} // namespace Network
