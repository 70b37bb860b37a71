#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/capacity/CapacitySettings.h"
#include "cuminfield/request/capacity/CapacityView.h"
#include "cuminfield/request/capacity/GrantTable.h"

#include <deque>
#include <unordered_map>

namespace cuminfield::request::capacity {

/// A host's side of the sharing of capacity: what it may use now. Without a table in force, when
/// cut off from the broker, it falls back to its part of the reserve. A table's lease counts from
/// when its report was sent, so that it never outlasts the broker's own count.
class CapacityClient : public CapacityView
{
public:
  CapacityClient(const CapacitySettings& aSettings, const core::TimerService& aTimers);

  /// A report with the next sequence is about to be sent; returns that sequence.
  std::uint64_t BeginReport();

  /// Sequence of the table in force, for the next report.
  std::uint64_t AppliedSequence() const { return mTable.sequence; }

  /// A table has arrived. Late and doubled ones, and those of a deposed broker, are ignored.
  void ApplyTable(GrantTable aTable);

  /// Slots granted at an upstream now, the reserve left out.
  std::uint32_t GrantedSlots(const core::UpstreamId& aUpstream) const;

  /// True while a table is in force.
  bool HasActiveTable() const;

  std::uint32_t AvailableSlots(const UpstreamAnnouncement& aUpstream) const override;
  bool MayShed(TierRank aTier) const override;
  std::uint64_t Epoch() const override;

private:
  struct PendingReport
  {
    std::uint64_t sequence = 0;
    core::Instant sentAt{};
  };

  CapacitySettings mSettings;
  const core::TimerService& mTimers;
  GrantTable mTable;
  std::unordered_map<core::UpstreamId, std::uint32_t> mGrants;
  core::Instant mLeaseEnd{};
  std::deque<PendingReport> mPendingReports; ///< Reports without an answer yet, oldest first.
  std::uint64_t mLastSequence = 0;
  std::uint64_t mTableEpoch = 0;
};

} // namespace cuminfield::request::capacity
