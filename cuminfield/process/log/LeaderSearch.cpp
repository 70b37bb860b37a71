#include "cuminfield/process/log/LeaderSearch.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::log {

namespace {

/// More hosts than a member asks, so that none that it asks is forgotten.
constexpr std::size_t kMaxHosts = 64;

/// Spans several announcements, some of which may be lost.
constexpr core::Duration kRecent = std::chrono::seconds(2);

/// Hosts that were neither asked nor heard of for longer are not listed.
constexpr core::Duration kListedFor = std::chrono::minutes(1);

bool IsWithin(const std::optional<core::Duration>& aAge, core::Duration aLimit)
{
  return aAge && *aAge <= aLimit;
}

} // namespace

bool LeaderSearch::Host::IsAsked() const
{
  return IsWithin(sinceAsked, kRecent);
}

bool LeaderSearch::Host::IsAnswering() const
{
  return IsAsked() && IsWithin(sinceHeard, kRecent);
}

LeaderSearch::Record& LeaderSearch::FindOrAdd(const core::HostId& aHost)
{
  if (!mRecords.contains(aHost) && mRecords.size() >= kMaxHosts) {
    const auto oldest =
      std::min_element(mRecords.begin(), mRecords.end(), [](const auto& aLeft, const auto& aRight) {
        return std::max(aLeft.second.askedAt, aLeft.second.heardAt) <
               std::max(aRight.second.askedAt, aRight.second.heardAt);
      });
    mRecords.erase(oldest);
  }
  return mRecords[aHost];
}

void LeaderSearch::RecordAsked(const std::set<core::HostId>& aHosts, core::Instant aNow)
{
  for (const core::HostId& it : aHosts) {
    FindOrAdd(it).askedAt = aNow;
  }
}

void LeaderSearch::RecordHeard(const core::HostId& aHost, bool aBelongs, core::Instant aNow)
{
  Record& record = FindOrAdd(aHost);
  record.heardAt = aNow;
  record.belongs = aBelongs;
}

std::vector<LeaderSearch::Host> LeaderSearch::Hosts(core::Instant aNow) const
{
  const auto age = [aNow](const std::optional<core::Instant>& aTime) {
    return aTime ? std::optional(aNow - *aTime) : std::nullopt;
  };
  std::vector<Host> hosts;
  for (const auto& [id, record] : mRecords) {
    Host host{ .host = id,
               .sinceAsked = age(record.askedAt),
               .sinceHeard = age(record.heardAt),
               .belongs = record.belongs };
    if (IsWithin(host.sinceAsked, kListedFor) || IsWithin(host.sinceHeard, kListedFor)) {
      hosts.push_back(std::move(host));
    }
  }
  return hosts;
}

LeaderSearch::Summary LeaderSearch::Summarize(const std::vector<Host>& aHosts)
{
  Summary summary;
  for (const Host& it : aHosts) {
    summary.asked += it.IsAsked() ? 1 : 0;
    summary.answering += it.IsAnswering() ? 1 : 0;
    summary.belonging += it.IsAnswering() && it.belongs ? 1 : 0;
  }
  return summary;
}

} // namespace cuminfield::process::log
