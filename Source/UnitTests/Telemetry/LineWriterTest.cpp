#include "Telemetry/LineWriter.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace UnitTests {

namespace {

using Telemetry::LineWriter;

struct TestPipe {
  std::array<int, 2> Ends{};
  TestPipe() {
    BOOST_REQUIRE(pipe(this->Ends.data()) == 0);
    BOOST_REQUIRE(fcntl(this->Ends[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~TestPipe() {
    close(this->Ends[0]);
    close(this->Ends[1]);
  }
  /// Reads all bytes that are available now.
  std::string readAvailable() const {
    std::string Result;
    std::array<char, 4096> Chunk{};
    for (;;) {
      const ssize_t Read = read(this->Ends[0], Chunk.data(), Chunk.size());
      if (Read <= 0)
        return Result;
      Result.append(Chunk.data(), static_cast<std::size_t>(Read));
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LineWriter_)

BOOST_AUTO_TEST_CASE(LinesAreDroppedWithoutBlockingWhenTheReaderStops) {
  const TestPipe Pipe;
  LineWriter Writer(Pipe.Ends[1]);
  BOOST_REQUIRE((fcntl(Pipe.Ends[1], F_GETFL) & O_NONBLOCK) != 0);
  const std::string Line(200, 'x');
  constexpr int Lines = 10'000;
  for (int I = 0; I < Lines; ++I)
    Writer.write(Line);
  // The reader resumes: it receives the buffered lines and the number of
  // dropped ones.
  std::string Read = Pipe.readAvailable();
  for (int I = 0; I < 100; ++I) {
    Writer.write("later");
    Read += Pipe.readAvailable();
  }
  const auto CompleteLines =
      static_cast<int>(std::count(Read.begin(), Read.end(), '\n'));
  const std::string DropReport = "\nevent=log_lines_dropped count=";
  const std::size_t Position = Read.find(DropReport);
  BOOST_REQUIRE(Position != std::string::npos);
  const int DroppedLines = std::stoi(Read.substr(Position + DropReport.size()));
  BOOST_TEST(CompleteLines - 1 + DroppedLines == Lines + 100);
  BOOST_TEST(Read.find(DropReport, Position + 1) == std::string::npos);
  BOOST_TEST(Read.ends_with("later\n"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
