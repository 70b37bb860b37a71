#include "cuminfield/request/forward/WorkspaceQuota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::forward {

namespace {

/// Minimum number of hosts assumed while there are no recent reports from a control host.
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
    aAccount.used = 0; // Clears the accumulated rounding error.
  }
  const double elapsed =
    core::Seconds(aNow - aAccount.demandUpdatedAt) / core::Seconds(mSettings.demandWindow);
  aAccount.demand *= std::exp(-elapsed);
  aAccount.demandUpdatedAt = aNow;
}

double WorkspaceQuota::AvailableUnits(const version::catalogue::WorkspaceRule& aRule,
                                      const Account& aAccount, core::Instant aNow) const
{
  const double rate = aRule.unitsPerSecond;
  const double tolerance = Tolerance(aRule);
  const double fullLimit = rate * core::Seconds(mSettings.window) + aRule.burstUnits + tolerance;
  const bool isRemoteUseKnown =
    mCoverage.reportingHosts > 0 && aNow - mRemoteUseReceivedAt <= mSettings.remoteUseLifetime;
  if (!isRemoteUseKnown) {
    return fullLimit * HistoryShare(aNow) / std::max(mCoverage.knownHosts, kAssumedHosts) -
           aAccount.used;
  }
  const auto it = mRemoteUse.find(aRule.id);
  const QuotaUse remoteUse = it == mRemoteUse.end() ? QuotaUse() : it->second;
  const core::Duration unreportedTime = mSettings.propagationDelay + (aNow - mRemoteUseReceivedAt);
  const double demand = aAccount.demand + remoteUse.demand;
  const double share = demand > 0 ? aAccount.demand / demand : 0;
  const bool isHighDemand = demand > aRule.unitsPerSecond * mSettings.highDemandThreshold;
  const bool isExhausted = demand > aRule.unitsPerSecond * mSettings.exhaustionThreshold;
  const double limit = fullLimit * KnownQuotaRatio(isExhausted);
  // Only the other hosts' part is uncertain.
  const double margin = isHighDemand ? (1 - mSettings.highDemandLimitRatio) * (1 - share) : 0;
  const double missingHistory = remoteUse.recorded * MissingHistoryWeight(mCoverage);
  // What hosts that send no figures of it have taken or may take: by their number, or as they last
  // reported it.
  const double unreported = std::max(fullLimit - limit + missingHistory, remoteUse.departed);
  const double available = fullLimit - limit * margin - remoteUse.used - aAccount.used - unreported;
  // Units left after everything the others will request until they learn of this request.
  const double besideRemote = available - remoteUse.demand * core::Seconds(unreportedTime);
  // Alternatively, this host's share by demand of the units that were left before its charges which
  // the others don't know of yet, minus these charges.
  const double charged = ChargedSince(aAccount, aNow - unreportedTime);
  const double byShare = (available + charged) * share - charged;
  return std::max(besideRemote, byShare);
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
  const double available = AvailableUnits(aRule, account, aNow);
  // Updated only now: a share that included this request would be too large on every host.
  account.demand += aUnits / core::Seconds(mSettings.demandWindow);
  if (aUnits <= available) {
    account.charges.push_back({ .at = aNow, .units = aUnits });
    account.used += aUnits;
    return std::nullopt;
  }
  const std::chrono::duration<double> wait((aUnits - available) / aRule.unitsPerSecond);
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
  const auto charge =
    std::find_if(account.charges.rbegin(), account.charges.rend(),
                 [aUnits](const Charge& aCharge) { return aCharge.units == aUnits; });
  if (charge != account.charges.rend()) {
    charge->units = 0;
    account.used -= aUnits;
    account.demand = std::max(0.0, account.demand - aUnits / core::Seconds(mSettings.demandWindow));
  }
}

double WorkspaceQuota::MissingHistoryWeight(const QuotaCoverage& aCoverage)
{
  // All of it may have been taken just before the restart, so it counts in full until the history
  // covers a complete window.
  return std::min(1.0, static_cast<double>(aCoverage.partialHistoryHosts) /
                         std::max(1U, aCoverage.reportingHosts));
}

double WorkspaceQuota::KnownQuotaRatio(bool aExhausted) const
{
  const double reportingHosts = mCoverage.reportingHosts;
  const double reportingRatio =
    std::min(1.0, reportingHosts / std::max(1.0, static_cast<double>(mCoverage.knownHosts)));
  if (mCoverage.hasRecord) {
    return reportingRatio;
  }
  const double missingHistory = std::clamp(1 - mCoverage.historySum / reportingHosts, 0.0, 1.0);
  // A workspace with low demand now has probably taken little before. One that demands a multiple
  // of its quota has probably used all of it.
  return reportingRatio * (aExhausted
                             ? std::max(0.0, 1 - missingHistory * mSettings.exhaustedHistoryWeight)
                             : 1 - missingHistory);
}

double WorkspaceQuota::HistoryShare(core::Instant aNow) const
{
  const double historyShare = core::Seconds(aNow - mStartedAt) / core::Seconds(mSettings.window);
  return mHasFullHistory ? 1 : std::min(1.0, historyShare);
}

void WorkspaceQuota::SetRemoteUse(std::map<core::WorkspaceId, QuotaUse> aRemoteUse,
                                  const QuotaCoverage& aCoverage, core::Instant aNow)
{
  mRemoteUse = std::move(aRemoteUse);
  mCoverage = aCoverage;
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
