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
  if (this->Buffer.size() > MaxBufferedBytes) {
    this->flush();
    if (this->Buffer.size() > MaxBufferedBytes) {
      ++this->DroppedLines;
      return;
    }
  }
  if (this->DroppedLines != 0) {
    absl::StrAppend(&this->Buffer,
                    "event=log_lines_dropped count=", this->DroppedLines, "\n");
    this->DroppedLines = 0;
  }
  this->Buffer += Line;
  this->Buffer += '\n';
  this->flush();
}

void LineWriter::flush() {
  while (!this->Buffer.empty()) {
    const ssize_t Written =
        ::write(this->Descriptor, this->Buffer.data(), this->Buffer.size());
    if (Written <= 0)
      return;
    this->Buffer.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace Telemetry
