#pragma once

#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/Upstream.h"

#include <cstdint>

namespace cuminfield::request::capacity {

/// Interface through which the scheduler queries the capacity shared among the hosts of a data
/// centre.
class CapacityView
{
public:
  /// Slots of an upstream whose capacity is not shared among hosts.
  static constexpr std::uint32_t kUnlimited = 0xffffffff;

  virtual ~CapacityView() = default;

  /// Requests that this host may currently have in flight at an upstream of its own data centre.
  virtual std::uint32_t AvailableSlots(const UpstreamAnnouncement& aUpstream) const = 0;

  /// Returns true if all tiers below this one are being shed in the whole data centre, as last
  /// reported.
  virtual bool MayShed(TierRank aTier) const = 0;

  /// Changes whenever AvailableSlots() may have changed; the scheduler then queries it again.
  virtual std::uint64_t Epoch() const = 0;
};

} // namespace cuminfield::request::capacity
