#pragma once

#include "cuminfield/core/Units.h"

#include <cstdint>

namespace cuminfield::request::capacity {

/// Settings of CapacityBroker and CapacityClient. Must be equal on all hosts of a data centre.
struct CapacitySettings
{
  core::Duration leaseDuration{ 2'000'000 }; ///< Validity of a grant without renewal.
  core::Duration reportPeriod{ 200'000 };    ///< Time between two reports of a host.
  /// Fraction of each upstream's slots reserved for hosts without a grant.
  double reservedShare = 0.1;
};

/// Slots of the reserve that a host may always use at an upstream. The reserve is split evenly; the
/// remainder goes to hosts that differ from upstream to upstream.
std::uint32_t ReservedSlots(const CapacitySettings& aSettings, std::uint32_t aSlots,
                            std::uint64_t aUpstreamHash, std::uint32_t aHosts, std::uint32_t aRank);

/// Slots of an upstream outside the reserve.
std::uint32_t GrantableSlots(const CapacitySettings& aSettings, std::uint32_t aSlots);

} // namespace cuminfield::request::capacity
