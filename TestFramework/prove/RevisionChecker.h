#pragma once

#include "TestFramework/caller/KeyGenerator.h"
#include "TestFramework/prove/Cluster.h"
#include "TestFramework/prove/Oracle.h"

#include <array>

namespace cuminfield::test_framework::prove {

/// Submits document changes and checks that accepted revisions are never reverted at any host.
class RevisionChecker
{
public:
  RevisionChecker(Cluster& aCluster, Oracle& aOracle, std::uint64_t aSeed);

  /// Submits a change through host aHost. Returns true if it was accepted.
  bool SubmitChange(std::size_t aHost);

  /// Submits two changes with the same base revision through two hosts and resends the first
  /// change. Checks that at most one is accepted and that a resend gets the original response.
  void SubmitConcurrentChanges(std::size_t aFirstHost, std::size_t aSecondHost);

  /// Checks that the revision of no running host has decreased.
  void CheckHosts();

  /// Waits until every host has the latest accepted revision. Records a violation after aTimeout.
  void AwaitConvergence(time::LoopTimerService& aTimers, core::Duration aTimeout);

private:
  /// Status and revision of the response to a change.
  struct ChangeResponse
  {
    int status = 0;
    std::uint64_t revision = 0;
  };

  ChangeResponse PutDocument(std::size_t aHost, std::uint64_t aBase, const std::string& aRequestId,
                             std::uint64_t aWeight,
                             core::Duration aTimeout = std::chrono::seconds(3));
  void RecordResponse(const ChangeResponse& aResponse);
  void CheckRevision(std::size_t aHost, std::uint64_t aRevision);

  Cluster& mCluster;
  Oracle& mOracle;
  core::Random mRandom;
  caller::KeyGenerator mRequestIds;
  std::uint64_t mLatestAccepted = 1;
  std::uint64_t mWeight = 2;
  std::array<std::uint64_t, Cluster::kHostIds.size()> mLastObserved{};
};

} // namespace cuminfield::test_framework::prove
