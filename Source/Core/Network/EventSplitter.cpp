#include "Network/EventSplitter.h"

#include <algorithm>

namespace Network {

namespace {

/// The offset behind the first complete event of Text, or npos.
std::size_t findEventEnd(std::string_view Text) {
  std::size_t LineStart = 0;
  while (true) {
    const std::size_t LineBreak = Text.find('\n', LineStart);
    if (LineBreak == std::string_view::npos)
      return LineBreak;
    const bool IsBlank =
        LineBreak == LineStart ||
        (LineBreak == LineStart + 1 && Text[LineStart] == '\r');
    if (IsBlank)
      return LineBreak + 1;
    LineStart = LineBreak + 1;
  }
}

} // namespace

void EventSplitter::recordEvent(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  bool HasContent = false;
  while (!Event.empty()) {
    const std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(std::min(End + 1, Event.size()));
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    // Lines that begin with a colon are comments.
    HasContent = HasContent || (!Line.empty() && Line.front() != ':');
    if (Line.substr(0, Field.size()) != Field)
      continue;
    Line.remove_prefix(Field.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    this->LastEventId = std::string(Line);
    if (!this->FirstEventId)
      this->FirstEventId = this->LastEventId;
  }
  if (HasContent)
    ++this->EventCount;
}

std::string EventSplitter::feed(std::string_view Bytes) {
  this->Buffer.append(Bytes);
  std::size_t CompleteBytes = 0;
  while (true) {
    const std::string_view Rest =
        std::string_view(this->Buffer).substr(CompleteBytes);
    const std::size_t End = findEventEnd(Rest);
    if (End == std::string_view::npos)
      break;
    this->recordEvent(Rest.substr(0, End));
    CompleteBytes += End;
  }
  std::string Result = this->Buffer.substr(0, CompleteBytes);
  this->Buffer.erase(0, CompleteBytes);
  return Result;
}

} // namespace Network
