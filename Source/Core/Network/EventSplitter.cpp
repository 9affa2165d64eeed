#include "Network/EventSplitter.h"

#include <algorithm>

namespace Network {

namespace {

/// The end of the first whole event of Text, or npos.
std::size_t endOfEvent(std::string_view Text) {
  std::size_t Line = 0;
  while (true) {
    const std::size_t Break = Text.find('\n', Line);
    if (Break == std::string_view::npos)
      return Break;
    const bool Blank =
        Break == Line || (Break == Line + 1 && Text[Line] == '\r');
    if (Blank)
      return Break + 1;
    Line = Break + 1;
  }
}

} // namespace

void EventSplitter::note(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  bool Content = false;
  while (!Event.empty()) {
    const std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(std::min(End + 1, Event.size()));
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    // A line that begins with a colon is a comment.
    Content = Content || (!Line.empty() && Line.front() != ':');
    if (Line.substr(0, Field.size()) != Field)
      continue;
    Line.remove_prefix(Field.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    this->LastId = std::string(Line);
  }
  if (Content)
    ++this->Events;
}

std::string EventSplitter::feed(std::string_view Bytes) {
  this->Held.append(Bytes);
  std::size_t Whole = 0;
  while (true) {
    const std::string_view Rest = std::string_view(this->Held).substr(Whole);
    const std::size_t End = endOfEvent(Rest);
    if (End == std::string_view::npos)
      break;
    this->note(Rest.substr(0, End));
    Whole += End;
  }
  std::string Result = this->Held.substr(0, Whole);
  this->Held.erase(0, Whole);
  return Result;
}

} // namespace Network
