#include "cuminfield/request/placement/UpstreamNotices.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::request;
using namespace cuminfield::request::placement;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamNoticeMemory)
{
  UpstreamNotices notices{ {} };
  const core::UpstreamId id{ "u" };
  core::Instant now{ 100s };

  bool Record(std::uint64_t aIncarnation, const UpstreamNotice& aNotice)
  {
    return notices.Record(id, core::Incarnation(aIncarnation), aNotice, now);
  }

  const UpstreamNotices::Entry* Find(std::uint64_t aIncarnation) const
  {
    return notices.Find(id, core::Incarnation(aIncarnation));
  }
};

TEST(UpstreamNoticeMemory, HoldsForTheIncarnationAndEarlierOnes)
{
  CHECK(Record(5, { .isLeaving = true, .retryAfter = {} }));
  CHECK_FALSE(Record(5, { .isLeaving = true, .retryAfter = {} })); // No news.
  CHECK(Find(5)->isLeaving);
  CHECK(Find(4)->isLeaving);
  CHECK(Find(6) == nullptr);
  CHECK_FALSE(Record(4, { .isLeaving = false, .retryAfter = 3s })); // Of an earlier incarnation.
  CHECK(Record(6, { .isLeaving = false, .retryAfter = 3s }));
  CHECK_FALSE(Find(6)->isLeaving);
}

TEST(UpstreamNoticeMemory, QuietTimeOnlyGrows)
{
  CHECK(Record(1, { .isLeaving = false, .retryAfter = 4s }));
  now += 1s;
  CHECK_FALSE(Record(1, { .isLeaving = false, .retryAfter = 2s }));
  CHECK(Find(1)->quietUntil == core::Instant(104s));
  CHECK(Record(1, { .isLeaving = false, .retryAfter = 5s }));
  CHECK(notices.LatestQuietEnd() == core::Instant(106s));
}

TEST(UpstreamNoticeMemory, IsDroppedWhenItIsOld)
{
  Record(1, { .isLeaving = true, .retryAfter = {} });
  now += 601s;
  notices.Record(core::UpstreamId("other"), core::Incarnation(1),
                 { .isLeaving = true, .retryAfter = {} }, now);
  CHECK(Find(1) == nullptr);
}
