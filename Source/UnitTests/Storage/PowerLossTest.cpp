#include "Storage/DataFolder.h"
#include "UnitTests/Storage/PowerLossDisk.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

namespace UnitTests {

namespace {

using namespace Consensus;

/// Folder paths that are removed at the start and the end of a test.
struct TemporaryFolders {
  std::string Root = (std::filesystem::temp_directory_path() /
                      ("sycamore-power-" + std::to_string(getpid())))
                         .string();
  std::string Data = this->Root + "/data";
  std::string Survivor = this->Root + "/survivor";

  TemporaryFolders() { std::filesystem::remove_all(this->Root); }
  ~TemporaryFolders() { std::filesystem::remove_all(this->Root); }
};

LogEntry entryOf(std::uint64_t Index, std::uint64_t InTerm) {
  LogEntry Entry;
  Entry.Index = LogIndex{Index};
  Entry.Term = Term{InTerm};
  Entry.Payload = "entry " + std::to_string(Index) + " of term " +
                  std::to_string(InTerm) + std::string(Index % 40, '.');
  return Entry;
}

Actions entries(std::uint64_t From, std::uint64_t To) {
  Actions Pending;
  for (std::uint64_t I = From; I <= To; ++I)
    Pending.SaveEntries.push_back(entryOf(I, 1));
  return Pending;
}

absl::StatusOr<Storage::RecoveredState>
recover(const PowerLossDisk::Image &Left, const std::string &Folder) {
  PowerLossDisk::write(Left, Folder);
  Storage::RecoveredState Recovered;
  const auto Opened = Storage::DataFolder::open(Folder, Recovered);
  if (!Opened.ok())
    return Opened.status();
  return Recovered;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PowerLossTest)

// Guards against entries that are acknowledged from the page cache: a process
// that is killed before its sync finds them in the file after its restart.
BOOST_AUTO_TEST_CASE(entriesReadAtStartSurvivePowerLoss) {
  const TemporaryFolders Folders;
  PowerLossDisk Disk(Folders.Data, 1);
  BOOST_REQUIRE(Storage::DataFolder::format(Folders.Data, "s1").ok());
  {
    Storage::RecoveredState Recovered;
    auto Folder = Storage::DataFolder::open(Folders.Data, Recovered);
    BOOST_REQUIRE(Folder->save(entries(1, 2)).ok());
    int Operations = 0;
    Disk.BeforeOperation = [&Operations](bool) {
      constexpr int Sync = 2;
      if (++Operations == Sync)
        throw PowerLossDisk::ProcessKilled();
    };
    BOOST_CHECK_THROW((void)Folder->save(entries(3, 3)),
                      PowerLossDisk::ProcessKilled);
    Disk.BeforeOperation = nullptr;
  }
  Storage::RecoveredState Restarted;
  const auto Folder = Storage::DataFolder::open(Folders.Data, Restarted);
  BOOST_REQUIRE(Folder.ok());
  BOOST_REQUIRE(Restarted.State.Entries.size() == 3u);
  const auto Left = recover(Disk.syncedOnly(), Folders.Survivor);
  BOOST_REQUIRE_MESSAGE(Left.ok(), Left.status());
  BOOST_TEST(Left->State.Entries.size() == 3u);
}

// Guards against a folder that is taken for corrupted after a power loss: of a
// write that was not synced, the beginning may be lost and the end present.
BOOST_AUTO_TEST_CASE(tornWriteOfSeveralRecordsIsTruncated) {
  const TemporaryFolders Folders;
  PowerLossDisk Disk(Folders.Data, 2);
  BOOST_REQUIRE(Storage::DataFolder::format(Folders.Data, "s1").ok());
  Storage::RecoveredState Recovered;
  auto Folder = Storage::DataFolder::open(Folders.Data, Recovered);
  BOOST_REQUIRE(Folder->save(entries(1, 2)).ok());
  PowerLossDisk::Image Left = Disk.syncedOnly();
  const std::size_t Synced = Left["log"].size();
  BOOST_REQUIRE(Folder->save(entries(3, 5)).ok());
  const std::string Whole = Disk.syncedOnly()["log"];
  for (std::size_t Lost = 1; Synced + Lost < Whole.size(); ++Lost) {
    Left["log"] = Whole;
    std::fill_n(Left["log"].begin() + static_cast<std::ptrdiff_t>(Synced), Lost,
                '\0');
    const auto Survivor = recover(Left, Folders.Survivor);
    BOOST_REQUIRE_MESSAGE(Survivor.ok(),
                          Lost << " bytes lost: " << Survivor.status());
    BOOST_REQUIRE(Survivor->State.Entries.size() == 2u);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
