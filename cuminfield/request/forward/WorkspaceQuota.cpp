#include "cuminfield/request/forward/WorkspaceQuota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::forward {

namespace {

/// Hosts assumed before any control host has told how many there are.
constexpr std::uint32_t kUnknownHosts = 8;

} // namespace

double WorkspaceQuota::Tolerated(const version::catalogue::WorkspaceRule& aRule) const
{
  const double quota = aRule.unitsPerSecond * core::Seconds(mSettings.window) + aRule.burst;
  return (quota * mSettings.overshoot + mSettings.slackUnits) * mSettings.toleranceUsed;
}

void WorkspaceQuota::Forget(Account& aAccount, core::Instant aNow) const
{
  while (!aAccount.taken.empty() && aNow - aAccount.taken.front().at > mSettings.window) {
    aAccount.used -= aAccount.taken.front().units;
    aAccount.taken.pop_front();
  }
  if (aAccount.taken.empty()) {
    aAccount.used = 0; // Sums of fractions do not come out at zero by themselves.
  }
  const double passed =
    core::Seconds(aNow - aAccount.demandAt) / core::Seconds(mSettings.demandWindow);
  aAccount.demand *= std::exp(-passed);
  aAccount.demandAt = aNow;
}

double WorkspaceQuota::RoomFor(const version::catalogue::WorkspaceRule& aRule,
                               const Account& aAccount, core::Instant aNow) const
{
  const double rate = aRule.unitsPerSecond;
  const double tolerated = Tolerated(aRule);
  const double whole = rate * core::Seconds(mSettings.window) + aRule.burst + tolerated;
  const bool othersKnown = mHosts.told > 0 && aNow - mOthersAt <= mSettings.othersLast;
  if (!othersKnown) {
    return whole * Memory(aNow) / std::max(mHosts.known, kUnknownHosts) - aAccount.used;
  }
  const auto it = mOthers.find(aRule.id);
  const QuotaUse others = it == mOthers.end() ? QuotaUse() : it->second;
  // Either there is room for all that the others will ask for until they hear of this request,
  const core::Duration unheard = mSettings.lag + (aNow - mOthersAt);
  const double demand = aAccount.demand + others.demand;
  const double share = demand > 0 ? aAccount.demand / demand : 0;
  const bool hot = demand > aRule.unitsPerSecond * mSettings.hotFrom;
  const bool exhausted = demand > aRule.unitsPerSecond * mSettings.forgottenFrom;
  const double limit = whole * KnownPart(exhausted);
  // What is unknown is the others' part only.
  const double margin = hot ? (1 - mSettings.hotShare) * (1 - share) : 0;
  const double forgotten = others.recorded * ForgottenWeight(mHosts);
  const double room = limit * (1 - margin) - others.used - aAccount.used - forgotten;
  const double besideAll = room - others.demand * core::Seconds(unheard);
  // or each host keeps to its share, by demand, of what is left, with what it took unheard.
  const double taken = TakenSince(aAccount, aNow - unheard);
  const double ownShare = (room + taken) * share - taken;
  return std::max(besideAll, ownShare);
}

double WorkspaceQuota::TakenSince(const Account& aAccount, core::Instant aSince)
{
  double units = 0;
  for (auto it = aAccount.taken.rbegin(); it != aAccount.taken.rend() && it->at > aSince; ++it) {
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
  Forget(account, aNow);
  const double room = RoomFor(aRule, account, aNow);
  // Only now: a share that counted the request itself would be too large on every host.
  account.demand += aUnits / core::Seconds(mSettings.demandWindow);
  if (aUnits <= room) {
    account.taken.push_back({ .at = aNow, .units = aUnits });
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
  Forget(account, aNow);
  const auto taken = std::find_if(account.taken.rbegin(), account.taken.rend(),
                                  [aUnits](const Taken& aTaken) { return aTaken.units == aUnits; });
  if (taken != account.taken.rend()) {
    taken->units = 0;
    account.used -= aUnits;
    account.demand = std::max(0.0, account.demand - aUnits / core::Seconds(mSettings.demandWindow));
  }
}

double WorkspaceQuota::ForgottenWeight(const QuotaHosts& aHosts)
{
  // It may all have been taken at the end: it counts in full until a whole window is remembered.
  return std::min(1.0, static_cast<double>(aHosts.forgetful) / std::max(1U, aHosts.told));
}

double WorkspaceQuota::KnownPart(bool aExhausted) const
{
  const double told = mHosts.told;
  const double heard = std::min(1.0, told / std::max(1.0, static_cast<double>(mHosts.known)));
  if (mHosts.recorded) {
    return heard;
  }
  const double forgotten = std::clamp(1 - mHosts.memory / told, 0.0, 1.0);
  // One that asks for little now has probably taken little before. One that asks for a multiple of
  // its quota has probably had all of it.
  return heard *
         (aExhausted ? std::max(0.0, 1 - forgotten * mSettings.hotForgotten) : 1 - forgotten);
}

double WorkspaceQuota::Memory(core::Instant aNow) const
{
  const double part = core::Seconds(aNow - mStarted) / core::Seconds(mSettings.window);
  return mRemembersAll ? 1 : std::min(1.0, part);
}

void WorkspaceQuota::SetOthers(std::map<core::WorkspaceId, QuotaUse> aOthers,
                               const QuotaHosts& aHosts, core::Instant aNow)
{
  mOthers = std::move(aOthers);
  mHosts = aHosts;
  mOthersAt = aNow;
}

std::map<core::WorkspaceId, QuotaUse> WorkspaceQuota::Report(core::Instant aNow)
{
  std::map<core::WorkspaceId, QuotaUse> use;
  for (auto& [id, account] : mAccounts) {
    Forget(account, aNow);
    use[id] = { .used = account.used, .demand = account.demand };
  }
  return use;
}

} // namespace cuminfield::request::forward
