#include "cuminfield/request/placement/RequestQueue.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cuminfield;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(WaitingLine)
{
  RequestQueue line;
  core::Instant start{ 100s };

  void Add(const std::string& aId, std::uint32_t aRank, core::Duration aArrival,
           core::Duration aOnTime = 400ms, core::Duration aWaits = 2s)
  {
    line.Add({ .id = core::RequestId(aId),
               .rank = aRank,
               .arrival = start + aArrival,
               .latestOnTimeDispatch = start + aArrival + aOnTime,
               .expiresAt = start + aArrival + aWaits });
  }

  std::string Next(core::Duration aAt)
  {
    std::string next;
    line.ServeInOrder(start + aAt, [&](const QueuedRequest& aWaiting) {
      next = next.empty() ? aWaiting.id.Text() : next;
      return false;
    });
    return next;
  }
};

TEST(WaitingLine, TheMoreUrgentThenTheEarlierIsServedFirst)
{
  Add("low", 2, 0ms);
  Add("first", 1, 1ms);
  Add("second", 1, 2ms);
  Add("top", 0, 3ms);
  STRCMP_EQUAL("top", Next(10ms).c_str());
  line.Remove(core::RequestId("top"));
  STRCMP_EQUAL("first", Next(10ms).c_str());
}

TEST(WaitingLine, ThoseThatCanBeInTimeGoBeforeThoseThatCannot)
{
  Add("late", 0, 0ms);
  Add("fresh", 1, 500ms);
  STRCMP_EQUAL("fresh", Next(600ms).c_str());
  line.Remove(core::RequestId("fresh"));
  STRCMP_EQUAL("late", Next(600ms).c_str());
}

TEST(WaitingLine, OneThatComesBackKeepsItsPlace)
{
  Add("second", 1, 5ms);
  Add("back", 1, 1ms);
  STRCMP_EQUAL("back", Next(10ms).c_str());
}

TEST(WaitingLine, ThoseThatWaitedTooLongAreTurnedAwayOnce)
{
  Add("a", 1, 0ms, 400ms, 1s);
  Add("b", 1, 500ms, 400ms, 1s);
  std::vector<std::string> shed;
  const auto note = [&](const QueuedRequest& aWaiting) { shed.push_back(aWaiting.id.Text()); };
  line.RemoveExpired(start + 1200ms, note);
  line.RemoveExpired(start + 1200ms, note);
  CHECK_EQUAL(1, shed.size());
  STRCMP_EQUAL("a", shed.front().c_str());
  CHECK_EQUAL(1, line.Size());
}

TEST(WaitingLine, OnlyThoseOfTheSameOrAHigherRankAreAhead)
{
  Add("top", 0, 0ms);
  Add("same", 1, 0ms);
  Add("low", 2, 0ms);
  CHECK_EQUAL(2, line.CountAhead(1));
  CHECK_EQUAL(3, line.CountAhead(9));
}
