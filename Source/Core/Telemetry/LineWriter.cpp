#include "Telemetry/LineWriter.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <unistd.h>

namespace Telemetry {

LineWriter::LineWriter(int Descriptor) : Descriptor(Descriptor) {
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

void LineWriter::write(const std::string &Line) {
  if (this->Waiting.size() > MostWaitingBytes) {
    this->drain();
    if (this->Waiting.size() > MostWaitingBytes) {
      ++this->Dropped;
      return;
    }
  }
  if (this->Dropped != 0) {
    absl::StrAppend(&this->Waiting,
                    "event=log_lines_dropped count=", this->Dropped, "\n");
    this->Dropped = 0;
  }
  this->Waiting += Line;
  this->Waiting += '\n';
  this->drain();
}

void LineWriter::drain() {
  while (!this->Waiting.empty()) {
    const ssize_t Written =
        ::write(this->Descriptor, this->Waiting.data(), this->Waiting.size());
    if (Written <= 0)
      return;
    this->Waiting.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace Telemetry
