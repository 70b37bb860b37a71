#include "cuminfield/version/moves/HostCircuitBreaker.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

using request::AttemptOutcome;

namespace {

bool IndicatesHealth(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::Succeeded || aOutcome == AttemptOutcome::Failed;
}

} // namespace

HostCircuitBreaker::HostCircuitBreaker(const HostCircuitBreakerSettings& aSettings)
  : mSettings(aSettings)
{
}

void HostCircuitBreaker::RecordOld(AttemptOutcome aOutcome)
{
  if (!IndicatesHealth(aOutcome)) {
    return;
  }
  const double decay =
    mOldRequests < mSettings.baselineRequests ? 1.0 : 1.0 - 1.0 / mSettings.baselineRequests;
  mOldRequests = mOldRequests * decay + 1.0;
  mOldFailures = mOldFailures * decay + (aOutcome == AttemptOutcome::Failed ? 1.0 : 0.0);
}

void HostCircuitBreaker::RecordNew(AttemptOutcome aOutcome)
{
  if (!IndicatesHealth(aOutcome) || mTripped) {
    return;
  }
  const double oldRate = mOldRequests > 0.0 ? mOldFailures / mOldRequests : 0.0;
  const double toleratedRate =
    std::max(mSettings.toleratedFailureRate, mSettings.toleratedFailureRatio * oldRate);
  if (toleratedRate >= mSettings.targetFailureRate) {
    return; // The old version fails as well, so leaving the new one would not help.
  }
  const double increment =
    aOutcome == AttemptOutcome::Failed
      ? std::log(mSettings.targetFailureRate / toleratedRate)
      : std::log((1.0 - mSettings.targetFailureRate) / (1.0 - toleratedRate));
  mLogLikelihoodRatio = std::max(0.0, mLogLikelihoodRatio + increment);
  mTripped = mLogLikelihoodRatio >= -std::log(mSettings.errorRate);
}

} // namespace cuminfield::version::moves
