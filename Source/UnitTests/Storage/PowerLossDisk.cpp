#include "UnitTests/Storage/PowerLossDisk.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sys/stat.h>
#include <unistd.h>

// The program is linked with --wrap for these functions.
ssize_t realWrite(int Descriptor, const void *Bytes,
                  std::size_t Size) asm("__real_write");
int realFsync(int Descriptor) asm("__real_fsync");
int realFdatasync(int Descriptor) asm("__real_fdatasync");
int realFtruncate(int Descriptor, off_t Size) asm("__real_ftruncate");
int realRename(const char *From, const char *To) asm("__real_rename");
ssize_t wrappedWrite(int Descriptor, const void *Bytes,
                     std::size_t Size) asm("__wrap_write");
int wrappedFsync(int Descriptor) asm("__wrap_fsync");
int wrappedFdatasync(int Descriptor) asm("__wrap_fdatasync");
int wrappedFtruncate(int Descriptor, off_t Size) asm("__wrap_ftruncate");
int wrappedRename(const char *From, const char *To) asm("__wrap_rename");

namespace UnitTests {

namespace {

std::string readAll(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(Stream), {}};
}

std::string pathOf(int Descriptor) {
  std::error_code Error;
  return std::filesystem::read_symlink(
             "/proc/self/fd/" + std::to_string(Descriptor), Error)
      .string();
}

/// The active disk if it watches Descriptor, otherwise null.
PowerLossDisk *diskOf(int Descriptor) {
  PowerLossDisk *Disk = PowerLossDisk::active();
  return Disk && Disk->watches(Descriptor) ? Disk : nullptr;
}

template <typename Sync> int sync(int Descriptor, Sync RealSync) {
  PowerLossDisk *Disk = diskOf(Descriptor);
  if (Disk)
    Disk->beforeOperation(true);
  const int Result = RealSync(Descriptor);
  if (Disk && Result == 0)
    Disk->recordSync(Descriptor);
  return Result;
}

} // namespace

PowerLossDisk *PowerLossDisk::Active = nullptr;

PowerLossDisk::PowerLossDisk(std::string Folder, std::uint64_t Seed)
    : Folder(std::move(Folder)), Randomness(Seed) {
  std::filesystem::create_directories(this->Folder);
  Active = this;
}

PowerLossDisk::~PowerLossDisk() { Active = nullptr; }

bool PowerLossDisk::watches(int Descriptor) const {
  const std::string Path = pathOf(Descriptor);
  return Path == this->Folder || Path.starts_with(this->Folder + "/");
}

void PowerLossDisk::beforeOperation(bool CanBeKilled) const {
  if (this->BeforeOperation)
    this->BeforeOperation(CanBeKilled);
}

void PowerLossDisk::recordWrite(int Descriptor, std::string Bytes) {
  struct stat After {};
  fstat(Descriptor, &After);
  // All writes of the program append.
  const auto Offset = static_cast<std::size_t>(After.st_size) - Bytes.size();
  File &Written = this->Files[After.st_ino];
  // A new or emptied file; its inode may have been that of a removed one.
  if (Offset == 0)
    Written = File();
  Written.SinceSync.push_back({false, Offset, std::move(Bytes)});
}

void PowerLossDisk::recordTruncation(int Descriptor, std::size_t Size) {
  struct stat After {};
  fstat(Descriptor, &After);
  this->Files[After.st_ino].SinceSync.push_back({true, Size, ""});
}

void PowerLossDisk::recordSync(int Descriptor) {
  struct stat Status {};
  fstat(Descriptor, &Status);
  const auto Names = this->currentNames();
  if (S_ISDIR(Status.st_mode)) {
    this->SyncedNames = Names;
    return;
  }
  File &Synced = this->Files[Status.st_ino];
  Synced.Synced = readAll(pathOf(Descriptor));
  Synced.SinceSync.clear();
  for (const auto &[Name, Inode] : Names)
    if (Inode == Status.st_ino)
      this->SyncedNames.emplace(Name, Inode);
}

std::map<std::string, ino_t> PowerLossDisk::currentNames() const {
  std::map<std::string, ino_t> Result;
  for (const auto &Each : std::filesystem::directory_iterator(this->Folder)) {
    struct stat Status {};
    if (stat(Each.path().c_str(), &Status) == 0)
      Result[Each.path().filename().string()] = Status.st_ino;
  }
  return Result;
}

std::string PowerLossDisk::contentAfterPowerLoss(const File &Lost,
                                                 bool LosesAll) {
  std::string Content = Lost.Synced;
  for (const Operation &Each : Lost.SinceSync) {
    if (LosesAll || this->Randomness.chance(0.3))
      continue;
    if (Each.Truncates) {
      Content.resize(Each.Offset);
      continue;
    }
    std::size_t From = 0;
    std::size_t To = Each.Bytes.size();
    if (this->Randomness.chance(0.5)) {
      From = this->Randomness.chance(0.5) ? this->Randomness.below(To + 1) : 0;
      To = From + this->Randomness.below(To - From + 1);
    }
    if (From == To)
      continue;
    Content.resize(std::max(Content.size(), Each.Offset + To), '\0');
    Content.replace(Each.Offset + From, To - From, Each.Bytes, From, To - From);
  }
  return Content;
}

PowerLossDisk::Image PowerLossDisk::afterPowerLoss() {
  const bool LosesAll = this->Randomness.chance(0.2);
  const auto Current = this->currentNames();
  std::set<std::string> Names;
  for (const auto &Each : Current)
    Names.insert(Each.first);
  for (const auto &Each : this->SyncedNames)
    Names.insert(Each.first);
  Image Result;
  for (const std::string &Name : Names) {
    const auto &Chosen =
        !LosesAll && this->Randomness.chance(0.5) ? Current : this->SyncedNames;
    const auto Found = Chosen.find(Name);
    if (Found != Chosen.end())
      Result[Name] =
          this->contentAfterPowerLoss(this->Files[Found->second], LosesAll);
  }
  return Result;
}

PowerLossDisk::Image PowerLossDisk::syncedOnly() const {
  Image Result;
  for (const auto &[Name, Inode] : this->SyncedNames) {
    const auto Found = this->Files.find(Inode);
    Result[Name] = Found == this->Files.end() ? "" : Found->second.Synced;
  }
  return Result;
}

void PowerLossDisk::write(const Image &Content, const std::string &Folder) {
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  for (const auto &[Name, Bytes] : Content)
    std::ofstream(std::filesystem::path(Folder) / Name, std::ios::binary)
        << Bytes;
}

} // namespace UnitTests

ssize_t wrappedWrite(int Descriptor, const void *Bytes, std::size_t Size) {
  UnitTests::PowerLossDisk *Disk = UnitTests::diskOf(Descriptor);
  if (Disk)
    Disk->beforeOperation(true);
  const ssize_t Written = realWrite(Descriptor, Bytes, Size);
  if (Disk && Written > 0)
    Disk->recordWrite(Descriptor,
                      std::string(static_cast<const char *>(Bytes),
                                  static_cast<std::size_t>(Written)));
  return Written;
}

int wrappedFsync(int Descriptor) {
  return UnitTests::sync(Descriptor, realFsync);
}

int wrappedFdatasync(int Descriptor) {
  return UnitTests::sync(Descriptor, realFdatasync);
}

int wrappedFtruncate(int Descriptor, off_t Size) {
  UnitTests::PowerLossDisk *Disk = UnitTests::diskOf(Descriptor);
  if (Disk)
    Disk->beforeOperation(false);
  const int Result = realFtruncate(Descriptor, Size);
  if (Disk && Result == 0)
    Disk->recordTruncation(Descriptor, static_cast<std::size_t>(Size));
  return Result;
}

int wrappedRename(const char *From, const char *To) {
  if (UnitTests::PowerLossDisk *Disk = UnitTests::PowerLossDisk::active())
    Disk->beforeOperation(false);
  return realRename(From, To);
}
