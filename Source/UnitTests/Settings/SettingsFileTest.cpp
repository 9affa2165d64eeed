#include "Settings/SettingsReader.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace UnitTests {

namespace {

const char *const Usage = R"(Usage:
  program [options]

Options:
  --name=NAME   A name.
  --span=S      A time.
  --share=N     A number.
)";

std::string writeSettingsFile(const std::string &Text) {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("settings-file-test-" + std::to_string(::getpid())))
                         .string();
  std::ofstream(Path) << Text;
  return Path;
}

Settings::SettingsReader
parseArguments(const std::vector<std::string> &Arguments) {
  auto Created = Settings::SettingsReader::create(Usage, Arguments);
  BOOST_REQUIRE(Created.ok());
  return *Created;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile_)

BOOST_AUTO_TEST_CASE(FlagsOverrideTheEnvironmentWhichOverridesTheFile) {
  const std::string Path = writeSettingsFile(
      "# comment\n\nSYCAMORE_NAME=from-file\nSYCAMORE_SHARE=0.25\n");
  auto FromFile = parseArguments({});
  BOOST_REQUIRE(FromFile.loadFile(Path).ok());
  BOOST_TEST(FromFile.text("--name", "") == "from-file");
  BOOST_TEST(FromFile.decimal("--share", 1) == 0.25);
  setenv("SYCAMORE_NAME", "from-environment", 1);
  BOOST_TEST(FromFile.text("--name", "") == "from-environment");
  auto FromFlag = parseArguments({"--name=from-flag"});
  BOOST_REQUIRE(FromFlag.loadFile(Path).ok());
  BOOST_TEST(FromFlag.text("--name", "") == "from-flag");
  unsetenv("SYCAMORE_NAME");
}

BOOST_AUTO_TEST_CASE(InvalidFilesAndValuesAreReported) {
  auto Reader = parseArguments({});
  BOOST_TEST(!Reader.loadFile("no-such-file").ok());
  const absl::Status Bad =
      Reader.loadFile(writeSettingsFile("SYCAMORE_NAME\n"));
  BOOST_TEST(std::string(Bad.message()).find("line 1") != std::string::npos);
  BOOST_REQUIRE(
      Reader.loadFile(writeSettingsFile("SYCAMORE_SPAN=-2\nSYCAMORE_SHARE=x\n"))
          .ok());
  Reader.duration("--span", std::chrono::seconds(1), std::chrono::seconds(1));
  Reader.decimal("--share", 1);
  BOOST_TEST(Reader.errors().find("--span") != std::string::npos);
  BOOST_TEST(Reader.errors().find("--share") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
