#pragma once

#include "cuminfield/core/TimerService.h"
#include "cuminfield/request/capacity/CapacitySettings.h"
#include "cuminfield/request/capacity/CapacityView.h"
#include "cuminfield/request/capacity/GrantTable.h"

#include <deque>
#include <unordered_map>

namespace cuminfield::request::capacity {

/// Slots that this host may use at the upstreams of its data centre, as granted by the broker.
/// Without an active table, as when disconnected from the broker, the host falls back to its part
/// of the reserve. The lease of a table counts from the time its report was sent, so it never ends
/// after the broker's own count.
class CapacityClient : public CapacityView
{
public:
  CapacityClient(const CapacitySettings& aSettings, const core::TimerService& aTimers);

  /// Registers a report that is about to be sent and returns its sequence.
  std::uint64_t BeginReport();

  /// Sequence of the last applied table, for the next report.
  std::uint64_t AppliedSequence() const { return mTable.sequence; }

  /// Applies a received table. Late and duplicate tables and those of a deposed broker are ignored.
  void ApplyTable(GrantTable aTable);

  /// Slots currently granted at an upstream, without the reserve.
  std::uint32_t GrantedSlots(const core::UpstreamId& aUpstream) const;

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
  std::deque<PendingReport> mPendingReports; ///< Reports without a reply, oldest first.
  std::uint64_t mLastSequence = 0;
  std::uint64_t mTableEpoch = 0;
};

} // namespace cuminfield::request::capacity
