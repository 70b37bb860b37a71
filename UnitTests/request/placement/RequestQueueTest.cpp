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

/// A workspace that sends many times its usual must wait behind itself, also after the queue was
/// empty for a moment; with one workspace, the order is that of arrival.
TEST(RequestQueue, FairOrderInterleavesWorkspaces)
{
  queue.SetFairOrder(true);
  const auto add = [&](const std::string& aId, const std::string& aWorkspace,
                       core::Duration aArrival) {
    queue.Add({ .id = core::RequestId(aId),
                .rank = 1,
                .arrival = start + aArrival,
                .latestOnTimeDispatch = start + 1s,
                .expiresAt = start + 2s,
                .workspace = core::WorkspaceId(aWorkspace) });
  };
  const auto serve = [&](std::size_t aCount) {
    std::string served;
    queue.ServeInOrder(start + 100ms, [&](const QueuedRequest& aRequest) {
      if (aCount == 0) {
        return false;
      }
      --aCount;
      served += aRequest.id.Text() + " ";
      return true;
    });
    return served;
  };
  for (int i = 0; i < 6; ++i) {
    add("busy" + std::to_string(i), "busy", std::chrono::milliseconds(i));
  }
  add("a0", "a", 10ms);
  add("b0", "b", 11ms);
  DOUBLES_EQUAL(1.0 / 3, queue.PartUpTo(1, core::WorkspaceId("c")) - 1.0 / 9, 1e-9);
  DOUBLES_EQUAL(1, queue.PartUpTo(1, core::WorkspaceId("busy")), 1e-9);
  STRCMP_EQUAL("busy0 a0 b0 busy1 ", serve(4).c_str());
  add("a1", "a", 20ms);
  STRCMP_EQUAL("a1 busy2 busy3 busy4 busy5 ", serve(9).c_str());
  add("busy6", "busy", 30ms);
  add("a2", "a", 31ms);
  STRCMP_EQUAL("a2 busy6 ", serve(9).c_str());
}
