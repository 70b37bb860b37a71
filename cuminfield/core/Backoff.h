#pragma once

#include "cuminfield/core/Units.h"

namespace cuminfield::core {

class Random;

/// Settings of Backoff.
struct BackoffSettings
{
  Duration initial = std::chrono::milliseconds(500);
  Duration maximum = std::chrono::seconds(4);
  double growth = 2;
  /// Each delay is extended by a random part of itself up to this one, so that those who began to
  /// wait at the same moment don't go on at the same moment.
  double spread = 0.2;
};

/// Delays between attempts that grow while attempts fail. Attempts that are repeated at a fixed
/// rate keep an overloaded host overloaded.
class Backoff
{
public:
  explicit Backoff(const BackoffSettings& aSettings)
    : mSettings(aSettings)
    , mNext(aSettings.initial)
  {
  }

  /// Returns the delay after the next attempt.
  Duration Next(Random& aRandom);

  /// An attempt has succeeded.
  void Reset() { mNext = mSettings.initial; }

private:
  BackoffSettings mSettings;
  Duration mNext;
};

} // namespace cuminfield::core
