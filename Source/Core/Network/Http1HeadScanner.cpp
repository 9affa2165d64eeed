#include "Network/Http1HeadScanner.h"

#include "Network/HttpSyntax.h"

namespace Network {

bool Http1HeadScanner::feed(std::string_view Bytes) {
  this->HeadBytes = 0;
  for (const char Character : Bytes) {
    if (this->Ended)
      return true;
    ++this->HeadBytes;
    if (Character == '\n') {
      if (!this->endLine())
        return false;
      continue;
    }
    if (this->LineFeedDue)
      return false;
    // A folded line (obs-fold), which is obsolete.
    if (!this->InStartLine && this->LineLength == 0 &&
        (Character == ' ' || Character == '\t'))
      return false;
    if (Character == '\r') {
      this->LineFeedDue = true;
      continue;
    }
    ++this->LineLength;
    if (this->InStartLine && this->Expected == StartLine::Status)
      this->StatusLine += Character;
  }
  return true;
}

bool Http1HeadScanner::endLine() {
  const bool Empty = this->LineLength == 0;
  this->LineLength = 0;
  this->LineFeedDue = false;
  if (!this->InStartLine) {
    this->Ended = Empty;
    return true;
  }
  // Empty lines ahead of the start line mean nothing.
  this->InStartLine = Empty;
  return Empty || this->Expected == StartLine::Request ||
         isStatusLine(this->StatusLine);
}

} // namespace Network
