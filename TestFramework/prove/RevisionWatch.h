#pragma once

#include "TestFramework/caller/KeyGenerator.h"
#include "TestFramework/prove/Cluster.h"
#include "TestFramework/prove/Oracle.h"

#include <array>

namespace cuminfield::test_framework::prove {

/// Makes document changes and checks that accepted ones never revert at any host.
class RevisionWatch
{
public:
  RevisionWatch(Cluster& aCluster, Oracle& aOracle, std::uint64_t aSeed);

  /// Sends a change through host aHost; true when it was accepted.
  bool Change(std::size_t aHost);

  /// Sends two changes with equal base through two hosts, and each again: at most one is accepted,
  /// and a resend gets the first answer.
  void Race(std::size_t aOne, std::size_t aOther);

  /// Looks at every host once: no revision falls.
  void Look();

  /// Waits until every host has the newest accepted revision; a violation after aLimit.
  void AwaitEverywhere(time::LoopTimerService& aTimers, core::Duration aLimit);

private:
  /// The answer to a change: its status, and the revision that it names.
  struct Answer
  {
    int status = 0;
    std::uint64_t revision = 0;
  };

  Answer Put(std::size_t aHost, std::uint64_t aBase, const std::string& aRequest,
             std::uint64_t aWeight, core::Duration aTimeout = std::chrono::seconds(3));
  void Note(const Answer& aAnswer);
  void See(std::size_t aHost, std::uint64_t aRevision);

  Cluster& mCluster;
  Oracle& mOracle;
  core::Random mRandom;
  caller::KeyGenerator mRequests;
  std::uint64_t mAccepted = 1;
  std::uint64_t mWeight = 2;
  std::array<std::uint64_t, Cluster::kHosts.size()> mSeen{};
};

} // namespace cuminfield::test_framework::prove
