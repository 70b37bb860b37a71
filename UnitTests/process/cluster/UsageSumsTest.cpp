#include "cuminfield/process/cluster/UsageSums.h"
#include "UnitTests/request/SeededCheck.h"

#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <vector>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace cuminfield;
using namespace cuminfield::process::cluster;

namespace {

constexpr int kHosts = 6;

proto::Report MakeRandomReport()
{
  proto::Report report;
  const auto below = [](int aLimit) { return *rc::gen::inRange(0, aLimit); };
  for (int i = below(5); i > 0; --i) {
    proto::InFlight* it = report.add_in_flight();
    it->set_upstream("u" + std::to_string(below(8)));
    it->set_requests(below(10));
    it->set_prompt_tokens(below(100'000));
    it->set_doubting(below(2));
    it->set_trusting(below(2));
  }
  for (int i = below(4); i > 0; --i) {
    proto::Demand* it = report.add_demand();
    it->set_workspace("w" + std::to_string(below(4)));
    it->set_units_per_s(below(1'000'000) / 7.0);
    it->set_used(below(10'000'000) / 3.0);
  }
  for (int i = below(4); i > 0; --i) {
    proto::Wanted* it = report.add_wanted();
    it->set_service("s" + std::to_string(below(2)));
    it->set_rank(below(3));
    it->set_requests(below(20));
  }
  report.set_quota_memory(below(1000) / 1000.0);
  report.set_forgetful(below(2));
  report.set_has_observed(below(2) == 1);
  if (report.has_observed()) {
    for (int i = below(5); i > 0; --i) {
      proto::Observed* it = report.add_observed();
      it->set_upstream("u" + std::to_string(below(8)));
      it->set_answers(static_cast<float>(below(1000)) / 9.0F);
      it->set_token_ms(static_cast<float>(below(100'000)) / 9.0F);
    }
  }
  return report;
}

/// The sums over reports, computed anew.
struct PlainSums
{
  std::map<std::string, std::uint32_t> requests;
  std::map<std::string, std::uint32_t> promptTokens;
  std::map<std::string, std::uint32_t> suspecting;
  std::map<std::string, double> used;
  std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> wanted;
  std::map<std::string, double> answers;

  void Add(const proto::Report& aReport, const proto::Report& aObserved)
  {
    for (const auto& it : aReport.in_flight()) {
      requests[it.upstream()] += it.requests();
      promptTokens[it.upstream()] += it.prompt_tokens();
      suspecting[it.upstream()] += it.doubting();
    }
    for (const auto& it : aReport.demand()) {
      used[it.workspace()] += it.used();
    }
    for (const auto& it : aReport.wanted()) {
      wanted[{ it.service(), it.rank() }] += it.requests();
    }
    for (const auto& it : aObserved.observed()) {
      answers[it.upstream()] += it.answers();
    }
  }
};

void CheckEqual(const PlainSums& aExpected, const proto::Feed& aFeed)
{
  constexpr double kResolution = 1e-3;
  RC_ASSERT(static_cast<std::size_t>(aFeed.in_flight_size()) == aExpected.requests.size());
  for (const auto& it : aFeed.in_flight()) {
    RC_ASSERT(it.requests() == aExpected.requests.at(it.upstream()));
    RC_ASSERT(it.prompt_tokens() == aExpected.promptTokens.at(it.upstream()));
    RC_ASSERT(it.doubting() == aExpected.suspecting.at(it.upstream()));
  }
  RC_ASSERT(static_cast<std::size_t>(aFeed.demand_size()) == aExpected.used.size());
  for (const auto& it : aFeed.demand()) {
    RC_ASSERT(std::abs(it.used() - aExpected.used.at(it.workspace())) < kResolution);
  }
  RC_ASSERT(static_cast<std::size_t>(aFeed.wanted_size()) == aExpected.wanted.size());
  for (const auto& it : aFeed.wanted()) {
    RC_ASSERT(it.requests() == aExpected.wanted.at({ it.service(), it.rank() }));
  }
  RC_ASSERT(static_cast<std::size_t>(aFeed.observed_size()) == aExpected.answers.size());
  for (const auto& it : aFeed.observed()) {
    RC_ASSERT(std::abs(it.answers() - aExpected.answers.at(it.upstream())) < kResolution);
  }
}

/// Replaces and removes the reports of random hosts, and compares the sums after each step.
void CheckAgainstPlainSums()
{
  UsageSums sums;
  std::vector<UsageSums::Part> parts(kHosts);
  std::map<int, proto::Report> reports;
  std::map<int, proto::Report> observed;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const int host = *rc::gen::inRange(0, kHosts);
    if (*rc::gen::inRange(0, 5) == 0) {
      sums.Remove(parts[host]);
      reports.erase(host);
      observed.erase(host);
    } else {
      reports[host] = MakeRandomReport();
      if (reports[host].has_observed()) {
        observed[host] = reports[host];
      }
      sums.Replace(parts[host], reports[host]);
    }
    const int excluded = *rc::gen::inRange(-1, kHosts);
    PlainSums expected;
    std::uint32_t hosts = 0;
    for (const auto& [it, report] : reports) {
      ++hosts;
      if (it != excluded) {
        expected.Add(report, observed[it]);
      }
    }
    proto::Feed feed;
    sums.Write(excluded < 0 ? nullptr : &parts[excluded], true, feed);
    CheckEqual(expected, feed);
    RC_ASSERT(feed.hosts() == hosts);
  }
  for (UsageSums::Part& it : parts) {
    sums.Remove(it);
  }
  proto::Feed feed;
  sums.Write(nullptr, true, feed);
  CheckEqual({}, feed);
  RC_ASSERT(feed.quota_memory() == 0);
}

} // namespace

TEST_GROUP(UsageSums){};

TEST(UsageSums, EqualPlainSumsAfterRandomReports)
{
  CHECK(unit_tests::request::PropertyHolds(CheckAgainstPlainSums, 21, 300));
}

/// One faulty host must not spoil the sums for all.
TEST(UsageSums, IgnoresAmountsThatAreNoNumbers)
{
  UsageSums sums;
  UsageSums::Part faulty;
  UsageSums::Part sound;
  proto::Report report;
  report.add_demand()->set_workspace("w");
  report.mutable_demand(0)->set_used(std::numeric_limits<double>::quiet_NaN());
  report.mutable_demand(0)->set_units_per_s(std::numeric_limits<double>::infinity());
  sums.Replace(faulty, report);
  report.mutable_demand(0)->set_used(3);
  report.mutable_demand(0)->set_units_per_s(2);
  sums.Replace(sound, report);
  proto::Feed feed;
  sums.Write(nullptr, true, feed);
  DOUBLES_EQUAL(3, feed.demand(0).used(), 1e-6);
  DOUBLES_EQUAL(2, feed.demand(0).units_per_s(), 1e-6);
  sums.Remove(faulty);
  sums.Remove(sound);
}

/// A host predicts waits from the sums over all other hosts; its own part must not be in them.
TEST(UsageSums, SumsWaitingAndEndedRequestsOfAllOtherHosts)
{
  UsageSums sums;
  UsageSums::Part first;
  UsageSums::Part second;
  proto::Report report;
  proto::Wanted* wanted = report.add_wanted();
  wanted->set_service("s");
  wanted->set_rank(2);
  wanted->set_requests(5);
  wanted->set_waiting(3);
  wanted->set_done_per_s(1.5);
  sums.Replace(first, report);
  wanted->set_waiting(4);
  wanted->set_done_per_s(2.25);
  sums.Replace(second, report);
  proto::Exchange all;
  sums.Write(nullptr, true, all);
  CHECK_EQUAL(7, all.wanted(0).waiting());
  DOUBLES_EQUAL(3.75, all.wanted(0).done_per_s(), 1e-6);
  proto::Feed feed;
  sums.Write(&first, true, feed);
  CHECK_EQUAL(4, feed.wanted(0).waiting());
  DOUBLES_EQUAL(2.25, feed.wanted(0).done_per_s(), 1e-6);
  sums.Remove(first);
  sums.Remove(second);
}
