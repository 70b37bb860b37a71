#include "cuminfield/core/Random.h"
#include "cuminfield/process/cluster/FollowerTable.h"
#include "cuminfield/request/forward/WorkspaceQuota.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::process::cluster;
using namespace cuminfield::request::forward;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration kStep = 10ms;
constexpr core::Duration kRound = 100ms;
constexpr double kUnits = 2'000; ///< Of one request.

/// Entry hosts and control hosts of a cluster in virtual time. Each host follows one control host
/// and reports to it in every round; messages arrive in the next round.
class QuotaCluster
{
public:
  QuotaCluster(std::size_t aHosts, const WorkspaceQuotaSettings& aSettings,
               const version::catalogue::WorkspaceRule& aRule)
    : mSettings(aSettings)
    , mRule(aRule)
    , mHosts(aHosts)
  {
    for (std::size_t n = 0; n < aHosts; ++n) {
      mHosts[n].control = n % mControls.size();
      Start(n, true);
    }
  }

  void Kill(std::size_t aHost) { mHosts[aHost].quota.reset(); }

  void Start(std::size_t aHost, bool aFirst = false)
  {
    Host& host = mHosts[aHost];
    host.quota.emplace(mSettings, mNow, aFirst);
    host.control = (host.control + 1) % mControls.size();
    ++host.life;
  }

  bool IsRunning(std::size_t aHost) const { return mHosts[aHost].quota.has_value(); }

  /// Sends a request of the workspace to a host; true if it was granted.
  bool Send(std::size_t aHost)
  {
    if (!IsRunning(aHost) || mHosts[aHost].quota->Take(mRule, kUnits, mNow)) {
      return false;
    }
    mGranted.push_back(mNow);
    return true;
  }

  void Advance()
  {
    mNow += kStep;
    if ((mNow - mLastRound) >= kRound) {
      mLastRound = mNow;
      RunRound();
    }
  }

  core::Instant Now() const { return mNow; }

  /// The most units granted in any window.
  double WorstWindow() const
  {
    std::size_t worst = 0;
    for (std::size_t first = 0, last = 0; first < mGranted.size(); ++first) {
      while (last < mGranted.size() && mGranted[last] - mGranted[first] <= mSettings.window) {
        ++last;
      }
      worst = std::max(worst, last - first);
    }
    return static_cast<double>(worst) * kUnits;
  }

private:
  struct Host
  {
    std::optional<WorkspaceQuota> quota;
    std::size_t control = 0;
    std::uint64_t life = 0;
  };

  static core::HostId HostName(std::size_t aHost) { return core::HostId(std::to_string(aHost)); }

  void RunRound()
  {
    for (std::size_t n = 0; n < mHosts.size(); ++n) {
      if (IsRunning(n)) {
        mControls[mHosts[n].control].OnReport(HostName(n), MakeReport(mHosts[n]), mNow);
      }
    }
    for (std::size_t from = 0; from < mControls.size(); ++from) {
      proto::Exchange exchange;
      exchange.set_life(1);
      mControls[from].AddLocalSums(exchange, false);
      for (std::size_t to = 0; to < mControls.size(); ++to) {
        if (to != from) {
          mControls[to].OnExchange(core::HostId("control-" + std::to_string(from)), exchange, mNow);
        }
      }
    }
    for (FollowerTable& it : mControls) {
      it.Expire(mNow);
    }
    for (std::size_t n = 0; n < mHosts.size(); ++n) {
      if (IsRunning(n)) {
        ApplyFeed(n);
      }
    }
  }

  proto::Report MakeReport(Host& aHost) const
  {
    proto::Report report;
    report.set_life(aHost.life);
    for (const auto& [workspace, use] : aHost.quota->ReportUse(mNow)) {
      proto::Demand* it = report.add_demand();
      it->set_workspace(workspace.Text());
      it->set_units_per_s(use.demand);
      it->set_used(use.used);
    }
    const double share = aHost.quota->HistoryShare(mNow);
    report.set_quota_memory(share);
    report.set_forgetful(share < 1 ? 1 : 0);
    return report;
  }

  void ApplyFeed(std::size_t aHost)
  {
    proto::Feed feed;
    mControls[mHosts[aHost].control].AddRemoteSums(HostName(aHost), feed, false);
    mControls[mHosts[aHost].control].AddDeparted(feed);
    QuotaUse use;
    for (const proto::Demand& it : feed.demand()) {
      use.used = it.used();
      use.demand = it.units_per_s();
    }
    for (const proto::Demand& it : feed.departed()) {
      use.departed = it.used();
    }
    mHosts[aHost].quota->SetRemoteUse({ { mRule.id, use } },
                                      { .reportingHosts = feed.hosts(),
                                        .knownHosts = feed.hosts_known(),
                                        .historySum = feed.quota_memory(),
                                        .partialHistoryHosts = feed.forgetful(),
                                        .hasRecord = true },
                                      mNow);
  }

  WorkspaceQuotaSettings mSettings;
  version::catalogue::WorkspaceRule mRule;
  std::vector<Host> mHosts;
  std::array<FollowerTable, 3> mControls{ FollowerTable({}), FollowerTable({}), FollowerTable({}) };
  core::Instant mNow{ 100s };
  core::Instant mLastRound{};
  std::vector<core::Instant> mGranted;
};

} // namespace

TEST_GROUP(QuotaUnderLoss)
{
  const WorkspaceQuotaSettings settings{ .overshootRatio = 0.1, .slackUnits = 140'000 };
  version::catalogue::WorkspaceRule rule;

  void setup() override
  {
    rule.id = core::WorkspaceId("w");
    rule.unitsPerSecond = 60'000;
    rule.burstUnits = 60'000;
  }

  double Allowed() const
  {
    const double quota = rule.unitsPerSecond * core::Seconds(settings.window) + rule.burstUnits;
    return quota * (1 + settings.overshootRatio) + settings.slackUnits;
  }
};

/// Load pattern: a workspace sends four times its rate, all of it to one host; that host is killed
/// as soon as the quota is used up and starts again after a while, and the callers go to the next
/// one. Any host may be killed at any moment, also several at once.
TEST(QuotaUnderLoss, KilledHostsGrantNothingTwice)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    core::Random random(seed);
    constexpr std::size_t kHosts = 8;
    QuotaCluster cluster(kHosts, settings, rule);
    std::array<core::Instant, kHosts> startsAt{};
    std::size_t target = 0;
    core::Instant killAt = cluster.Now() + 4s;
    double toSend = 0;
    for (int n = 0; n < 4'000; ++n) { // 40 s
      for (toSend += 4 * rule.unitsPerSecond / kUnits * core::Seconds(kStep); toSend >= 1;
           toSend -= 1) {
        cluster.Send(target);
      }
      if (cluster.Now() >= killAt) {
        cluster.Kill(target);
        startsAt[target] = cluster.Now() + core::FromSeconds(0.2 + 5 * random.Uniform());
        target = random.UniformBelow(kHosts);
        killAt = cluster.Now() + core::FromSeconds(0.5 + 5 * random.Uniform());
      }
      for (std::size_t host = 0; host < kHosts; ++host) {
        if (!cluster.IsRunning(host) && cluster.Now() >= startsAt[host]) {
          cluster.Start(host);
        }
      }
      cluster.Advance();
    }
    CHECK(cluster.WorstWindow() <= Allowed());
    CHECK(cluster.WorstWindow() >= 0.5 * Allowed()); // The workspace is served at all.
  }
}
