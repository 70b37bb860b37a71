#pragma once

#include "cuminfield/request/RequestSpec.h"

#include <algorithm>
#include <cstddef>

namespace cuminfield::request {

/// Number of distinct tiers; higher ranks are treated as the last tier.
inline constexpr std::size_t kTierCount = 8;

/// Index of a tier in arrays of kTierCount elements.
constexpr std::size_t TierIndex(TierRank aTier)
{
  return std::min<std::size_t>(aTier, kTierCount - 1);
}

} // namespace cuminfield::request
