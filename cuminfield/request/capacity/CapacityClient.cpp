#include "cuminfield/request/capacity/CapacityClient.h"

#include <xxhash.h>

namespace cuminfield::request::capacity {

CapacityClient::CapacityClient(const CapacitySettings& aSettings, const core::TimerService& aTimers)
  : mSettings(aSettings)
  , mTimers(aTimers)
{
}

std::uint64_t CapacityClient::NextReport()
{
  const core::Instant now = mTimers.Now();
  while (!mSent.empty() && now - mSent.front().at >= mSettings.lease) {
    mSent.pop_front();
  }
  ++mSequence;
  mSent.push_back(Sent{ .sequence = mSequence, .at = now });
  return mSequence;
}

void CapacityClient::Apply(GrantTable aTable)
{
  if (aTable.term < mTable.term) {
    return;
  }
  while (!mSent.empty() && mSent.front().sequence < aTable.sequence) {
    mSent.pop_front();
  }
  if (mSent.empty() || mSent.front().sequence != aTable.sequence) {
    return;
  }
  mUntil = mSent.front().at + aTable.lease;
  mSent.pop_front();
  mGrants.clear();
  for (const UpstreamGrant& it : aTable.grants) {
    mGrants[it.upstream] = it.slots;
  }
  mTable = std::move(aTable);
  ++mEpoch;
}

bool CapacityClient::Connected() const
{
  return mTimers.Now() < mUntil;
}

std::uint32_t CapacityClient::Slots(const UpstreamAnnouncement& aUpstream) const
{
  const std::string& text = aUpstream.id.Text();
  const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
  const std::uint32_t reserved =
    ReservedSlots(mSettings, aUpstream.slots, hash, mTable.hosts, mTable.rank);
  if (!Connected()) {
    return reserved;
  }
  const auto grant = mGrants.find(aUpstream.id);
  return reserved + (grant == mGrants.end() ? 0 : grant->second);
}

bool CapacityClient::MayShed(TierRank aTier) const
{
  // Cut off, a host knows of no other host's lower tiers and goes by its own alone.
  return !Connected() || mTable.mayShed[TierIndex(aTier)];
}

std::uint64_t CapacityClient::Epoch() const
{
  // The end of a lease changes the answers as much as a new table does.
  return mEpoch * 2 + (Connected() ? 1 : 0);
}

} // namespace cuminfield::request::capacity
