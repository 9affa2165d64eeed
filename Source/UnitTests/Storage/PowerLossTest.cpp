#include "Storage/DataFolder.h"
#include "UnitTests/Storage/PowerLossDisk.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <optional>
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

/// A random sequence of operations on one folder. Before each file operation
/// the power may be lost, of which a copy of the folder is checked, or the
/// process may be killed and start again.
class RandomHistory {
public:
  explicit RandomHistory(std::uint64_t Seed)
      : Seed(Seed), Randomness(Seed), Disk(this->Folders.Data, Seed) {
    BOOST_REQUIRE(Storage::DataFolder::format(this->Folders.Data, "s1").ok());
    this->Disk.BeforeOperation = [this](bool CanBeKilled) {
      this->beforeOperation(CanBeKilled);
    };
    this->reopen();
  }

  void run() {
    constexpr int Steps = 30;
    for (int Step = 0; Step < Steps; ++Step) {
      try {
        this->operate();
      } catch (const PowerLossDisk::ProcessKilled &) {
        this->MayKill = false;
        this->reopen();
      }
      this->checkAfterPowerLoss();
    }
  }

private:
  void beforeOperation(bool CanBeKilled) {
    this->checkAfterPowerLoss();
    if (CanBeKilled && this->MayKill && this->Randomness.chance(0.1))
      throw PowerLossDisk::ProcessKilled();
  }

  /// Opens the folder as a new process does. What it returns counts as
  /// acknowledged from then on.
  void reopen() {
    this->Folder.reset();
    Storage::RecoveredState Recovered;
    auto Opened = Storage::DataFolder::open(this->Folders.Data, Recovered);
    BOOST_REQUIRE_MESSAGE(Opened.ok(),
                          "seed " << this->Seed << ": " << Opened.status());
    this->Folder.emplace(std::move(*Opened));
    this->Acknowledged = std::move(Recovered.State);
    this->Requested = this->Acknowledged;
    this->MayKill = true;
  }

  void operate() {
    PersistentState &Next = this->Requested;
    const std::uint64_t Base = Next.BaseSnapshot.Index.Value;
    const std::uint64_t Last = Base + Next.Entries.size();
    Actions Pending;
    if (this->Randomness.chance(0.4)) {
      Next.Hard.Term = Term{Next.Hard.Term.Value + 1};
      Pending.SaveHardState = Next.Hard;
    }
    if (this->Randomness.chance(0.15) && !Next.Entries.empty()) {
      this->compact();
      return;
    }
    std::uint64_t From = Last + 1;
    if (this->Randomness.chance(0.1)) {
      From = Last + 1 + this->Randomness.below(5);
      Next.BaseSnapshot.Index = LogIndex{From};
      Next.BaseSnapshot.Term = Next.Hard.Term;
      Next.Entries.clear();
      Pending.InstallSnapshot = Next.BaseSnapshot;
      ++From;
    } else if (this->Randomness.chance(0.2) && !Next.Entries.empty()) {
      From = Last;
      Next.Entries.pop_back();
    }
    for (std::uint64_t I = this->Randomness.below(4); I > 0; --I, ++From) {
      Next.Entries.push_back(entryOf(From, Next.Hard.Term.Value));
      Pending.SaveEntries.push_back(Next.Entries.back());
    }
    BOOST_REQUIRE(this->Folder->save(Pending).ok());
    this->Acknowledged = this->Requested;
  }

  void compact() {
    PersistentState &Next = this->Requested;
    ReplicatedLog Log(Next.BaseSnapshot, Next.Entries);
    Snapshot Compacted;
    Compacted.Index = LogIndex{Next.BaseSnapshot.Index.Value + 1 +
                               this->Randomness.below(Next.Entries.size())};
    Compacted.Term = Log.termAt(Compacted.Index);
    Log.compact(Compacted);
    std::erase_if(Next.Entries, [&Compacted](const LogEntry &Entry) {
      return Entry.Index <= Compacted.Index;
    });
    Next.BaseSnapshot = Compacted;
    BOOST_REQUIRE(this->Folder->compact(Next.Hard, Log).ok());
    this->Acknowledged = this->Requested;
  }

  void checkAfterPowerLoss() {
    // The checks below write and sync files elsewhere.
    const auto Hook = std::exchange(this->Disk.BeforeOperation, nullptr);
    const auto Left =
        recover(this->Disk.afterPowerLoss(), this->Folders.Survivor);
    this->Disk.BeforeOperation = Hook;
    BOOST_REQUIRE_MESSAGE(Left.ok(),
                          "seed " << this->Seed << ": " << Left.status());
    const PersistentState &State = Left->State;
    BOOST_REQUIRE_MESSAGE((State.Hard == this->Acknowledged.Hard ||
                           State.Hard == this->Requested.Hard),
                          "seed " << this->Seed << ": term "
                                  << State.Hard.Term.Value << " was left of "
                                  << this->Acknowledged.Hard.Term.Value);
    const ReplicatedLog Log(State.BaseSnapshot, State.Entries);
    const ReplicatedLog New(this->Requested.BaseSnapshot,
                            this->Requested.Entries);
    for (const LogEntry &Each : this->Acknowledged.Entries) {
      const bool Replaced = Each.Index > New.snapshotIndex() &&
                            !New.matches(Each.Index, Each.Term);
      BOOST_REQUIRE_MESSAGE((Replaced || Each.Index <= Log.snapshotIndex() ||
                             Log.matches(Each.Index, Each.Term)),
                            "seed " << this->Seed << ": entry "
                                    << Each.Index.Value
                                    << " was acknowledged and is lost");
    }
    BOOST_REQUIRE(Log.snapshotIndex() >= this->Acknowledged.BaseSnapshot.Index);
  }

  std::uint64_t Seed;
  Common::Random Randomness;
  TemporaryFolders Folders;
  PowerLossDisk Disk;
  std::optional<Storage::DataFolder> Folder;
  /// What a completed operation has made durable, and what an operation that
  /// has not ended may have changed.
  PersistentState Acknowledged;
  PersistentState Requested;
  bool MayKill = false;
};

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

// Guards against a loss of what a save, an installed snapshot, a compaction or
// an open has returned, at a power loss before any write, sync or rename.
BOOST_AUTO_TEST_CASE(acknowledgedStateSurvivesPowerLossAtEachOperation) {
  constexpr std::uint64_t Seeds = 20;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    RandomHistory(Seed).run();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
