#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/Tiers.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminfield::request::capacity {

/// Requests that a host may have in flight at one upstream.
struct UpstreamGrant
{
  core::UpstreamId upstream;
  std::uint32_t slots = 0;
};

/// The broker's reply to a demand report: all slots that the host may use until the lease ends.
struct GrantTable
{
  std::uint64_t sequence = 0;        ///< Sequence of the report it replies to.
  core::Term term;                   ///< Term of the broker. Tables of an older term are ignored.
  core::Duration lease{ 0 };         ///< Counted from when the host sent the report.
  std::uint32_t hosts = 1;           ///< Number of hosts that share the data centre.
  std::uint32_t rank = 0;            ///< Position of this host among them, from 0.
  std::vector<UpstreamGrant> grants; ///< Omitted upstreams are not granted.
  std::array<bool, kTierCount> mayShed{}; ///< All lower tiers are being shed in the data centre.
};

} // namespace cuminfield::request::capacity
