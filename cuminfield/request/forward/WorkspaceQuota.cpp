#include "cuminfield/request/forward/WorkspaceQuota.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::forward {

namespace {

/// Hosts assumed before any control host has told how many there are.
constexpr std::uint32_t kUnknownHosts = 8;

double Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

double WorkspaceQuota::ShareOf(const core::WorkspaceId& aId, const Account& aAccount,
                               core::Instant aNow) const
{
  const double even = 1.0 / std::max(1U, mHosts == 0 ? kUnknownHosts : mHosts);
  const auto sum = mSums.find(aId);
  if (sum == mSums.end() || aNow - mSumsAt > mSettings.sumsLast) {
    return even;
  }
  const double all = std::max(sum->second, aAccount.demand);
  const double own = all > 0 ? aAccount.demand / all : even;
  // Floors of all hosts together take their part from the rest.
  return mSettings.floor * even + (1 - mSettings.floor) * own;
}

void WorkspaceQuota::Decay(Account& aAccount, core::Instant aNow) const
{
  const double passed = Seconds(aNow - aAccount.at) / Seconds(mSettings.window);
  aAccount.demand *= std::exp(-passed);
}

std::optional<core::Duration> WorkspaceQuota::Take(const version::catalogue::WorkspaceRule& aRule,
                                                   double aUnits, core::Instant aNow)
{
  if (aRule.unitsPerSecond <= 0) {
    return std::nullopt;
  }
  Account& account = mAccounts[aRule.id];
  const core::Duration passed = aNow - account.at;
  Decay(account, aNow);
  account.at = aNow;
  account.demand += aUnits / Seconds(mSettings.window);
  const double share = ShareOf(aRule.id, account, aNow);
  const double rate = aRule.unitsPerSecond * share;
  const double burst = std::max(aRule.burst * share, aUnits);
  if (!account.started) {
    account.started = true;
    account.tokens = burst;
  } else {
    account.tokens = std::min(burst, account.tokens + rate * Seconds(passed));
  }
  if (account.tokens >= aUnits) {
    account.tokens -= aUnits;
    return std::nullopt;
  }
  const double wait = (aUnits - account.tokens) / std::max(rate, 1e-9);
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(wait));
}

void WorkspaceQuota::SetSums(const std::map<core::WorkspaceId, double>& aUnitsPerSecond,
                             std::uint32_t aHosts, core::Instant aNow)
{
  mSums = aUnitsPerSecond;
  mHosts = aHosts;
  mSumsAt = aNow;
}

std::map<core::WorkspaceId, double> WorkspaceQuota::Demand(core::Instant aNow) const
{
  std::map<core::WorkspaceId, double> demand;
  for (const auto& [id, account] : mAccounts) {
    Account now = account;
    Decay(now, aNow);
    demand[id] = now.demand;
  }
  return demand;
}

} // namespace cuminfield::request::forward
