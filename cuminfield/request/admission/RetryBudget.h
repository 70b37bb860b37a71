#pragma once

#include <algorithm>
#include <cstdint>

namespace cuminfield::request::admission {

/// Tunables of RetryBudget.
struct RetryBudgetSettings
{
  double share = 0.1;      ///< Retries allowed per first try.
  double reserve = 20;     ///< Retries that may be saved up.
  std::uint32_t tries = 4; ///< Tries of one request at most.
};

/// Bounds retries to a share of first tries, so that refusals cannot multiply the load.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetSettings& aSettings)
    : mSettings(aSettings)
    , mTokens(aSettings.reserve)
  {
  }

  /// A request was tried for the first time.
  void FirstTry() { mTokens = std::min(mSettings.reserve, mTokens + mSettings.share); }

  /// Takes one retry out of the budget, if it has one and the request has not had its tries.
  bool Take(std::uint32_t aTries)
  {
    if (aTries >= mSettings.tries || mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  RetryBudgetSettings mSettings;
  double mTokens;
};

} // namespace cuminfield::request::admission
