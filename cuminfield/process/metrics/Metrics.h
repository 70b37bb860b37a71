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
  void Record(const request::exchange::IncomingRequest& aRequest,
              const request::exchange::ExchangeSummary& aSummary);

  /// Sets a gauge, such as the number of known upstreams.
  void SetGauge(const std::string& aName, double aValue) { mGauges[aName] = aValue; }

  /// Returns all metrics in the Prometheus text exposition format.
  std::string Expose() const;

  /// Ended requests of a tier, in total and by end.
  struct TierCounts
  {
    std::uint64_t ended = 0;
    std::uint64_t inTime = 0; ///< Completed, first token latency and token gap within targets.
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t broken = 0;
    std::uint64_t left = 0;
  };
  const std::map<request::TierRank, TierCounts>& Tiers() const { return mTiers; }

private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram = decltype(boost::histogram::make_histogram_with(
    boost::histogram::dense_storage<std::uint32_t>(), boost::histogram::axis::integer<>(0, 1),
    boost::histogram::axis::integer<>(0, 1), Axis({ 0.0, 1.0 })));

  struct Block
  {
    Histogram firstToken;
    Histogram tokenGap;
  };

  std::size_t IndexOf(const core::WorkspaceId& aWorkspace);
  Histogram MakeHistogram() const;
  Block& BlockOf(std::size_t aIndex);
  void ExposeHistograms(std::string& aText, const std::string& aName,
                        Histogram Block::*aHistogram) const;

  MetricsSettings mSettings;
  std::unordered_map<core::WorkspaceId, std::size_t> mIndex;
  std::vector<std::string> mNames; ///< Indexed as mWorkspaceIndices maps.
  std::vector<std::unique_ptr<Block>> mBlocks;
  std::map<request::TierRank, TierCounts> mTiers;
  std::map<std::string, double> mGauges;
};

} // namespace cuminfield::process::metrics
