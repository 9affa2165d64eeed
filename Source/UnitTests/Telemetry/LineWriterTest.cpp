#include "Telemetry/LineWriter.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace UnitTests {

namespace {

using Telemetry::LineWriter;

struct Pipe {
  std::array<int, 2> Ends{};
  Pipe() {
    BOOST_REQUIRE(pipe(this->Ends.data()) == 0);
    BOOST_REQUIRE(fcntl(this->Ends[0], F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe() {
    close(this->Ends[0]);
    close(this->Ends[1]);
  }
  /// All that is there now.
  std::string take() const {
    std::string Result;
    std::array<char, 4096> Part{};
    for (;;) {
      const ssize_t Read = read(this->Ends[0], Part.data(), Part.size());
      if (Read <= 0)
        return Result;
      Result.append(Part.data(), static_cast<std::size_t>(Read));
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LineWriter_)

BOOST_AUTO_TEST_CASE(AStoppedReaderCostsLinesAndNoTime) {
  const Pipe Of;
  LineWriter Writer(Of.Ends[1]);
  BOOST_REQUIRE((fcntl(Of.Ends[1], F_GETFL) & O_NONBLOCK) != 0);
  const std::string Line(200, 'x');
  constexpr int Lines = 10'000;
  for (int I = 0; I < Lines; ++I)
    Writer.write(Line);
  // The reader goes on: what waited comes, and how many lines were lost.
  std::string Read = Of.take();
  for (int I = 0; I < 100; ++I) {
    Writer.write("later");
    Read += Of.take();
  }
  const auto Whole =
      static_cast<int>(std::count(Read.begin(), Read.end(), '\n'));
  const std::string Mark = "\nevent=log_lines_dropped count=";
  const std::size_t At = Read.find(Mark);
  BOOST_REQUIRE(At != std::string::npos);
  const int Dropped = std::stoi(Read.substr(At + Mark.size()));
  BOOST_TEST(Whole - 1 + Dropped == Lines + 100);
  BOOST_TEST(Read.find(Mark, At + 1) == std::string::npos);
  BOOST_TEST(Read.ends_with("later\n"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
