#include "cuminfield/request/forward/WorkspaceQuota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::forward {

namespace {

/// Hosts assumed before any control host has told how many there are.
constexpr std::uint32_t kAssumedHosts = 8;

} // namespace

double WorkspaceQuota::Tolerance(const version::catalogue::WorkspaceRule& aRule) const
{
  const double quota = aRule.unitsPerSecond * core::Seconds(mSettings.window) + aRule.burstUnits;
  return (quota * mSettings.overshootRatio + mSettings.slackUnits) * mSettings.usedToleranceRatio;
}

void WorkspaceQuota::AdvanceAccount(Account& aAccount, core::Instant aNow) const
{
  while (!aAccount.charges.empty() && aNow - aAccount.charges.front().at > mSettings.window) {
    aAccount.used -= aAccount.charges.front().units;
    aAccount.charges.pop_front();
  }
  if (aAccount.charges.empty()) {
    aAccount.used = 0; // Sums of fractions do not come out at zero by themselves.
  }
  const double passed =
    core::Seconds(aNow - aAccount.demandUpdatedAt) / core::Seconds(mSettings.demandWindow);
  aAccount.demand *= std::exp(-passed);
  aAccount.demandUpdatedAt = aNow;
}

double WorkspaceQuota::AvailableUnits(const version::catalogue::WorkspaceRule& aRule,
                                      const Account& aAccount, core::Instant aNow) const
{
  const double rate = aRule.unitsPerSecond;
  const double tolerated = Tolerance(aRule);
  const double whole = rate * core::Seconds(mSettings.window) + aRule.burstUnits + tolerated;
  const bool othersKnown =
    mCoverage.reportingHosts > 0 && aNow - mRemoteUseReceivedAt <= mSettings.remoteUseLifetime;
  if (!othersKnown) {
    return whole * HistoryShare(aNow) / std::max(mCoverage.knownHosts, kAssumedHosts) -
           aAccount.used;
  }
  const auto it = mRemoteUse.find(aRule.id);
  const QuotaUse others = it == mRemoteUse.end() ? QuotaUse() : it->second;
  // Either there is room for all that the others will ask for until they hear of this request,
  const core::Duration unheard = mSettings.propagationDelay + (aNow - mRemoteUseReceivedAt);
  const double demand = aAccount.demand + others.demand;
  const double share = demand > 0 ? aAccount.demand / demand : 0;
  const bool hot = demand > aRule.unitsPerSecond * mSettings.highDemandThreshold;
  const bool exhausted = demand > aRule.unitsPerSecond * mSettings.exhaustionThreshold;
  const double limit = whole * KnownQuotaRatio(exhausted);
  // What is unknown is the others' part only.
  const double margin = hot ? (1 - mSettings.highDemandLimitRatio) * (1 - share) : 0;
  const double forgotten = others.recorded * MissingHistoryWeight(mCoverage);
  const double room = limit * (1 - margin) - others.used - aAccount.used - forgotten;
  const double besideAll = room - others.demand * core::Seconds(unheard);
  // or each host keeps to its share, by demand, of what is left, with what it took unheard.
  const double taken = ChargedSince(aAccount, aNow - unheard);
  const double ownShare = (room + taken) * share - taken;
  return std::max(besideAll, ownShare);
}

double WorkspaceQuota::ChargedSince(const Account& aAccount, core::Instant aSince)
{
  double units = 0;
  for (auto it = aAccount.charges.rbegin(); it != aAccount.charges.rend() && it->at > aSince;
       ++it) {
    units += it->units;
  }
  return units;
}

std::optional<core::Duration> WorkspaceQuota::Take(const version::catalogue::WorkspaceRule& aRule,
                                                   double aUnits, core::Instant aNow)
{
  if (aRule.unitsPerSecond <= 0) {
    return std::nullopt;
  }
  Account& account = mAccounts[aRule.id];
  AdvanceAccount(account, aNow);
  const double room = AvailableUnits(aRule, account, aNow);
  // Only now: a share that counted the request itself would be too large on every host.
  account.demand += aUnits / core::Seconds(mSettings.demandWindow);
  if (aUnits <= room) {
    account.charges.push_back({ .at = aNow, .units = aUnits });
    account.used += aUnits;
    return std::nullopt;
  }
  const std::chrono::duration<double> wait((aUnits - room) / aRule.unitsPerSecond);
  return std::clamp(std::chrono::duration_cast<core::Duration>(wait), mSettings.minRetryAfter,
                    mSettings.maxRetryAfter);
}

void WorkspaceQuota::Return(const core::WorkspaceId& aWorkspace, double aUnits, core::Instant aNow)
{
  const auto it = mAccounts.find(aWorkspace);
  if (it == mAccounts.end()) {
    return;
  }
  Account& account = it->second;
  AdvanceAccount(account, aNow);
  const auto taken =
    std::find_if(account.charges.rbegin(), account.charges.rend(),
                 [aUnits](const Charge& aTaken) { return aTaken.units == aUnits; });
  if (taken != account.charges.rend()) {
    taken->units = 0;
    account.used -= aUnits;
    account.demand = std::max(0.0, account.demand - aUnits / core::Seconds(mSettings.demandWindow));
  }
}

double WorkspaceQuota::MissingHistoryWeight(const QuotaCoverage& aHosts)
{
  // It may all have been taken at the end: it counts in full until a whole window is remembered.
  return std::min(1.0, static_cast<double>(aHosts.partialHistoryHosts) /
                         std::max(1U, aHosts.reportingHosts));
}

double WorkspaceQuota::KnownQuotaRatio(bool aExhausted) const
{
  const double told = mCoverage.reportingHosts;
  const double heard =
    std::min(1.0, told / std::max(1.0, static_cast<double>(mCoverage.knownHosts)));
  if (mCoverage.hasRecord) {
    return heard;
  }
  const double forgotten = std::clamp(1 - mCoverage.historySum / told, 0.0, 1.0);
  // One that asks for little now has probably taken little before. One that asks for a multiple of
  // its quota has probably had all of it.
  return heard * (aExhausted ? std::max(0.0, 1 - forgotten * mSettings.exhaustedHistoryWeight)
                             : 1 - forgotten);
}

double WorkspaceQuota::HistoryShare(core::Instant aNow) const
{
  const double part = core::Seconds(aNow - mStartedAt) / core::Seconds(mSettings.window);
  return mHasFullHistory ? 1 : std::min(1.0, part);
}

void WorkspaceQuota::SetRemoteUse(std::map<core::WorkspaceId, QuotaUse> aOthers,
                                  const QuotaCoverage& aHosts, core::Instant aNow)
{
  mRemoteUse = std::move(aOthers);
  mCoverage = aHosts;
  mRemoteUseReceivedAt = aNow;
}

std::map<core::WorkspaceId, QuotaUse> WorkspaceQuota::ReportUse(core::Instant aNow)
{
  std::map<core::WorkspaceId, QuotaUse> use;
  for (auto& [id, account] : mAccounts) {
    AdvanceAccount(account, aNow);
    use[id] = { .used = account.used, .demand = account.demand };
  }
  return use;
}

} // namespace cuminfield::request::forward
