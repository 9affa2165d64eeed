#include "Storage/DataFolder.h"

#include "Network/Codec.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace UnitTests {

namespace {

using namespace Consensus;

/// A folder path that is removed at the start and the end of a test.
struct TemporaryFolder {
  std::string Path;
  explicit TemporaryFolder(const std::string &Name)
      : Path((std::filesystem::temp_directory_path() /
              ("sycamore-test-" + Name + "-" + std::to_string(getpid())))
                 .string()) {
    std::filesystem::remove_all(this->Path);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(this->Path); }
};

LogEntry entryOf(std::uint64_t Index) {
  LogEntry Entry;
  Entry.Index = LogIndex{Index};
  Entry.Term = Term{1};
  Entry.Payload = std::string(100, static_cast<char>('a' + Index % 26));
  return Entry;
}

Actions entries(std::uint64_t From, std::uint64_t To) {
  Actions Pending;
  for (std::uint64_t I = From; I <= To; ++I)
    Pending.SaveEntries.push_back(entryOf(I));
  return Pending;
}

Storage::RecoveredState reopen(const std::string &Path, absl::Status &Status) {
  Storage::RecoveredState Recovered;
  const auto Folder = Storage::DataFolder::open(Path, Recovered);
  Status = Folder.status();
  return Recovered;
}

/// Saves a hard state and each entry by itself.
void write(const std::string &Path, std::uint64_t Count) {
  Storage::RecoveredState Recovered;
  auto Folder = Storage::DataFolder::open(Path, Recovered);
  BOOST_REQUIRE(Folder.ok());
  Actions Pending;
  Pending.SaveHardState = HardState{Term{7}, ReplicaId("b")};
  BOOST_REQUIRE(Folder->save(Pending).ok());
  for (std::uint64_t I = 1; I <= Count; ++I)
    BOOST_REQUIRE(Folder->save(entries(I, I)).ok());
}

} // namespace

BOOST_AUTO_TEST_SUITE(DataFolderTest)

BOOST_AUTO_TEST_CASE(folderMustBeFormattedOnce) {
  const TemporaryFolder Folder("format");
  absl::Status Status;
  reopen(Folder.Path, Status);
  BOOST_TEST(absl::IsFailedPrecondition(Status));
  const auto First = Storage::DataFolder::format(Folder.Path, "s1");
  BOOST_REQUIRE(First.ok());
  BOOST_TEST(absl::IsAlreadyExists(
      Storage::DataFolder::format(Folder.Path, "s1").status()));
  // Formatting a wiped folder must create another identity.
  std::filesystem::remove_all(Folder.Path);
  const auto Second = Storage::DataFolder::format(Folder.Path, "s1");
  BOOST_TEST(First->str() != Second->str());
}

BOOST_AUTO_TEST_CASE(secondProcessIsRejected) {
  const TemporaryFolder Folder("lock");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  Storage::RecoveredState Recovered;
  const auto FirstOpened = Storage::DataFolder::open(Folder.Path, Recovered);
  BOOST_REQUIRE(FirstOpened.ok());
  absl::Status Status;
  reopen(Folder.Path, Status);
  BOOST_TEST(absl::IsFailedPrecondition(Status));
}

BOOST_AUTO_TEST_CASE(savedStateIsRecovered) {
  const TemporaryFolder Folder("save");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  write(Folder.Path, 10);
  absl::Status Status;
  const auto Recovered = reopen(Folder.Path, Status);
  BOOST_REQUIRE(Status.ok());
  BOOST_TEST(Recovered.State.Hard.Term.Value == 7u);
  BOOST_TEST(Recovered.State.Hard.VotedFor.str() == "b");
  BOOST_REQUIRE(Recovered.State.Entries.size() == 10u);
  BOOST_TEST(Recovered.State.Entries[9].Payload == entryOf(10).Payload);
}

BOOST_AUTO_TEST_CASE(laterEntriesReplaceEarlierOnes) {
  const TemporaryFolder Folder("replace");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  write(Folder.Path, 10);
  {
    Storage::RecoveredState Recovered;
    auto Open = Storage::DataFolder::open(Folder.Path, Recovered);
    BOOST_REQUIRE(Open->save(entries(5, 6)).ok());
  }
  absl::Status Status;
  BOOST_TEST(reopen(Folder.Path, Status).State.Entries.size() == 6u);
}

BOOST_AUTO_TEST_CASE(incompleteLastRecordIsTruncatedAtEveryByte) {
  const TemporaryFolder Folder("torn");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  write(Folder.Path, 3);
  const std::string Log = Folder.Path + "/log";
  const auto Original = std::filesystem::file_size(Log);
  std::size_t Before = 3;
  for (auto Size = Original - 1; Size > 0; --Size) {
    std::filesystem::resize_file(Log, Size);
    absl::Status Status;
    const auto Recovered = reopen(Folder.Path, Status);
    BOOST_REQUIRE_MESSAGE(Status.ok(), "truncated at byte " << Size);
    BOOST_REQUIRE(Recovered.State.Entries.size() <= Before);
    Before = Recovered.State.Entries.size();
    // Opening the folder truncated the file to complete records.
    Size = std::min<std::uintmax_t>(Size, std::filesystem::file_size(Log) + 1);
  }
  BOOST_TEST(Before == 0u);
}

// Guards against a file that cannot be opened, for example for lack of
// descriptors, being taken for an absent one: the replica would start empty and
// overwrite it.
BOOST_AUTO_TEST_CASE(unopenableFilesAreNotAbsent) {
  const TemporaryFolder Folder("unopenable");
  std::filesystem::create_directories(Folder.Path);
  const std::string Loop = Folder.Path + "/loop";
  std::filesystem::create_symlink(Loop, Loop);
  const auto Unopenable = Storage::readFile(Loop);
  BOOST_TEST(!Unopenable.ok());
  BOOST_TEST(!absl::IsNotFound(Unopenable.status()));
  const auto Unreadable = Storage::readFile(Folder.Path);
  BOOST_TEST(!Unreadable.ok());
  BOOST_TEST(!absl::IsNotFound(Unreadable.status()));
  BOOST_TEST(
      absl::IsNotFound(Storage::readFile(Folder.Path + "/none").status()));
}

BOOST_AUTO_TEST_CASE(corruptionBeforeLastRecordIsDataLoss) {
  const TemporaryFolder Folder("damage");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  write(Folder.Path, 3);
  const auto Original = *Storage::readFile(Folder.Path + "/log");
  // A corrupted last save cannot be told from an incomplete one.
  const std::size_t LastRecord =
      Storage::encodeRecord(std::string(200, 'x')).size();
  for (std::size_t At = 0; At + LastRecord < Original.size(); ++At) {
    std::string Corrupted = Original;
    Corrupted[At] = static_cast<char>(Corrupted[At] ^ 0x40);
    const auto Parsed = Storage::parseRecords(Corrupted);
    BOOST_REQUIRE_MESSAGE(absl::IsDataLoss(Parsed.status()),
                          "corruption at byte " << At << " was not detected");
  }
}

BOOST_AUTO_TEST_CASE(compactionKeepsLaterEntries) {
  const TemporaryFolder Folder("compact");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  Snapshot NewSnapshot;
  NewSnapshot.Index = LogIndex{8};
  NewSnapshot.Term = Term{1};
  NewSnapshot.Data = "state";
  {
    Storage::RecoveredState Recovered;
    auto Open = Storage::DataFolder::open(Folder.Path, Recovered);
    BOOST_REQUIRE(Open->save(entries(1, 10)).ok());
    ReplicatedLog Log({}, entries(1, 10).SaveEntries);
    Log.compact(NewSnapshot);
    BOOST_REQUIRE(Open->compact(HardState{Term{3}, {}}, Log).ok());
    BOOST_REQUIRE(Open->save(entries(11, 12)).ok());
  }
  absl::Status Status;
  const auto Recovered = reopen(Folder.Path, Status);
  BOOST_REQUIRE(Status.ok());
  BOOST_TEST(Recovered.State.BaseSnapshot.Data == "state");
  BOOST_TEST(Recovered.State.Hard.Term.Value == 3u);
  BOOST_REQUIRE(Recovered.State.Entries.size() == 4u);
  BOOST_TEST(Recovered.State.Entries[0].Index.Value == 9u);
}

BOOST_AUTO_TEST_CASE(crashBetweenSnapshotAndNewLogLosesNothing) {
  const TemporaryFolder Folder("between");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  write(Folder.Path, 10);
  Snapshot NewSnapshot;
  NewSnapshot.Index = LogIndex{8};
  NewSnapshot.Term = Term{1};
  const std::string Record =
      Storage::encodeRecord(Network::encode(NewSnapshot));
  BOOST_REQUIRE(Storage::replaceFile(Folder.Path + "/snapshot", Record).ok());
  absl::Status Status;
  const auto Recovered = reopen(Folder.Path, Status);
  BOOST_REQUIRE(Status.ok());
  BOOST_REQUIRE(Recovered.State.Entries.size() == 2u);
  BOOST_TEST(Recovered.State.Entries[0].Index.Value == 9u);
}

BOOST_AUTO_TEST_CASE(fullDiskIsReported) {
  const TemporaryFolder Folder("full");
  BOOST_REQUIRE(Storage::DataFolder::format(Folder.Path, "s1").ok());
  Storage::RecoveredState Recovered;
  auto Open = Storage::DataFolder::open(Folder.Path, Recovered);
  BOOST_REQUIRE(Open.ok());
  // A limit on the file size simulates a full disk.
  const auto Old = std::signal(SIGXFSZ, SIG_IGN);
  rlimit Before{};
  getrlimit(RLIMIT_FSIZE, &Before);
  rlimit Small = Before;
  Small.rlim_cur = 4096;
  setrlimit(RLIMIT_FSIZE, &Small);
  const absl::Status Full = Open->save(entries(1, 100));
  setrlimit(RLIMIT_FSIZE, &Before);
  std::signal(SIGXFSZ, Old);
  BOOST_TEST(absl::IsResourceExhausted(Full));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
