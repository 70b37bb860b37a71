#pragma once

#include <algorithm>
#include <cstdint>

namespace cuminfield::request::admission {

struct RetryBudgetSettings
{
  double retryRatio = 0.1;       ///< Retries allowed per first attempt.
  double maxSavedRetries = 20;   ///< Limit of unused retries that accumulate.
  std::uint32_t maxAttempts = 4; ///< Per request, the first one included.
};

/// Limits retries to a fraction of first attempts, so that rejections cannot multiply the load.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetSettings& aSettings)
    : mSettings(aSettings)
    , mSavedRetries(aSettings.maxSavedRetries)
  {
  }

  /// Adds the retries allowed per first attempt.
  void RecordFirstAttempt()
  {
    mSavedRetries = std::min(mSettings.maxSavedRetries, mSavedRetries + mSettings.retryRatio);
  }

  /// Takes one retry from the budget. Fails if the budget is empty or the request has used all its
  /// attempts.
  bool TryTakeRetry(std::uint32_t aAttempts)
  {
    if (aAttempts >= mSettings.maxAttempts || mSavedRetries < 1) {
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
