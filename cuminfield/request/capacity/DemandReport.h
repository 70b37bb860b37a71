#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/request/Tiers.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::request::capacity {

/// Requests of one service waiting or in flight at a host, by tier.
struct ServiceDemand
{
  core::ServiceId service;
  std::array<std::uint32_t, kTierCount> byTier{};
};

/// Requests of a host in flight at one upstream.
struct UpstreamUse
{
  core::UpstreamId upstream;
  std::uint32_t inFlight = 0;
};

/// Demand and use of a host, sent to the broker of its data centre a few times a second.
struct DemandReport
{
  core::HostId host;
  std::uint64_t sequence = 0;              ///< Increases with each report.
  std::uint64_t appliedSequence = 0;       ///< Sequence of the grant table active at the host.
  std::vector<ServiceDemand> demands;      ///< Services without demand may be omitted.
  std::vector<UpstreamUse> uses;           ///< Upstreams without use may be omitted.
  std::array<bool, kTierCount> shedding{}; ///< Tiers that are being shed.
};

} // namespace cuminfield::request::capacity
