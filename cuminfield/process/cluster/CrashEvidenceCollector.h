#pragma once

#include "cuminfield/process/cluster/FollowerTable.h"
#include "cuminfield/process/cluster/cluster.pb.h"
#include "cuminfield/request/quarantine/CrashAttribution.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace cuminfield::process::cluster {

/// Collects at a control host what its followers report of crashes, until it is committed. One
/// batch at a time is proposed; it is kept and proposed again if that fails. Performs no I/O.
class CrashEvidenceCollector
{
public:
  /// Takes what is new in the follower's latest report. A start counts only for a part that is
  /// suspected, an earlier one only if none was known.
  void Collect(FollowerTable::Follower& aFollower,
               const request::quarantine::CrashAttribution& aCrashes);

  /// Returns the next batch to propose; empty if there is none or one is being committed.
  std::optional<proto::CrashEvidence> TakeBatch();

  /// The batch was committed or not.
  void OnProposed(bool aCommitted);

private:
  std::vector<proto::CrashReport> mCrashes;
  std::set<request::quarantine::ServicePart> mStarted;
  std::set<request::quarantine::ServicePart> mStartedBefore;
  proto::CrashEvidence mProposed;
  bool mIsProposing = false;
};

} // namespace cuminfield::process::cluster
