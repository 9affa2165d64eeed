#include "Network/Http1HeadScanner.h"

#include "Network/HttpSyntax.h"

namespace Network {

bool Http1HeadScanner::feed(std::string_view Bytes) {
  for (const char Character : Bytes) {
    if (this->Ended)
      return true;
    if (Character == '\n') {
      if (!this->endLine())
        return false;
      continue;
    }
    // A folded line (obs-fold), which is obsolete.
    if (!this->InStartLine && this->LineLength == 0 &&
        (Character == ' ' || Character == '\t'))
      return false;
    if (Character != '\r')
      ++this->LineLength;
    if (this->InStartLine && this->Expected == StartLine::Status)
      this->StatusLine += Character;
  }
  return true;
}

bool Http1HeadScanner::endLine() {
  const bool Empty = this->LineLength == 0;
  this->LineLength = 0;
  if (!this->InStartLine) {
    this->Ended = Empty;
    return true;
  }
  // Empty lines ahead of the start line mean nothing.
  this->InStartLine = Empty;
  if (Empty || this->Expected == StartLine::Request) {
    this->StatusLine.clear();
    return true;
  }
  std::string_view Line = this->StatusLine;
  if (Line.back() == '\r')
    Line.remove_suffix(1);
  return isStatusLine(Line);
}

} // namespace Network
