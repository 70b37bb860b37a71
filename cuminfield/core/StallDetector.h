#pragma once

#include "cuminfield/core/Units.h"

#include <algorithm>
#include <optional>

namespace cuminfield::core {

/// Detects that this process did not run for a while: its machine was frozen, its share of the
/// processor was used up, or one task took long. In that time it received nothing, so it must not
/// count as the silence of others.
class StallDetector
{
public:
  /// aTolerance: largest time between two calls of Update() that is normal.
  explicit StallDetector(Duration aTolerance)
    : mTolerance(aTolerance)
  {
  }

  /// Returns how much longer than the tolerance the time since the last call is, at least zero.
  Duration Update(Instant aNow)
  {
    const Duration elapsed = mLastUpdate ? aNow - *mLastUpdate : Duration::zero();
    mLastUpdate = aNow;
    return std::max(elapsed - mTolerance, Duration::zero());
  }

private:
  Duration mTolerance;
  std::optional<Instant> mLastUpdate;
};

} // namespace cuminfield::core
