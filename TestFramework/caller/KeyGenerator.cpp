#include "TestFramework/caller/KeyGenerator.h"

#include <fmt/format.h>

namespace cuminfield::test_framework::caller {

core::IdempotencyKey KeyGenerator::Next(core::WallTime aNow)
{
  const auto sinceEpoch = aNow.time_since_epoch();
  const auto unixMillis = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
  const std::uint64_t randomHigh = mRandom.Bits();
  const std::uint64_t randomLow = mRandom.Bits();
  return core::IdempotencyKey(fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", unixMillis >> 16,
                                          unixMillis & 0xffff, randomHigh & 0xfff,
                                          0x8000 | ((randomHigh >> 16) & 0x3fff), randomLow >> 16));
}

} // namespace cuminfield::test_framework::caller
