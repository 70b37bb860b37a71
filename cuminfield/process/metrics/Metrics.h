#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/request/exchange/ExchangeObserver.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminfield::process::metrics {

/// Limits of the number of time series.
struct MetricsSettings
{
  std::size_t maxWorkspaces = 15'000; ///< Workspaces beyond it share the label `other`.
  std::uint32_t maxTiers = 8;         ///< Higher ranks count with the last.
};

/// Collects request counts by tier and end, and histograms of first token latency and token gap by
/// workspace and tier. One Boost.Histogram holds a block of workspaces and is created on first use.
class Metrics
{
public:
  explicit Metrics(MetricsSettings aSettings);

  /// Records a request that has ended.
  void RecordRequest(const request::exchange::IncomingRequest& aRequest,
                     const request::exchange::ExchangeSummary& aSummary);

  /// Sets a gauge, such as the number of known upstreams.
  void SetGauge(const std::string& aName, double aValue) { mGauges[aName] = aValue; }

  /// Returns all metrics in the Prometheus text exposition format.
  std::string ToPrometheusText() const;

  /// Ended requests of a tier, in total and by end.
  struct TierCounts
  {
    std::uint64_t ended = 0;
    std::uint64_t withinTargets =
      0; ///< Completed, first token latency and token gap within targets.
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t aborted = 0;
    std::uint64_t callerDisconnected = 0;
  };
  const std::map<request::TierRank, TierCounts>& CountsByTier() const { return mCountsByTier; }

private:
  using BucketAxis = boost::histogram::axis::variable<double>;
  using Histogram = decltype(boost::histogram::make_histogram_with(
    boost::histogram::dense_storage<std::uint32_t>(), boost::histogram::axis::integer<>(0, 1),
    boost::histogram::axis::integer<>(0, 1), BucketAxis({ 0.0, 1.0 })));

  struct HistogramBlock
  {
    Histogram firstTokenLatency;
    Histogram tokenGap;
  };

  std::size_t FindOrAddWorkspace(const core::WorkspaceId& aWorkspace);
  Histogram MakeHistogram() const;
  HistogramBlock& FindOrAddBlock(std::size_t aIndex);
  void AppendHistograms(std::string& aText, const std::string& aName,
                        Histogram HistogramBlock::*aHistogram) const;

  MetricsSettings mSettings;
  std::unordered_map<core::WorkspaceId, std::size_t> mWorkspaceIndices;
  std::vector<std::string> mWorkspaceNames; ///< Indexed as mWorkspaceIndices maps.
  std::vector<std::unique_ptr<HistogramBlock>> mBlocks;
  std::map<request::TierRank, TierCounts> mCountsByTier;
  std::map<std::string, double> mGauges;
};

} // namespace cuminfield::process::metrics
