#include "cuminfield/request/routing/CircuitBreaker.h"

namespace cuminfield::request::routing {

bool CircuitBreaker::AllowsRequest(core::Instant aNow, std::uint32_t aInFlight) const
{
  if (!mOpen) {
    return true;
  }
  return aNow >= mOpenUntil && aInFlight < mSettings.maxProbes;
}

void CircuitBreaker::RecordSuccess(core::Instant aNow)
{
  if (!mOpen) {
    mFailures = 0;
    return;
  }
  // Requests sent before the circuit opened say nothing about the recovery.
  if (aNow < mOpenUntil) {
    return;
  }
  ++mSuccessfulProbes;
  if (mSuccessfulProbes >= mSettings.maxProbes) {
    mOpen = false;
    mFailures = 0;
  }
}

void CircuitBreaker::RecordFailure(core::Instant aNow)
{
  if (mOpen) {
    if (aNow >= mOpenUntil) {
      mOpenUntil = aNow + mSettings.openDuration;
      mSuccessfulProbes = 0;
    }
    return;
  }
  if (mFailures == 0 || aNow - mFirstFailureAt > mSettings.failureWindow) {
    mFailures = 0;
    mFirstFailureAt = aNow;
  }
  ++mFailures;
  if (mFailures >= mSettings.failureThreshold) {
    mOpen = true;
    mOpenUntil = aNow + mSettings.openDuration;
    mSuccessfulProbes = 0;
  }
}

} // namespace cuminfield::request::routing
