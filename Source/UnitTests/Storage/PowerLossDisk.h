#ifndef SYCAMOREREACH_UNITTESTS_STORAGE_POWERLOSSDISK_H
#define SYCAMOREREACH_UNITTESTS_STORAGE_POWERLOSSDISK_H

#include "Common/Random.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace UnitTests {

/// Records what this process writes in one folder and which of it is synced,
/// and computes what a power loss would leave. The linker redirects the file
/// operations of the program to the instance that exists; there is one at most.
///
/// A synced file keeps its content and its name. Each later write is present,
/// missing or torn, and each name that was created, renamed or removed since
/// the last sync of the folder is kept or lost independently.
class PowerLossDisk {
public:
  /// The content of each file by its name.
  using Image = std::map<std::string, std::string>;
  /// Thrown by BeforeOperation in place of the operation.
  struct ProcessKilled {};

  PowerLossDisk(std::string Folder, std::uint64_t Seed);
  ~PowerLossDisk();
  PowerLossDisk(const PowerLossDisk &) = delete;
  PowerLossDisk &operator=(const PowerLossDisk &) = delete;

  /// A randomly chosen content of the folder after a power loss now.
  Image afterPowerLoss();
  /// What a power loss that loses all writes since the last syncs leaves.
  Image syncedOnly() const;
  static void write(const Image &Content, const std::string &Folder);

  /// Called before each write, sync, truncation and rename in the folder. It
  /// may throw ProcessKilled if CanBeKilled is set: truncations and renames are
  /// declared not to throw.
  std::function<void(bool CanBeKilled)> BeforeOperation;

  // Called by the redirected file operations.
  static PowerLossDisk *active() { return Active; }
  bool watches(int Descriptor) const;
  void beforeOperation(bool CanBeKilled) const;
  void recordWrite(int Descriptor, std::string Bytes);
  void recordTruncation(int Descriptor, std::size_t Size);
  void recordSync(int Descriptor);

private:
  struct Operation {
    bool Truncates = false;
    /// Offset of a write, or the new size.
    std::size_t Offset = 0;
    std::string Bytes;
  };
  struct File {
    std::string Synced;
    std::vector<Operation> SinceSync;
  };

  std::map<std::string, ino_t> currentNames() const;
  std::string contentAfterPowerLoss(const File &Lost, bool LosesAll);

  static PowerLossDisk *Active;
  std::string Folder;
  Common::Random Randomness;
  std::map<ino_t, File> Files;
  std::map<std::string, ino_t> SyncedNames;
};

} // namespace UnitTests

#endif
