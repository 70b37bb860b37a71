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

/// Bounds of what the metrics may hold.
struct MetricsSettings
{
  std::size_t maxWorkspaces = 15'000; ///< Further workspaces are counted as one, `other`.
  std::uint32_t maxTiers = 8;         ///< Further ranks count with the last.
};

/// Histograms of first token and token gap for each workspace and tier, and counts by tier and
/// end, kept flat: one Boost.Histogram for a block of workspaces, made when first needed.
class Metrics
{
public:
  explicit Metrics(MetricsSettings aSettings);

  /// Counts one ended request.
  void Record(const request::exchange::IncomingRequest& aRequest,
              const request::exchange::ExchangeSummary& aSummary);

  /// Sets a value that is read as it is, such as a host's count of upstreams.
  void SetGauge(const std::string& aName, double aValue) { mGauges[aName] = aValue; }

  /// All of it in the text exposition format that scrapers read.
  std::string Expose() const;

  /// Requests by tier's rank that ended, that were in time, and that were told not-run.
  struct TierCounts
  {
    std::uint64_t ended = 0;
    std::uint64_t inTime = 0; ///< First token and pace within the tier's targets.
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
  std::vector<std::string> mNames; ///< By index.
  std::vector<std::unique_ptr<Block>> mBlocks;
  std::map<request::TierRank, TierCounts> mTiers;
  std::map<std::string, double> mGauges;
};

} // namespace cuminfield::process::metrics
