#include "cuminfield/version/moves/HostCircuitBreaker.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

using request::AttemptOutcome;

namespace {

bool IndicatesHealth(TryOutcome aOutcome)
{
  return aOutcome == TryOutcome::Succeeded || aOutcome == TryOutcome::Failed;
}

} // namespace

HostCircuitBreaker::HostCircuitBreaker(const HostCircuitBreakerSettings& aSettings)
  : mSettings(aSettings)
{
}

void HostCircuitBreaker::RecordOld(TryOutcome aOutcome)
{
  if (!IndicatesHealth(aOutcome)) {
    return;
  }
  const double keep =
    mOldRequests < mSettings.baselineRequests ? 1.0 : 1.0 - 1.0 / mSettings.baselineRequests;
  mOldRequests = mOldRequests * keep + 1.0;
  mOldFailures = mOldFailures * keep + (aOutcome == TryOutcome::Failed ? 1.0 : 0.0);
}

void HostCircuitBreaker::RecordNew(TryOutcome aOutcome)
{
  if (!IndicatesHealth(aOutcome) || mTripped) {
    return;
  }
  const double oldRate = mOldRequests > 0.0 ? mOldFailures / mOldRequests : 0.0;
  const double tolerable =
    std::max(mSettings.toleratedFailureRate, mSettings.toleratedFailureRatio * oldRate);
  if (tolerable >= mSettings.targetFailureRate) {
    return; // The old version fails as well, so leaving the new one would not help.
  }
  const double step = aOutcome == TryOutcome::Failed
                        ? std::log(mSettings.targetFailureRate / tolerable)
                        : std::log((1.0 - mSettings.targetFailureRate) / (1.0 - tolerable));
  mLogLikelihoodRatio = std::max(0.0, mLogLikelihoodRatio + step);
  mTripped = mLogLikelihoodRatio >= -std::log(mSettings.errorRate);
}

} // namespace cuminfield::version::moves
