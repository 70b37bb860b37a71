#include "cuminfield/core/Backoff.h"

#include "cuminfield/core/Random.h"

#include <algorithm>

namespace cuminfield::core {

Duration Backoff::Next(Random& aRandom)
{
  const Duration delay = mNext;
  mNext = std::min(Scaled(mNext, mSettings.growth), mSettings.maximum);
  return Scaled(delay, 1 + mSettings.spread * aRandom.Uniform());
}

} // namespace cuminfield::core
