#include "cuminfield/request/capacity/CapacityClient.h"

#include <xxhash.h>

namespace cuminfield::request::capacity {

CapacityClient::CapacityClient(const CapacitySettings& aSettings, const core::TimerService& aTimers)
  : mSettings(aSettings)
  , mTimers(aTimers)
{
}

std::uint64_t CapacityClient::BeginReport()
{
  const core::Instant now = mTimers.Now();
  while (!mPendingReports.empty() &&
         now - mPendingReports.front().sentAt >= mSettings.leaseDuration) {
    mPendingReports.pop_front();
  }
  ++mLastSequence;
  mPendingReports.push_back(PendingReport{ .sequence = mLastSequence, .sentAt = now });
  return mLastSequence;
}

void CapacityClient::ApplyTable(GrantTable aTable)
{
  if (aTable.term < mTable.term) {
    return;
  }
  while (!mPendingReports.empty() && mPendingReports.front().sequence < aTable.sequence) {
    mPendingReports.pop_front();
  }
  if (mPendingReports.empty() || mPendingReports.front().sequence != aTable.sequence) {
    return;
  }
  mLeaseEnd = mPendingReports.front().sentAt + aTable.lease;
  mPendingReports.pop_front();
  mGrants.clear();
  for (const UpstreamGrant& it : aTable.grants) {
    mGrants[it.upstream] = it.slots;
  }
  mTable = std::move(aTable);
  ++mTableEpoch;
}

bool CapacityClient::HasActiveTable() const
{
  return mTimers.Now() < mLeaseEnd;
}

std::uint32_t CapacityClient::AvailableSlots(const UpstreamAnnouncement& aUpstream) const
{
  const std::string& id = aUpstream.id.Text();
  const std::uint64_t hash = XXH64(id.data(), id.size(), 0);
  const std::uint32_t reserved =
    ReservedSlots(mSettings, aUpstream.slots, hash, mTable.hosts, mTable.rank);
  return reserved + GrantedSlots(aUpstream.id);
}

std::uint32_t CapacityClient::GrantedSlots(const core::UpstreamId& aUpstream) const
{
  const auto grant = mGrants.find(aUpstream);
  return !HasActiveTable() || grant == mGrants.end() ? 0 : grant->second;
}

bool CapacityClient::MayShed(TierRank aTier) const
{
  // Without an active table, the state of other hosts is unknown, and only this host's lower tiers
  // count.
  return !HasActiveTable() || mTable.mayShed[TierIndex(aTier)];
}

std::uint64_t CapacityClient::Epoch() const
{
  // The end of a lease changes the available slots just as a new table does.
  return mTableEpoch * 2 + (HasActiveTable() ? 1 : 0);
}

} // namespace cuminfield::request::capacity
