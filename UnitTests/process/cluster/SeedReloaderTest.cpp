#include "cuminfield/process/cluster/SeedReloader.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace cuminfield;
using namespace cuminfield::process::cluster;

TEST_GROUP(SeedReloader)
{
  std::string path = std::filesystem::temp_directory_path() /
                     ("cuminfield-seeds-" + std::to_string(::getpid()) + ".ini");
  std::vector<std::vector<core::HostId>> changes;
  SeedReloader reloader{ { .path = path,
                           .seeds = { core::HostId("10.0.0.1") },
                           .onSeedsChanged = [this](const std::vector<core::HostId>& aSeeds) {
                             changes.push_back(aSeeds);
                           } } };

  void teardown() override
  {
    std::filesystem::remove(path);
  }

  void Write(const std::string& aSeeds)
  {
    std::ofstream(path) << "[host]\nid = 10.0.0.9\ndata-centre = a\nregion = r\n"
                           "[listen]\npeer-port = 7600\n[cluster]\nseeds = "
                        << aSeeds << "\n";
  }
};

TEST(SeedReloader, PassesOnChangedSeedsOnce)
{
  Write("10.0.0.1:8229");
  reloader.Reload();
  CHECK_EQUAL(0, changes.size());
  Write("10.0.0.2:8229,10.0.0.3:8229");
  reloader.Check();
  reloader.Reload();
  CHECK_EQUAL(1, changes.size());
  CHECK(changes[0] ==
        std::vector<core::HostId>({ core::HostId("10.0.0.2"), core::HostId("10.0.0.3") }));
}

TEST(SeedReloader, FileThatCannotBeUsedLeavesTheSeeds)
{
  reloader.Reload(); // There is none.
  Write("10.0.0.2");
  reloader.Reload();
  Write("");
  reloader.Reload();
  std::ofstream(path) << "[cluster]\nseeds = 10.0.0.2:8229\n[cluser]\n";
  reloader.Reload();
  CHECK_EQUAL(0, changes.size());
  Write("10.0.0.2:8229");
  reloader.Reload();
  CHECK_EQUAL(1, changes.size());
}
