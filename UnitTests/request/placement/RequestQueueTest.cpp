#include "cuminfield/request/placement/RequestQueue.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cuminfield;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(RequestQueue)
{
  RequestQueue queue;
  core::Instant start{ 100s };

  void Add(const std::string& aId, std::uint32_t aRank, core::Duration aArrival,
           core::Duration aMaxOnTimeWait = 400ms, core::Duration aMaxWait = 2s)
  {
    queue.Add({ .id = core::RequestId(aId),
                .rank = aRank,
                .arrival = start + aArrival,
                .latestOnTimeDispatch = start + aArrival + aMaxOnTimeWait,
                .expiresAt = start + aArrival + aMaxWait });
  }

  std::string Next(core::Duration aAt)
  {
    std::string next;
    queue.ServeInOrder(start + aAt, [&](const QueuedRequest& aRequest) {
      next = next.empty() ? aRequest.id.Text() : next;
      return false;
    });
    return next;
  }
};

TEST(RequestQueue, ServesByRankThenByArrival)
{
  Add("low", 2, 0ms);
  Add("first", 1, 1ms);
  Add("second", 1, 2ms);
  Add("top", 0, 3ms);
  STRCMP_EQUAL("top", Next(10ms).c_str());
  queue.Remove(core::RequestId("top"));
  STRCMP_EQUAL("first", Next(10ms).c_str());
}

TEST(RequestQueue, ServesOnTimeRequestsBeforeLateOnes)
{
  Add("late", 0, 0ms);
  Add("fresh", 1, 500ms);
  STRCMP_EQUAL("fresh", Next(600ms).c_str());
  queue.Remove(core::RequestId("fresh"));
  STRCMP_EQUAL("late", Next(600ms).c_str());
}

TEST(RequestQueue, ReturnedRequestRegainsItsPosition)
{
  Add("second", 1, 5ms);
  Add("back", 1, 1ms);
  STRCMP_EQUAL("back", Next(10ms).c_str());
}

TEST(RequestQueue, ExpiredRequestsAreShedOnce)
{
  Add("a", 1, 0ms, 400ms, 1s);
  Add("b", 1, 500ms, 400ms, 1s);
  std::vector<std::string> shed;
  const auto recordShed = [&](const QueuedRequest& aRequest) {
    shed.push_back(aRequest.id.Text());
  };
  queue.RemoveExpired(start + 1200ms, recordShed);
  queue.RemoveExpired(start + 1200ms, recordShed);
  CHECK_EQUAL(1, shed.size());
  STRCMP_EQUAL("a", shed.front().c_str());
  CHECK_EQUAL(1, queue.Size());
}

TEST(RequestQueue, CountsOnlySameOrMoreUrgentRanksAhead)
{
  Add("top", 0, 0ms);
  Add("same", 1, 0ms);
  Add("low", 2, 0ms);
  CHECK_EQUAL(2, queue.CountAhead(1));
  CHECK_EQUAL(3, queue.CountAhead(9));
}
