#include "cuminfield/process/cluster/FeedSelector.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace cuminfield;
using namespace cuminfield::process::cluster;

TEST_GROUP(FeedSelector)
{
  core::Instant now{ 1000s };
  FeedSelector selector{ {} };
  FollowerTable::Follower follower;
  proto::Feed feed;

  void setup() override
  {
    feed.set_led(true);
    feed.set_document_number(1);
  }

  FeedContent Select() const
  {
    return selector.Select(follower, feed, now);
  }

  /// Feeds that a follower gets in ten seconds with a round every 100 ms.
  int CountFeeds()
  {
    int count = 0;
    for (int n = 0; n < 100; ++n) {
      now += 100ms;
      if (Select() != FeedContent::None) {
        follower.feedSentAt = now;
        ++count;
      }
    }
    return count;
  }
};

TEST(FeedSelector, FollowersGetAllInEveryRound)
{
  CHECK(Select() == FeedContent::Full);
  feed.set_led(false);
  CHECK(Select() == FeedContent::Full);
  LONGS_EQUAL(100, CountFeeds());
}

TEST(FeedSelector, HostsThatTryGetTheStateOnly)
{
  follower.isTrial = true;
  CHECK(Select() == FeedContent::State);
}

/// Load pattern: hundreds of hosts start while no leader is known, as after a loss of power.
TEST(FeedSelector, HostsThatStartGetFewFeedsWhileTheyCannotFollow)
{
  follower.report.set_searching(true);
  feed.set_led(false);
  CHECK(Select() == FeedContent::State);
  CHECK(CountFeeds() <= 20);
}

TEST(FeedSelector, HostsThatStartGetAllAsSoonAsTheyMayFollow)
{
  follower.report.set_searching(true);
  follower.feedSentAt = now;
  CHECK(Select() == FeedContent::Full);
  feed.set_state_age_ms(5000);
  CHECK(Select() == FeedContent::None);
  feed.set_state_age_ms(0);
  feed.set_document_number(0);
  CHECK(Select() == FeedContent::None);
}
