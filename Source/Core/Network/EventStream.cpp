#include "Network/EventStream.h"

#include <algorithm>

namespace Network {

namespace {

constexpr std::string_view DataField = "data:";

/// Joins the data lines of an event with line breaks.
std::string extractData(std::string_view Event) {
  std::string Data;
  while (!Event.empty()) {
    const std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(std::min(End + 1, Event.size()));
    if (Line.substr(0, DataField.size()) != DataField)
      continue;
    Line.remove_prefix(DataField.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    if (!Data.empty())
      Data.push_back('\n');
    Data.append(Line);
  }
  return Data;
}

} // namespace

std::vector<std::string> EventStreamReader::feed(std::string_view Bytes) {
  for (const char C : Bytes)
    if (C != '\r')
      this->Buffer.push_back(C);
  std::vector<std::string> Events;
  std::size_t Start = 0;
  while (true) {
    const std::size_t End = this->Buffer.find("\n\n", Start);
    if (End == std::string::npos)
      break;
    std::string Data =
        extractData(std::string_view(this->Buffer).substr(Start, End - Start));
    if (!Data.empty())
      Events.push_back(std::move(Data));
    Start = End + 2;
  }
  this->Buffer.erase(0, Start);
  return Events;
}

std::string formatEvent(const std::string &Data) {
  return "data: " + Data + "\n\n";
}

} // namespace Network
