#include "cuminfield/process/log/LeaderSearch.h"

#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace std::chrono_literals;
using process::log::LeaderSearch;

TEST_GROUP(LeaderSearch)
{
  LeaderSearch search;
  core::Instant now{ 100s };

  LeaderSearch::Summary Summarize() const
  {
    return LeaderSearch::Summarize(search.Hosts(now));
  }
};

TEST(LeaderSearch, CountsHostsThatAnswerAndThatBelong)
{
  search.RecordAsked({ core::HostId("a"), core::HostId("b"), core::HostId("c") }, now);
  search.RecordHeard(core::HostId("a"), true, now);
  search.RecordHeard(core::HostId("b"), false, now);
  search.RecordHeard(core::HostId("d"), true, now); // Not asked.
  CHECK_EQUAL(3, Summarize().asked);
  CHECK_EQUAL(2, Summarize().answering);
  CHECK_EQUAL(1, Summarize().belonging);
  CHECK_EQUAL(4, search.Hosts(now).size());
  now += 3s;
  search.RecordAsked({ core::HostId("a"), core::HostId("b") }, now);
  CHECK_EQUAL(2, Summarize().asked);
  CHECK_EQUAL(0, Summarize().answering);
  CHECK(search.Hosts(now).front().sinceHeard == 3s);
}

TEST(LeaderSearch, ForgetsTheHostsThatWereMentionedLongestAgo)
{
  for (int n = 0; n < 1000; ++n) {
    now += 1ms;
    search.RecordHeard(core::HostId("stranger-" + std::to_string(n)), true, now);
    search.RecordAsked({ core::HostId("asked") }, now);
  }
  CHECK_EQUAL(64, search.Hosts(now).size());
  STRCMP_EQUAL("asked", search.Hosts(now).front().host.Text().c_str());
  now += 2min;
  CHECK(search.Hosts(now).empty());
}
