#include "cuminfield/request/admission/FairQueue.h"
#include "UnitTests/request/SeededCheck.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>

using cuminfield::request::admission::FairQueue;
using cuminfield::request::admission::FlatHashMap;
using cuminfield::unit_tests::request::PropertyHolds;

TEST_GROUP(FairQueue)
{
  FairQueue queue;

  /// Serves items and counts them by workspace, which is item / 1000.
  std::array<int, 3> Serve(int aCount)
  {
    std::array<int, 3> served{};
    for (int n = 0; n < aCount; ++n) {
      const std::uint32_t item = queue.Front();
      queue.Serve(item);
      ++served[item / 1'000];
    }
    return served;
  }

  void Push(std::uint32_t aWorkspace, std::uint32_t aCount, double aCost, std::uint32_t aWeight)
  {
    for (std::uint32_t n = 0; n < aCount; ++n) {
      queue.Push(aWorkspace * 1'000 + n, aWorkspace, aCost, aWeight);
    }
  }
};

TEST(FairQueue, SharesEvenlyRegardlessOfQueueLength)
{
  Push(0, 500, 1, 1);
  Push(1, 20, 1, 1);
  const auto served = Serve(40);
  CHECK_EQUAL(20, served[0]);
  CHECK_EQUAL(20, served[1]);
}

TEST(FairQueue, SharesByWeightAndCost)
{
  Push(0, 200, 1, 1);
  Push(1, 200, 1, 3);
  Push(2, 200, 2, 1);
  const auto served = Serve(90);
  CHECK_EQUAL(20, served[0]);
  CHECK_EQUAL(60, served[1]);
  CHECK_EQUAL(10, served[2]);
}

TEST(FairQueue, AnIdleWorkspaceAccumulatesNoCredit)
{
  Push(0, 200, 1, 1);
  Serve(100);
  Push(1, 100, 1, 1);
  const auto served = Serve(40);
  CHECK_EQUAL(20, served[1]);
}

TEST(FairQueue, PreservesTheOrderWithinAWorkspace)
{
  Push(0, 3, 1, 1);
  queue.Remove(1);
  CHECK_EQUAL(0U, queue.Front());
  queue.Serve(0);
  CHECK_EQUAL(2U, queue.Front());
  CHECK_EQUAL(2U, queue.Newest());
  queue.Serve(2);
  CHECK_EQUAL(FairQueue::kNone, queue.Front());
  CHECK(queue.IsEmpty());
}

TEST_GROUP(FlatHashMap){};

TEST(FlatHashMap, BehavesLikeStdMap)
{
  const auto property = [] {
    const auto keys =
      *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 64));
    FlatHashMap index(4);
    std::map<std::uint64_t, std::uint32_t> model;
    std::uint32_t value = 0;
    for (const std::uint64_t key : keys) {
      if (model.erase(key) > 0) {
        index.Erase(key);
      } else {
        model[key] = value;
        index.Set(key, value++);
      }
      for (std::uint64_t it = 0; it < 64; ++it) {
        const auto expected = model.find(it);
        RC_ASSERT(index.Find(it) ==
                  (expected == model.end() ? FlatHashMap::kNone : expected->second));
      }
    }
    RC_ASSERT(index.Size() == model.size());
  };
  CHECK(PropertyHolds(property, 1, 500));
}
