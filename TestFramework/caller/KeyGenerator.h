#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Random.h"
#include "cuminfield/core/Units.h"

namespace cuminfield::test_framework::caller {

/// Makes idempotency keys: UUIDs of version 7, their time given, their randomness seeded.
class KeyGenerator
{
public:
  explicit KeyGenerator(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /// A new key of the time aNow.
  core::IdempotencyKey Next(core::WallTime aNow);

private:
  core::Random mRandom;
};

} // namespace cuminfield::test_framework::caller
