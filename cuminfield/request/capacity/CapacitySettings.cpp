#include "cuminfield/request/capacity/CapacitySettings.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::capacity {

namespace {

std::uint32_t TotalReservedSlots(const CapacitySettings& aSettings, std::uint32_t aSlots)
{
  return static_cast<std::uint32_t>(std::ceil(aSettings.reservedShare * aSlots));
}

} // namespace

std::uint32_t ReservedSlots(const CapacitySettings& aSettings, std::uint32_t aSlots,
                            std::uint64_t aUpstreamHash, std::uint32_t aHosts, std::uint32_t aRank)
{
  const std::uint32_t hosts = std::max(1U, aHosts);
  const std::uint32_t reserve = TotalReservedSlots(aSettings, aSlots);
  const std::uint64_t position = (aUpstreamHash + aRank) % hosts;
  return reserve / hosts + (position < reserve % hosts ? 1 : 0);
}

std::uint32_t GrantableSlots(const CapacitySettings& aSettings, std::uint32_t aSlots)
{
  return aSlots - std::min(aSlots, TotalReservedSlots(aSettings, aSlots));
}

} // namespace cuminfield::request::capacity
