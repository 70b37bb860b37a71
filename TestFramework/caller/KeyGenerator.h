#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

namespace cuminfield::test_framework::caller {

/// Generates idempotency keys: version 7 UUIDs with a given time and seeded random bits.
class KeyGenerator
{
public:
  explicit KeyGenerator(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /// Returns a new key with the timestamp aNow.
  core::IdempotencyKey Next(core::WallTime aNow);

private:
  core::Random mRandom;
};

} // namespace cuminfield::test_framework::caller
