#pragma once

#include <algorithm>
#include <cstdint>

namespace cuminfield::request::admission {

/// Tunables of RetryBudget.
struct RetryBudgetSettings
{
  double retryRatio = 0.1;       ///< Retries allowed per first try.
  double maxSavedRetries = 20;   ///< Retries that may be saved up.
  std::uint32_t maxAttempts = 4; ///< Tries of one request at most.
};

/// Bounds retries to a share of first tries, so that refusals cannot multiply the load.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetSettings& aSettings)
    : mSettings(aSettings)
    , mSavedRetries(aSettings.maxSavedRetries)
  {
  }

  /// A request was tried for the first time.
  void RecordFirstAttempt()
  {
    mSavedRetries = std::min(mSettings.maxSavedRetries, mSavedRetries + mSettings.retryRatio);
  }

  /// Takes one retry out of the budget, if it has one and the request has not had its tries.
  bool TryTakeRetry(std::uint32_t aTries)
  {
    if (aTries >= mSettings.maxAttempts || mSavedRetries < 1) {
      return false;
    }
    mSavedRetries -= 1;
    return true;
  }

private:
  RetryBudgetSettings mSettings;
  double mSavedRetries;
};

} // namespace cuminfield::request::admission
