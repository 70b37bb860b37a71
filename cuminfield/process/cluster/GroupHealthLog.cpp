#include "cuminfield/process/cluster/GroupHealthLog.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace cuminfield::process::cluster {

namespace {

/// Hosts named in one line; the line's numbers count all of them.
constexpr std::size_t kMaxHostsInLine = 16;

std::int64_t ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

/// Returns the texts of the first items, separated by commas.
template<typename Items, typename ToText>
std::string Join(const Items& aItems, ToText aToText)
{
  std::string text;
  std::size_t n = 0;
  for (const auto& it : aItems) {
    if (n++ == kMaxHostsInLine) {
      return text + ",...";
    }
    text += (text.empty() ? "" : ",") + aToText(it);
  }
  return text;
}

std::string HostOf(const log::Member& aMember)
{
  return aMember.host.Text();
}

/// Returns the members of aLeft that are not in aRight.
std::vector<log::Member> Without(const log::Configuration& aLeft, const log::Configuration& aRight)
{
  std::vector<log::Member> members;
  std::copy_if(aLeft.voters.begin(), aLeft.voters.end(), std::back_inserter(members),
               [&](const log::Member& aIt) { return !aRight.Contains(aIt); });
  return members;
}

/// Returns what a host answered and how long ago, such as `10.0.0.1:belongs/120ms`.
std::string DescribeAnswer(const log::LeaderSearch::Host& aHost)
{
  std::string text = aHost.host.Text() + ":";
  if (aHost.sinceHeard) {
    text += aHost.belongs ? "belongs/" : "blank/";
    text += std::to_string(ToMilliseconds(*aHost.sinceHeard)) + "ms";
  } else {
    text += "none";
  }
  return text + (aHost.IsAsked() ? "" : "/not-asked");
}

} // namespace

GroupHealthLog::GroupHealthLog(GroupHealthLogSettings aSettings, Writer aWrite)
  : mSettings(aSettings)
  , mWrite(std::move(aWrite))
{
}

void GroupHealthLog::Update(const GroupView& aView, core::Instant aNow)
{
  LogVoters(aView);
  LogSearch(aView, aNow);
  if (!aView.health) {
    mSilentVoters.clear();
    mLosses.reset();
    mLoggedLosses.reset();
    return;
  }
  LogSilentVoters(*aView.health, aNow);
  LogHeardVoters(*aView.health, aNow);
  LogLosses(*aView.health, aNow);
}

void GroupHealthLog::LogVoters(const GroupView& aView)
{
  if (aView.voters == mLoggedVoters) {
    return;
  }
  const log::Configuration former = std::exchange(mLoggedVoters, aView.voters);
  mWrite(logging::Level::Info, "voters-changed",
         { { "voters", aView.voters.voters.size() },
           { "hosts", Join(aView.voters.voters, HostOf) },
           { "joined", Join(Without(aView.voters, former), HostOf) },
           { "left", Join(Without(former, aView.voters), HostOf) },
           { "index", aView.votersIndex.Value() },
           { "leader", aView.leader.Text() } });
}

void GroupHealthLog::LogSilentVoters(const log::GroupHealth& aHealth, core::Instant aNow)
{
  for (const log::GroupHealth::Voter& it : aHealth.Voters()) {
    const bool isNew = !mSilentVoters.contains(it.host);
    if (it.isActive || (isNew && it.silence < mSettings.silentAfter)) {
      continue;
    }
    SilentVoter& voter = mSilentVoters[it.host];
    voter.longestSilence = std::max(voter.longestSilence, it.silence);
    voter.lastInactiveAt = aNow;
    if (isNew || aNow - voter.loggedAt >= mSettings.repeatInterval) {
      voter.loggedAt = aNow;
      LogSilentVoter(aHealth, it);
    }
  }
}

void GroupHealthLog::LogSilentVoter(const log::GroupHealth& aHealth,
                                    const log::GroupHealth::Voter& aVoter)
{
  mWrite(logging::Level::Warning, "voter-silent",
         { { "host", aVoter.host.Text() },
           { "silent_ms", ToMilliseconds(aVoter.silence) },
           { "spare_ready", aHealth.ReadyHosts().empty() ? 0 : 1 },
           { "ready", Join(aHealth.ReadyHosts(), [](const auto& aIt) { return aIt.Text(); }) },
           { "voters", aHealth.Voters().size() },
           { "tolerated", aHealth.LossesTolerated() } });
}

void GroupHealthLog::LogHeardVoters(const log::GroupHealth& aHealth, core::Instant aNow)
{
  std::erase_if(mSilentVoters, [&](const auto& aItem) {
    const core::HostId& host = aItem.first;
    const SilentVoter& voter = aItem.second;
    const auto& voters = aHealth.Voters();
    const bool isVoter =
      std::any_of(voters.begin(), voters.end(), [&](const auto& aIt) { return aIt.host == host; });
    if (!isVoter) {
      return true; // It was replaced, which voters-changed tells.
    }
    if (aNow - voter.lastInactiveAt < mSettings.settleDuration) {
      return false;
    }
    mWrite(logging::Level::Info, "voter-heard",
           { { "host", host.Text() }, { "was_silent_ms", ToMilliseconds(voter.longestSilence) } });
    return true;
  });
}

void GroupHealthLog::LogLosses(const log::GroupHealth& aHealth, core::Instant aNow)
{
  const std::size_t tolerated = aHealth.LossesTolerated();
  const std::size_t wanted = aHealth.LossesWanted();
  if (!mLosses || mLosses->tolerated != tolerated || mLosses->wanted != wanted) {
    mLosses = Losses{ .tolerated = tolerated, .wanted = wanted, .since = aNow };
  }
  if (!IsLossesLineDue(aNow)) {
    return;
  }
  mLoggedLosses = Losses{ .tolerated = tolerated, .wanted = wanted, .since = aNow };
  mWrite(mLosses->IsTooFew() ? logging::Level::Warning : logging::Level::Info, "losses-tolerated",
         { { "tolerated", tolerated },
           { "wanted", wanted },
           { "voters", aHealth.Voters().size() },
           { "active", aHealth.ActiveVoterCount() },
           { "ready", aHealth.ReadyHosts().size() } });
}

bool GroupHealthLog::IsLossesLineDue(core::Instant aNow) const
{
  if (aNow - mLosses->since < mSettings.settleDuration) {
    return false;
  }
  if (!mLoggedLosses || mLoggedLosses->IsTooFew() != mLosses->IsTooFew()) {
    return true;
  }
  const bool hasChanged = mLoggedLosses->tolerated != mLosses->tolerated;
  return mLosses->IsTooFew() &&
         (hasChanged || aNow - mLoggedLosses->since >= mSettings.repeatInterval);
}

void GroupHealthLog::LogSearch(const GroupView& aView, core::Instant aNow)
{
  if (!aView.leader.IsEmpty()) {
    mLeaderlessSince.reset();
    return;
  }
  if (!mLeaderlessSince) {
    mLeaderlessSince = aNow;
    mSearchLogDue = aNow + mSettings.searchInterval;
  }
  if (aNow < mSearchLogDue) {
    return;
  }
  mSearchLogDue = aNow + mSettings.searchInterval;
  const auto summary = log::LeaderSearch::Summarize(aView.searchedHosts);
  mWrite(logging::Level::Warning, "leader-sought",
         { { "since_ms", ToMilliseconds(aNow - *mLeaderlessSince) },
           { "asked", summary.asked },
           { "answering", summary.answering },
           { "belonging", summary.belonging },
           { "answers", Join(aView.searchedHosts, DescribeAnswer) },
           { "role", log::ToString(aView.role) },
           { "term", aView.term.Value() },
           { "voters", aView.voters.voters.size() } });
}

} // namespace cuminfield::process::cluster
