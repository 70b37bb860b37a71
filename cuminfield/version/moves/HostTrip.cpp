#include "cuminfield/version/moves/HostTrip.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::version::moves {

using request::AttemptOutcome;

namespace {

bool SpeaksOfHealth(TryOutcome aOutcome)
{
  return aOutcome == TryOutcome::Succeeded || aOutcome == TryOutcome::Failed;
}

} // namespace

HostTrip::HostTrip(const HostTripSettings& aSettings)
  : mSettings(aSettings)
{
}

void HostTrip::RecordOld(TryOutcome aOutcome)
{
  if (!SpeaksOfHealth(aOutcome)) {
    return;
  }
  const double keep = mOldRequests < mSettings.memory ? 1.0 : 1.0 - 1.0 / mSettings.memory;
  mOldRequests = mOldRequests * keep + 1.0;
  mOldFailures = mOldFailures * keep + (aOutcome == TryOutcome::Failed ? 1.0 : 0.0);
}

void HostTrip::RecordNew(TryOutcome aOutcome)
{
  if (!SpeaksOfHealth(aOutcome) || mTripped) {
    return;
  }
  const double oldRate = mOldRequests > 0.0 ? mOldFailures / mOldRequests : 0.0;
  const double tolerable = std::max(mSettings.tolerable, mSettings.tolerableRatio * oldRate);
  if (tolerable >= mSettings.glaringRate) {
    return; // The old version fails as well: leaving the new one would help nobody.
  }
  const double step = aOutcome == TryOutcome::Failed
                        ? std::log(mSettings.glaringRate / tolerable)
                        : std::log((1.0 - mSettings.glaringRate) / (1.0 - tolerable));
  mLogRatio = std::max(0.0, mLogRatio + step);
  mTripped = mLogRatio >= -std::log(mSettings.errorRate);
}

} // namespace cuminfield::version::moves
