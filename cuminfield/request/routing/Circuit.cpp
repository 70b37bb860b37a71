#include "cuminfield/request/routing/Circuit.h"

namespace cuminfield::request::routing {

bool Circuit::Allows(core::Instant aNow, std::uint32_t aInFlight) const
{
  if (!mOpen) {
    return true;
  }
  return aNow >= mOpenUntil && aInFlight < mSettings.probes;
}

void Circuit::Succeeded(core::Instant aNow)
{
  if (!mOpen) {
    mFailures = 0;
    return;
  }
  // Answers to calls from before the opening say nothing about the recovery.
  if (aNow < mOpenUntil) {
    return;
  }
  ++mProbesPassed;
  if (mProbesPassed >= mSettings.probes) {
    mOpen = false;
    mFailures = 0;
  }
}

void Circuit::Failed(core::Instant aNow)
{
  if (mOpen) {
    if (aNow >= mOpenUntil) {
      mOpenUntil = aNow + mSettings.openDuration;
      mProbesPassed = 0;
    }
    return;
  }
  if (mFailures == 0 || aNow - mFirstFailure > mSettings.window) {
    mFailures = 0;
    mFirstFailure = aNow;
  }
  ++mFailures;
  if (mFailures >= mSettings.threshold) {
    mOpen = true;
    mOpenUntil = aNow + mSettings.openDuration;
    mProbesPassed = 0;
  }
}

} // namespace cuminfield::request::routing
