#include "cuminfield/process/cluster/CrashEvidenceCollector.h"

#include "cuminfield/process/cluster/CrashMessages.h"

#include <algorithm>
#include <utility>

namespace cuminfield::process::cluster {

namespace {

/// Reports kept while no leader commits them; further ones are dropped. A fatal part keeps causing
/// new ones.
constexpr std::size_t kMaxPendingCrashes = 1024;

} // namespace

void CrashEvidenceCollector::Collect(FollowerTable::Follower& aFollower,
                                     const request::quarantine::CrashAttribution& aCrashes)
{
  for (const proto::CrashReport& it : aFollower.report.crashes()) {
    if (it.sequence() <= aFollower.crashesReceived || mCrashes.size() >= kMaxPendingCrashes) {
      continue;
    }
    aFollower.crashesReceived = it.sequence();
    mCrashes.push_back(it);
    mCrashes.back().clear_sequence();
  }
  for (const proto::ServicePart& it : aFollower.report.started()) {
    request::quarantine::ServicePart part = ToServicePart(it);
    if (aCrashes.IsSuspect(part)) {
      mStarted.insert(std::move(part));
    }
  }
  for (const proto::ServicePart& it : aFollower.report.started_before()) {
    request::quarantine::ServicePart part = ToServicePart(it);
    if (aCrashes.IsSuspect(part) && !aCrashes.Records().at(part.second).hasStartedBefore) {
      mStartedBefore.insert(std::move(part));
    }
  }
}

std::optional<proto::CrashEvidence> CrashEvidenceCollector::TakeBatch()
{
  if (mIsProposing || (mCrashes.empty() && mStarted.empty() && mStartedBefore.empty())) {
    return std::nullopt;
  }
  mIsProposing = true;
  mProposed.Clear();
  for (proto::CrashReport& it : mCrashes) {
    *mProposed.add_crashes() = std::move(it);
  }
  *mProposed.mutable_started() = ToServicePartList(mStarted);
  *mProposed.mutable_started_before() = ToServicePartList(mStartedBefore);
  mCrashes.clear();
  mStarted.clear();
  mStartedBefore.clear();
  return mProposed;
}

void CrashEvidenceCollector::OnProposed(bool aCommitted)
{
  mIsProposing = false;
  if (aCommitted) {
    return;
  }
  mCrashes.insert(mCrashes.begin(), mProposed.crashes().begin(), mProposed.crashes().end());
  for (const proto::ServicePart& it : mProposed.started()) {
    mStarted.insert(ToServicePart(it));
  }
  for (const proto::ServicePart& it : mProposed.started_before()) {
    mStartedBefore.insert(ToServicePart(it));
  }
}

} // namespace cuminfield::process::cluster
