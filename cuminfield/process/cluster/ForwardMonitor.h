#pragma once

#include "cuminfield/process/cluster/VersionShares.h"
#include "cuminfield/request/forward/ForwardObserver.h"
#include "cuminfield/request/placement/WaitPolicy.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cuminfield::process::cluster {

/// Counts and logs the outcomes of forwarded requests, and passes them to VersionShares as evidence
/// on versions.
class ForwardMonitor : public request::forward::ForwardObserver
{
public:
  explicit ForwardMonitor(VersionShares& aVersionShares);

  void OnDispatched(const request::forward::ForwardRequest& aRequest,
                    const request::UpstreamAnnouncement& aUpstream,
                    const request::forward::PlacementBasis& aBasis) override;
  void OnAttemptEnded(const request::forward::ForwardRequest& aRequest,
                      const request::forward::ForwardAttempt& aAttempt) override;
  void OnTokenInterval(const request::forward::ForwardRequest& aRequest,
                       const request::UpstreamAnnouncement& aUpstream,
                       const request::forward::TokenIntervalSample& aSample) override;
  void OnUpstreamNotice(const request::UpstreamAnnouncement& aUpstream,
                        const request::UpstreamNotice& aNotice) override;
  void OnEnded(const request::forward::ForwardRequest& aRequest,
               const request::forward::ForwardSummary& aSummary) override;

  /// Counts and logs a request that was rejected before it was accepted.
  void OnRejected(const core::RequestId& aId, const core::WorkspaceId& aWorkspace,
                  const request::forward::ForwardFailure& aFailure);

  /// Counts and logs a request that was rejected because of its wait.
  void OnWaitRejected(const request::RequestSpec& aSpec,
                      const request::placement::WaitRejection& aRejection);

  /// Returns the counters and histograms in the text exposition format.
  std::string FormatMetrics() const;

private:
  using Histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::variable<double>({ 0.0, 1.0 })));

  Histogram& FindOrCreateHistogram(std::uint32_t aRank);

  VersionShares& mVersionShares;
  std::map<std::string, std::uint64_t> mRequestCounts;       ///< By rank and end.
  std::map<std::string, std::uint64_t> mAttemptCounts;       ///< By service and outcome.
  std::map<std::string, std::uint64_t> mWaitRejectionCounts; ///< By rank and cause.
  std::uint64_t mLeavingNotices = 0;
  std::uint64_t mQuietNotices = 0;
  std::map<std::uint32_t, Histogram> mFirstEventLatency; ///< In seconds, by rank.
};

} // namespace cuminfield::process::cluster
