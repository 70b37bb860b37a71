#include "cuminfield/request/forward/WorkspaceQuota.h"

#include "cuminfield/core/Random.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <numeric>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::request::forward;
using namespace std::chrono_literals;

TEST_GROUP(WorkspaceQuota)
{
  const WorkspaceQuotaSettings settings{ .overshootRatio = 0.1, .slackUnits = 140'000 };
  core::Instant now{ 100s };

  static version::catalogue::WorkspaceRule Rule(double aRate)
  {
    version::catalogue::WorkspaceRule rule;
    rule.id = core::WorkspaceId("w");
    rule.unitsPerSecond = aRate;
    rule.burstUnits = aRate;
    return rule;
  }

  static QuotaCoverage All(std::uint32_t aHosts)
  {
    return { .reportingHosts = aHosts,
             .knownHosts = aHosts,
             .historySum = static_cast<double>(aHosts),
             .partialHistoryHosts = 0,
             .hasRecord = false };
  }

  /// Hosts that hear of each other 400 ms late, a demand that is a multiple of the quota: the most
  /// that all took in any window, relative to what is tolerated, and relative to the quota.
  struct Load
  {
    double worst = 0;
    double mean = 0;
  };
  Load Play(std::size_t aHosts, double aRate, double aDemand, double aMeanUnits,
            std::size_t aLateSteps = 40) const
  {
    constexpr core::Duration kStep = 10ms;
    core::Random random(7);
    const auto rule = Rule(aRate);
    std::vector<WorkspaceQuota> hosts(aHosts, WorkspaceQuota(settings, now, true));
    std::deque<std::vector<QuotaUse>> told;
    std::deque<double> window;
    double used = 0;
    Load load;
    double total = 0;
    const double perStep = aRate * aDemand / aMeanUnits * 0.01;
    core::Instant time = now;
    constexpr std::size_t kSteps = 3000;
    for (std::size_t n = 0; n < kSteps; ++n, time += kStep) {
      double taken = 0;
      for (double due = perStep; due > 0; due -= 1) {
        if (due < 1 && !random.Chance(due)) {
          break;
        }
        const double units = random.Exponential(aMeanUnits);
        // Callers are spread unevenly over the hosts.
        const std::size_t host = std::min(random.Below(aHosts), random.Below(aHosts));
        taken += hosts[host].Take(rule, units, time) ? 0 : units;
      }
      total += taken;
      used += taken;
      window.push_back(taken);
      if (window.size() > 800) {
        used -= window.front();
        window.pop_front();
      }
      load.worst = std::max(load.worst, used / (aRate * 9 * 1.1 + settings.slackUnits));
      std::vector<QuotaUse> uses;
      for (WorkspaceQuota& it : hosts) {
        const auto report = it.ReportUse(time);
        uses.push_back(report.contains(rule.id) ? report.at(rule.id) : QuotaUse());
      }
      told.push_back(uses);
      if (told.size() > aLateSteps) {
        told.pop_front();
      }
      for (std::size_t host = 0; host < aHosts; ++host) {
        QuotaUse others;
        for (std::size_t other = 0; other < aHosts; ++other) {
          others.used += other == host ? 0 : told.front()[other].used;
          others.demand += other == host ? 0 : told.front()[other].demand;
        }
        hosts[host].SetRemoteUse({ { rule.id, others } }, All(static_cast<std::uint32_t>(aHosts)),
                                 time);
      }
    }
    load.mean = total / (aRate * kSteps * 0.01);
    return load;
  }
};

TEST(WorkspaceQuota, ARequestLargerThanAnyHostsPartPasses)
{
  WorkspaceQuota quota(settings, now, true);
  quota.SetRemoteUse({}, All(80), now);
  CHECK_FALSE(quota.Take(Rule(36'000), 55'000, now).has_value());
}

TEST(WorkspaceQuota, WhatTheOthersTookCounts)
{
  WorkspaceQuota quota(settings, now, true);
  const auto rule = Rule(10'000);
  quota.SetRemoteUse({ { rule.id, { .used = 200'000, .demand = 0 } } }, All(8), now);
  const auto wait = quota.Take(rule, 5'000, now);
  CHECK(wait.has_value());
  CHECK(*wait >= settings.minRetryAfter);
  quota.SetRemoteUse({ { rule.id, { .used = 50'000, .demand = 0 } } }, All(8), now);
  CHECK_FALSE(quota.Take(rule, 5'000, now).has_value());
}

TEST(WorkspaceQuota, OldFiguresLeaveLessRoom)
{
  WorkspaceQuota quota(settings, now, true);
  const auto rule = Rule(100'000);
  quota.SetRemoteUse({ { rule.id, { .used = 0, .demand = 700'000 } } }, All(60), now);
  CHECK_FALSE(quota.Take(rule, 5'000, now).has_value());
  CHECK(quota.Take(rule, 5'000, now + 1200ms).has_value());
}

TEST(WorkspaceQuota, WhatDidNotRunIsGivenBack)
{
  WorkspaceQuota quota(settings, now, true);
  const auto rule = Rule(10'000);
  quota.SetRemoteUse({}, All(1), now);
  CHECK_FALSE(quota.Take(rule, 100'000, now).has_value());
  CHECK(quota.Take(rule, 100'000, now).has_value());
  quota.Return(rule.id, 100'000, now);
  CHECK_FALSE(quota.Take(rule, 100'000, now).has_value());
}

TEST(WorkspaceQuota, WithoutNewsOfTheOthersAHostKeepsToAnEvenPart)
{
  WorkspaceQuota quota(settings, now, true);
  const auto rule = Rule(10'000);
  quota.SetRemoteUse({}, All(10), now);
  const core::Instant later = now + 5s;
  CHECK_FALSE(quota.Take(rule, 10'000, later).has_value());
  CHECK(quota.Take(rule, 10'000, later).has_value());
}

TEST(WorkspaceQuota, ADemandOfManyTimesTheQuotaStaysWithinTheTolerance)
{
  for (const std::size_t hosts : { 8, 20 }) {
    const Load load = Play(hosts, 150'000, 7.5, 4'000);
    CHECK(load.worst <= 1.0);
    CHECK(load.mean >= 0.8); // What is below the quota is not refused in vain.
  }
}

/// Sixty small hosts that hear of each other 0.8 s late, and a workspace that sends 7.5 times its
/// usual where its quota is 1.8 times the usual.
TEST(WorkspaceQuota, ManySlowHostsStayWithinTheTolerance)
{
  const Load load = Play(60, 1'070'000, 7.5 / 1.8, 5'000, 80);
  CHECK(load.worst <= 1.0);
  CHECK(load.mean >= 0.8);
}

TEST(WorkspaceQuota, ADemandBelowTheQuotaIsHardlyRefused)
{
  const Load load = Play(8, 36'000, 0.55, 4'000);
  CHECK(load.mean >= 0.53);
}

/// The control hosts are cut into halves: each host hears of the others on its side only.
TEST(WorkspaceQuota, TwoHalvesTogetherKeepToTheQuota)
{
  const auto rule = Rule(100'000);
  const double allowed = 900'000 * 1.1 + settings.slackUnits;
  constexpr std::uint32_t kHosts = 20;
  std::vector<WorkspaceQuota> hosts(kHosts, WorkspaceQuota(settings, now, true));
  std::vector<double> used(kHosts, 0);
  core::Instant time = now;
  for (int step = 0; step < 800; ++step, time += 10ms) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      used[host] += hosts[host].Take(rule, 4'000, time) ? 0 : 4'000;
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      QuotaUse others;
      for (std::size_t other = host % 2; other < kHosts; other += 2) {
        others.used += other == host ? 0 : used[other];
        others.demand += other == host ? 0 : 400'000;
      }
      hosts[host].SetRemoteUse({ { rule.id, others } },
                               { .reportingHosts = kHosts / 2,
                                 .knownHosts = kHosts,
                                 .historySum = kHosts / 2.0,
                                 .partialHistoryHosts = 0,
                                 .hasRecord = false },
                               time);
    }
  }
  const double all = std::accumulate(used.begin(), used.end(), 0.0);
  CHECK(all <= allowed);
  CHECK(all >= 0.8 * 900'000);
}

TEST(WorkspaceQuota, WhatAHostTookBeforeItsRestartCounts)
{
  const auto rule = Rule(100'000);
  WorkspaceQuota before(settings, now, true);
  before.SetRemoteUse({}, All(1), now);
  double took = 0;
  while (!before.Take(rule, 5'000, now)) {
    took += 5'000;
  }
  const core::Instant restart = now + 1s;
  WorkspaceQuota after(settings, restart, false);
  for (core::Instant time = restart; time < now + 8s; time += 100ms) {
    after.SetRemoteUse({},
                       { .reportingHosts = 1,
                         .knownHosts = 1,
                         .historySum = after.HistoryShare(time),
                         .partialHistoryHosts = 0,
                         .hasRecord = false },
                       time);
    for (int n = 0; n < 5; ++n) { // 250,000 units a second.
      took += after.Take(rule, 5'000, time) ? 0 : 5'000;
    }
  }
  CHECK(took <= 900'000 * 1.1 + settings.slackUnits);
}

TEST(WorkspaceQuota, AfterARestartAUsualDemandIsServed)
{
  const auto rule = Rule(100'000);
  const core::Instant restart = now + 1s;
  WorkspaceQuota quota(settings, restart, false);
  double took = 0;
  for (core::Instant time = restart; time < restart + 8s; time += 100ms) {
    quota.SetRemoteUse({},
                       { .reportingHosts = 1,
                         .knownHosts = 1,
                         .historySum = quota.HistoryShare(time),
                         .partialHistoryHosts = 0,
                         .hasRecord = false },
                       time);
    took += quota.Take(rule, 5'000, time) ? 0 : 5'000;
  }
  CHECK(took >= 0.9 * 8 * 50'000);
  CHECK_EQUAL(1.0, quota.HistoryShare(restart + 8s));
}

/// All hosts lose power together; the control hosts kept a record of what was used.
TEST(WorkspaceQuota, WhatWasRecordedCountsUntilHostsRememberAWindow)
{
  const auto rule = Rule(100'000);
  const core::Instant restart = now + 1s;
  WorkspaceQuota exhausted(settings, restart, false);
  WorkspaceQuota usual(settings, restart, false);
  double took = 0;
  double served = 0;
  double refused = 0;
  for (core::Instant time = restart; time < now + 8s; time += 100ms) {
    const auto tell = [&](WorkspaceQuota& aQuota, double aRecorded) {
      aQuota.SetRemoteUse({ { rule.id, { .used = 0, .demand = 0, .recorded = aRecorded } } },
                          { .reportingHosts = 1,
                            .knownHosts = 1,
                            .historySum = aQuota.HistoryShare(time),
                            .partialHistoryHosts = aQuota.HistoryShare(time) < 1 ? 1U : 0U,
                            .hasRecord = true },
                          time);
    };
    tell(exhausted, 900'000);
    tell(usual, 440'000);
    for (int n = 0; n < 5; ++n) { // 250,000 units a second.
      took += exhausted.Take(rule, 5'000, time) ? 0 : 5'000;
    }
    // Twice the usual in the first second: callers come back.
    for (int n = 0; n < (time < restart + 1s ? 2 : 1); ++n) {
      (usual.Take(rule, 5'000, time) ? refused : served) += 5'000;
    }
  }
  CHECK(900'000 + took <= 900'000 * 1.1 + settings.slackUnits);
  CHECK(refused <= 0.02 * served);
}
