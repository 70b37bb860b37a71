#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::capacity {

/// Tunables of CapacityBroker and CapacityClient; the same at every host of a data centre.
struct CapacitySettings
{
  core::Duration leaseDuration{ 2'000'000 }; ///< How long a grant holds without being renewed.
  core::Duration reportPeriod{ 200'000 };    ///< Between two reports of a host.
  double reservedShare = 0.1; ///< Share of each upstream's slots for hosts without a grant.
};

/// Slots of the reserved share that a host may always use at an upstream: the reserve is split
/// evenly, and what does not divide goes to hosts that differ from upstream to upstream.
std::uint32_t ReservedSlots(const CapacitySettings& aSettings, std::uint32_t aSlots,
                            std::uint64_t aUpstreamHash, std::uint32_t aHosts, std::uint32_t aRank);

/// Slots of an upstream that may be granted.
std::uint32_t GrantableSlots(const CapacitySettings& aSettings, std::uint32_t aSlots);

} // namespace cuminfield::request::capacity
