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

/// The broker's answer to one demand report: all that the host may use, until the lease ends.
struct GrantTable
{
  std::uint64_t sequence = 0;             ///< Of the report that it answers.
  core::Term term;                        ///< Of the broker; a table of an older one is ignored.
  core::Duration lease{ 0 };              ///< Counted from when the host sent the report.
  std::uint32_t hosts = 1;                ///< Hosts that share the data centre.
  std::uint32_t rank = 0;                 ///< This host's place among them, from 0.
  std::vector<UpstreamGrant> grants;      ///< What is left out is not granted.
  std::array<bool, kTierCount> mayShed{}; ///< All lower tiers are being shed in the data centre.
};

} // namespace cuminfield::request::capacity
