#include "cuminfield/process/log/FileLogStorage.h"
#include "UnitTests/process/log/MemoryDisk.h"
#include "cuminfield/process/log/PosixDisk.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <filesystem>
#include <limits>
#include <vector>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::log;
using cuminfield::unit_tests::log::MemoryDisk;

namespace {

const core::GroupId kGroup("documents");
const core::Incarnation kFirstIncarnation(7);
const core::Incarnation kSecondIncarnation(8);
const std::string kPath = "data/documents/log";

/// The expected contents of a log.
struct Model
{
  std::uint64_t term = 0;
  std::uint64_t base = 0;
  std::vector<std::string> commands; ///< From index 1 on; those up to base are in the snapshot.

  bool operator==(const Model&) const = default;
};

proto::Entry MakeEntry(std::uint64_t aIndex, const std::string& aCommand)
{
  proto::Entry entry;
  entry.set_index(aIndex);
  entry.set_term(1);
  entry.set_command(aCommand);
  return entry;
}

/// Generates a random next batch and applies it to aModel.
PersistBatch GenerateBatch(Model& aModel, core::Random& aRandom)
{
  PersistBatch batch;
  aModel.term += aRandom.UniformBelow(2);
  batch.hardState.set_term(aModel.term);
  const std::uint64_t n = aRandom.UniformBelow(4);
  std::uint64_t first = aModel.commands.size() + 1;
  if (n > 0) {
    first -= aRandom.UniformBelow(first - aModel.base);
  }
  aModel.commands.resize(first - 1);
  for (std::uint64_t i = 0; i < n; ++i) {
    aModel.commands.push_back(std::to_string(aRandom.Bits()));
  }
  constexpr double kSnapshotChance = 0.2;
  if (aRandom.Chance(kSnapshotChance)) {
    aModel.base += aRandom.UniformBelow(aModel.commands.size() - aModel.base + 1);
    auto snapshot = std::make_shared<proto::Snapshot>();
    snapshot->set_index(aModel.base);
    batch.snapshot = snapshot;
    first = aModel.base + 1;
  }
  for (std::uint64_t i = first; i <= aModel.commands.size(); ++i) {
    batch.entries.push_back(MakeEntry(i, aModel.commands[i - 1]));
  }
  return batch;
}

bool MatchesModel(const LogContents& aContents, const Model& aModel)
{
  const std::uint64_t base = aContents.snapshot ? aContents.snapshot->index() : 0;
  if (aContents.hardState.term() != aModel.term || base != aModel.base ||
      aContents.entries.size() != aModel.commands.size() - aModel.base) {
    return false;
  }
  for (const proto::Entry& it : aContents.entries) {
    if (it.command() != aModel.commands[it.index() - 1]) {
      return false;
    }
  }
  return true;
}

bool StoreBatch(FileLogStorage& aStorage, PersistBatch aBatch)
{
  bool stored = false;
  aStorage.Persist(std::move(aBatch),
                   [&](const core::Result<void>& aResult) { stored = aResult.has_value(); });
  return stored;
}

FileLogStorageOptions MakeOptions(DiskOperations& aDisk)
{
  return { .folder = "data", .group = kGroup, .disk = aDisk };
}

/// Stores batches across crashes. After each crash, Load() must return what was acknowledged last,
/// or that plus the batch that was being stored.
bool SurvivesCrashes(std::uint64_t aSeed, bool aIgnoreSync)
{
  core::Random random(aSeed);
  MemoryDisk disk;
  Model acknowledged;
  Model inProgress;
  constexpr int kCrashes = 6;
  constexpr std::uint64_t kOperations = 30;
  for (int i = 0; i < kCrashes; ++i) {
    FileLogStorage storage(MakeOptions(disk));
    const auto contents = storage.Load({ .incarnation = kFirstIncarnation });
    if (!contents || contents.value().incarnation != kFirstIncarnation) {
      return false;
    }
    if (!MatchesModel(contents.value(), acknowledged) &&
        !MatchesModel(contents.value(), inProgress)) {
      return false;
    }
    if (!MatchesModel(contents.value(), acknowledged)) {
      acknowledged = inProgress;
    }
    inProgress = acknowledged;
    disk.SetIgnoreSync(aIgnoreSync);
    disk.FailAfter(random.UniformBelow(kOperations));
    while (StoreBatch(storage, GenerateBatch(inProgress, random))) {
      acknowledged = inProgress;
    }
    disk.Crash(random);
  }
  return true;
}

/// Fills a disk entirely or up to a few bytes, or makes room.
void FillAtRandom(MemoryDisk& aDisk, core::Random& aRandom)
{
  constexpr double kFullProbability = 0.3;
  constexpr double kLittleRoomProbability = 0.4;
  const bool hasLittleRoom = aRandom.Chance(kLittleRoomProbability);
  aDisk.SetFull(aRandom.Chance(kFullProbability));
  aDisk.SetRoom(hasLittleRoom ? aRandom.UniformBelow(300)
                              : std::numeric_limits<std::uint64_t>::max());
}

/// Stores a batch on a disk that is full now and then, as often as it takes. Returns false when the
/// disk fails in another way.
bool StoreBatchWhenThereIsRoom(FileLogStorage& aStorage, const PersistBatch& aBatch,
                               MemoryDisk& aDisk, core::Random& aRandom)
{
  auto kind = core::ErrorKind::DiskFull;
  while (kind == core::ErrorKind::DiskFull) {
    FillAtRandom(aDisk, aRandom);
    bool stored = false;
    aStorage.Persist(aBatch, [&](const core::Result<void>& aResult) {
      stored = aResult.has_value();
      kind = stored ? kind : aResult.error().kind;
    });
    if (stored) {
      return true;
    }
  }
  return false;
}

/// Like SurvivesCrashes(), on a disk that is also full now and then, at starts as well.
bool SurvivesFullDisksAndCrashes(std::uint64_t aSeed)
{
  core::Random random(aSeed);
  MemoryDisk disk;
  Model acknowledged;
  Model inProgress;
  constexpr int kCrashes = 6;
  constexpr std::uint64_t kOperations = 60;
  for (int i = 0; i < kCrashes; ++i) {
    FileLogStorage storage(MakeOptions(disk));
    const auto contents = storage.Load({ .incarnation = kFirstIncarnation });
    if (!contents || contents.value().incarnation != kFirstIncarnation) {
      return false;
    }
    if (!MatchesModel(contents.value(), acknowledged) &&
        !MatchesModel(contents.value(), inProgress)) {
      return false;
    }
    if (!MatchesModel(contents.value(), acknowledged)) {
      acknowledged = inProgress;
    }
    inProgress = acknowledged;
    disk.FailAfter(random.UniformBelow(kOperations));
    while (StoreBatchWhenThereIsRoom(storage, GenerateBatch(inProgress, random), disk, random)) {
      acknowledged = inProgress;
    }
    disk.Crash(random);
    FillAtRandom(disk, random);
  }
  return true;
}

} // namespace

TEST_GROUP(FileLogStorage){};

TEST(FileLogStorage, KeepsAcknowledgedBatchesAcrossFullDisksAndCrashes)
{
  CHECK(rc::check([](std::uint64_t aSeed) { RC_ASSERT(SurvivesFullDisksAndCrashes(aSeed)); }));
}

TEST(FileLogStorage, KeepsAcknowledgedBatchesAcrossCrashesBetweenAnyTwoOperations)
{
  CHECK(rc::check([](std::uint64_t aSeed) { RC_ASSERT(SurvivesCrashes(aSeed, false)); }));
}

TEST(FileLogStorage, PlantedFaultAcknowledgementBeforeSyncIsCaught)
{
  int caught = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    caught += SurvivesCrashes(seed, true) ? 0 : 1;
  }
  CHECK(caught > 0);
}

TEST(FileLogStorage, BlankFolderGetsTheNewIncarnationAndKeepsIt)
{
  MemoryDisk disk;
  FileLogStorage first(MakeOptions(disk));
  CHECK(kFirstIncarnation == first.Load({ .incarnation = kFirstIncarnation }).value().incarnation);
  FileLogStorage second(MakeOptions(disk));
  CHECK(kFirstIncarnation ==
        second.Load({ .incarnation = kSecondIncarnation }).value().incarnation);
  disk.Erase();
  FileLogStorage third(MakeOptions(disk));
  CHECK(kSecondIncarnation ==
        third.Load({ .incarnation = kSecondIncarnation }).value().incarnation);
}

/// Guards against batches written behind a torn tail, where they cannot be read. A start on a full
/// disk leaves the torn tail in place; a moment later there is room again.
TEST(FileLogStorage, WritesNothingBehindATornTail)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MemoryDisk disk;
    Model model;
    core::Random random(seed);
    FileLogStorage first(MakeOptions(disk));
    CHECK(first.Load({ .incarnation = kFirstIncarnation }).has_value());
    CHECK(StoreBatch(first, GenerateBatch(model, random)));
    disk.Bytes(kPath) += "torn";
    disk.SetTruncateFails(true);
    FileLogStorage second(MakeOptions(disk));
    CHECK(MatchesModel(second.Load({ .incarnation = kSecondIncarnation }).value(), model));
    disk.SetTruncateFails(false);
    CHECK(StoreBatch(second, GenerateBatch(model, random)));
    FileLogStorage third(MakeOptions(disk));
    const auto contents = third.Load({ .incarnation = kSecondIncarnation });
    CHECK(contents.has_value());
    CHECK(MatchesModel(contents.value(), model));
  }
}

TEST(FileLogStorage, RejectsDamageToAnyAcknowledgedByte)
{
  MemoryDisk disk;
  FileLogStorage storage(MakeOptions(disk));
  CHECK(storage.Load({ .incarnation = kFirstIncarnation }).has_value());
  Model model;
  core::Random random(1);
  std::size_t acknowledged = 0;
  for (int i = 0; i < 5; ++i) {
    acknowledged = disk.Bytes(kPath).size();
    CHECK(StoreBatch(storage, GenerateBatch(model, random)));
  }
  const std::string intact = disk.Bytes(kPath);
  for (std::size_t i = 0; i < acknowledged; ++i) {
    disk.Bytes(kPath) = intact;
    disk.Bytes(kPath)[i] = static_cast<char>(intact[i] ^ 1);
    FileLogStorage reloaded(MakeOptions(disk));
    const auto contents = reloaded.Load({ .incarnation = kFirstIncarnation });
    if (contents.has_value()) {
      // Only a seal may be damaged without an error; everything must then still be present.
      CHECK(MatchesModel(contents.value(), model));
      continue;
    }
    CHECK(contents.error().kind == core::ErrorKind::Corrupt);
    CHECK(contents.error().message.find("move the folder") != std::string::npos);
  }
}

/// The device refuses every write as a full file system does.
TEST(FileLogStorage, RealDiskReportsThatItIsFull)
{
  PosixDisk disk;
  const auto appended = disk.Append("/dev/full", "bytes");
  CHECK(appended.has_error());
  CHECK(appended.error().kind == core::ErrorKind::DiskFull);
  CHECK(appended.error().message.find("make room") != std::string::npos);
}

TEST(FileLogStorage, StoresBatchesInRealFiles)
{
  std::string folder = std::filesystem::temp_directory_path() / "cuminfield-log-XXXXXX";
  CHECK(mkdtemp(folder.data()) != nullptr);
  PosixDisk disk;
  const FileLogStorageOptions options{ .folder = folder, .group = kGroup, .disk = disk };
  Model model;
  core::Random random(1);
  constexpr int kRestarts = 10;
  for (int i = 0; i < kRestarts; ++i) {
    FileLogStorage storage(options);
    const auto contents =
      storage.Load({ .incarnation = core::Incarnation(static_cast<std::uint64_t>(i) + 1) });
    CHECK(contents.has_value());
    CHECK(core::Incarnation(1) == contents.value().incarnation);
    CHECK(MatchesModel(contents.value(), model));
    CHECK(StoreBatch(storage, GenerateBatch(model, random)));
  }
  PosixDisk secondDisk;
  FileLogStorage second({ .folder = folder, .group = kGroup, .disk = secondDisk });
  // The last storage of the loop above still holds the lock.
  CHECK(second.Load({ .incarnation = kFirstIncarnation }).error().kind == core::ErrorKind::Io);
  std::filesystem::remove_all(folder);
}
