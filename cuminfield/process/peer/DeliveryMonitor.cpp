#include "cuminfield/process/peer/DeliveryMonitor.h"

#include <algorithm>

namespace cuminfield::process::peer {

DeliveryMonitor::DeliveryMonitor(DeliveryMonitorSettings aSettings)
  : mSettings(aSettings)
{
}

void DeliveryMonitor::OnStreamOpened(std::uint32_t aStream, core::Duration aOpeningTimeout,
                                     core::Instant aNow)
{
  mStream = aStream;
  mStreamOpenedAt = aNow;
  mOpeningTimeout = aOpeningTimeout;
  mWasHeardOnStream = false;
  mWritten = 0;
  mAcknowledged = 0;
  mWatched.reset();
}

void DeliveryMonitor::OnQueued(core::Instant aNow)
{
  mLastQueuedAt = aNow;
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  }
}

void DeliveryMonitor::OnSent(core::Instant aNow)
{
  mLastSentAt = aNow;
  mOwesAcknowledgement = false;
}

void DeliveryMonitor::OnWritten(core::Instant aNow)
{
  if (mWritten++ == 0) {
    mEstablishedAt = aNow;
  }
  if (!mWatched && mAcknowledged < mWritten) {
    mWatched = mWritten;
    mWatchedSince = aNow;
    mHeardSinceWatched = {};
  }
}

void DeliveryMonitor::OnReceived(const ReceivedBatch& aBatch, core::Instant aNow)
{
  const core::Duration gap = aNow - std::max(mLastReceivedAt, mWatchedSince);
  mHeardSinceWatched += std::clamp(gap, core::Duration::zero(),
                                   core::Scaled(mSettings.timeout, mSettings.largestGapRatio));
  mLastReceivedAt = aNow;
  mWasHeardOnStream = true;
  mUnansweredSince.reset();
  if (aBatch.position.stream == mReceived.stream) {
    // Urgent batches overtake others on their way through the loop.
    mReceived.batches = std::max(mReceived.batches, aBatch.position.batches);
  } else {
    mReceived = aBatch.position;
  }
  mOwesAcknowledgement = mOwesAcknowledgement || aBatch.hasFrames;
  mPeerAcknowledges = aBatch.acknowledged.has_value();
  if (!mPeerAcknowledges) {
    mHeardSinceWatched = {};
  } else if (aBatch.acknowledged->stream == mStream) {
    OnAcknowledged(aBatch.acknowledged->batches);
  }
}

void DeliveryMonitor::OnAcknowledged(std::uint64_t aBatches)
{
  mAcknowledged = std::max(mAcknowledged, aBatches);
  if (!mWatched || mAcknowledged < *mWatched) {
    return;
  }
  mWatched.reset();
  if (mWritten > mAcknowledged) {
    mWatched = mWritten;
    mHeardSinceWatched = {};
  }
}

void DeliveryMonitor::ExcuseStall(core::Duration aStall, core::Instant aNow)
{
  mStreamOpenedAt = std::min(mStreamOpenedAt + aStall, aNow);
  mEstablishedAt = std::min(mEstablishedAt + aStall, aNow);
  if (mUnansweredSince) {
    mUnansweredSince = std::min(*mUnansweredSince + aStall, aNow);
  }
}

std::optional<StreamFault> DeliveryMonitor::Judge(core::Instant aNow) const
{
  if (mSettings.timeout.count() == 0) {
    return std::nullopt;
  }
  if (mWatched && mPeerAcknowledges && mHeardSinceWatched > UndeliveredTimeout()) {
    return StreamFault::Undelivered;
  }
  const bool isInUse = aNow - mLastQueuedAt < mSettings.timeout;
  const core::Duration timeout = IsStreamOpen() ? mSettings.timeout : mOpeningTimeout;
  const core::Instant since = IsStreamOpen() ? mEstablishedAt : mStreamOpenedAt;
  if (isInUse && mUnansweredSince && aNow - std::max(*mUnansweredSince, since) > timeout) {
    return StreamFault::Silent;
  }
  return std::nullopt;
}

bool DeliveryMonitor::IsAcknowledgementDue(core::Instant aNow) const
{
  return mSettings.timeout.count() > 0 && mOwesAcknowledgement &&
         aNow - mLastSentAt >= core::Scaled(mSettings.timeout, mSettings.acknowledgementRatio);
}

core::Instant DeliveryMonitor::LastUsedAt() const
{
  return std::max(mLastQueuedAt, mLastReceivedAt);
}

core::Duration DeliveryMonitor::UndeliveredTimeout() const
{
  const double ratio = mAcknowledged > 0 ? 1 : 1 + mSettings.openingRatio;
  return core::Scaled(mSettings.timeout, ratio);
}

} // namespace cuminfield::process::peer
