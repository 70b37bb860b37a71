#pragma once

#include "cuminfield/request/RequestSpec.h"

#include <algorithm>
#include <cstddef>

namespace cuminfield::request {

/// Tiers that are told apart; a rank beyond the last counts as the last.
inline constexpr std::size_t kTierCount = 8;

/// The index of a tier in arrays by tier.
constexpr std::size_t TierIndex(TierRank aTier)
{
  return std::min<std::size_t>(aTier, kTierCount - 1);
}

} // namespace cuminfield::request
