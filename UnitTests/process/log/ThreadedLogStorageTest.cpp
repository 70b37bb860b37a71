#include "cuminfield/process/log/ThreadedLogStorage.h"
#include "UnitTests/process/log/MemoryDisk.h"
#include "cuminfield/process/log/FileLogStorage.h"

#include <future>
#include <thread>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::log;

TEST_GROUP(ThreadedLogStorage){};

TEST(ThreadedLogStorage, StoresOnItsThreadAndPostsTheCompletion)
{
  unit_tests::log::MemoryDisk disk;
  FileLogStorage files({ .folder = "data", .group = core::GroupId("g"), .disk = disk });
  std::promise<std::function<void()>> posted;
  ThreadedLogStorage storage(
    { .inner = files, .post = [&](const std::function<void()>& aJob) { posted.set_value(aJob); } });
  CHECK(storage.Load({ .incarnation = core::Incarnation(1) }).has_value());
  PersistBatch batch;
  batch.hardState.set_term(5);
  std::thread::id doneOn;
  storage.Persist(std::move(batch), [&](const core::Result<void>& aResult) {
    CHECK(aResult.has_value());
    doneOn = std::this_thread::get_id();
  });
  posted.get_future().get()();
  CHECK(std::this_thread::get_id() == doneOn);
  FileLogStorage again({ .folder = "data", .group = core::GroupId("g"), .disk = disk });
  LONGS_EQUAL(5, again.Load({ .incarnation = core::Incarnation(2) }).value().hardState.term());
}
