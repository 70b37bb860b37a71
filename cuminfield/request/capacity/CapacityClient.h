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
  std::uint64_t NextReport();

  /// Sequence of the table in force, for the next report.
  std::uint64_t Applied() const { return mTable.sequence; }

  /// A table has arrived. Late and doubled ones, and those of a deposed broker, are ignored.
  void Apply(GrantTable aTable);

  /// True while a table is in force.
  bool Connected() const;

  std::uint32_t Slots(const UpstreamAnnouncement& aUpstream) const override;
  bool MayShed(TierRank aTier) const override;
  std::uint64_t Epoch() const override;

private:
  struct Sent
  {
    std::uint64_t sequence = 0;
    core::Instant at{};
  };

  CapacitySettings mSettings;
  const core::TimerService& mTimers;
  GrantTable mTable;
  std::unordered_map<core::UpstreamId, std::uint32_t> mGrants;
  core::Instant mUntil{};
  std::deque<Sent> mSent; ///< Reports without an answer yet, oldest first.
  std::uint64_t mSequence = 0;
  std::uint64_t mEpoch = 0;
};

} // namespace cuminfield::request::capacity
