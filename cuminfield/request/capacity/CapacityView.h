#pragma once

#include "cuminfield/request/RequestSpec.h"
#include "cuminfield/request/Upstream.h"

#include <cstdint>

namespace cuminfield::request::capacity {

/// What the scheduler asks of the sharing of capacity among the hosts of a data centre.
class CapacityView
{
public:
  /// Slots() for an upstream whose capacity is not shared out.
  static constexpr std::uint32_t kUnlimited = 0xffffffff;

  virtual ~CapacityView() = default;

  /// Requests that this host may have in flight at an upstream of its own data centre now.
  virtual std::uint32_t AvailableSlots(const UpstreamAnnouncement& aUpstream) const = 0;

  /// Whether every tier below this one is being shed in the whole data centre, as last told.
  virtual bool MayShed(TierRank aTier) const = 0;

  /// Changes whenever an answer of Slots() may have changed; the scheduler then asks again.
  virtual std::uint64_t Epoch() const = 0;
};

} // namespace cuminfield::request::capacity
