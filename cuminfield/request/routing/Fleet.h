#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/capacity/DemandReport.h"
#include "cuminfield/request/routing/PrefixIndex.h"
#include "cuminfield/request/routing/TierShares.h"
#include "cuminfield/request/routing/UpstreamState.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cuminfield::request::routing {

/// Index of a pool inside this process.
using PoolIndex = std::uint32_t;

/// Upstreams that can serve the same requests: one version of a service, or all versions if the
/// version is empty.
struct Pool
{
  core::ServiceId service;
  core::VersionId version;
  std::vector<UpstreamIndex> sameRegion;   ///< Live upstreams in the host's own region.
  std::vector<UpstreamIndex> otherRegions; ///< Live upstreams in other regions.
  /// Shares of the limits that each tier may fill.
  TierShares tierShares = TierShares::Unrestricted();
  UpstreamIndex fastest = 0; ///< Upstream with the highest prefill rate.

  bool IsEmpty() const { return sameRegion.empty() && otherRegions.empty(); }
};

/// All upstreams known to this host, by index, and the pools they form.
class Fleet
{
public:
  Fleet(const RouterSettings& aSettings, core::RegionId aRegion, core::DataCentreId aDataCentre);

  /// Adds an upstream or updates its properties. Returns its index.
  UpstreamIndex AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream);

  /// Marks the upstream as removed: it gets no new requests.
  void RemoveUpstream(const core::UpstreamId& aUpstream, core::Instant aNow);

  void ApplyLoadReport(const LoadReport& aReport, core::Instant aNow);

  void ApplyCacheEvent(const CacheEvent& aEvent);

  /// Adds the requests that this host has in flight in its own data centre.
  void FillUpstreamUse(capacity::DemandReport& aReport) const;

  /// Queries the granted slots of all upstreams.
  void UpdateGrants(const capacity::CapacityView& aView);

  /// Adjusts limits, evaluates health and purges upstreams removed long ago.
  void Tick(core::Instant aNow);

  /// Returns the pool of a service and version, created on first use.
  PoolIndex FindOrAddPool(const core::ServiceId& aService, const core::VersionId& aVersion);

  /// Sets the share of the upstreams' limits that each tier may fill.
  void SetTierShares(PoolIndex aPool, const TierShares& aShares)
  {
    mPools[aPool].tierShares = aShares;
  }

  /// Requests that this host can have in flight in its own region, given its grants or the load
  /// from other hosts.
  HostCapacity EstimateCapacity(PoolIndex aPool) const;

  const Pool& PoolAt(PoolIndex aIndex) const { return mPools[aIndex]; }
  std::size_t PoolCount() const { return mPools.size(); }

  UpstreamState& At(UpstreamIndex aIndex) { return *mStates[aIndex]; }
  const UpstreamState& At(UpstreamIndex aIndex) const { return *mStates[aIndex]; }

  PrefixIndex& Prefixes() { return mPrefixes; }
  const PrefixIndex& Prefixes() const { return mPrefixes; }

  const OutlierDetector& Detector() const { return mOutlierDetector; }

private:
  UpstreamState* FindIncarnation(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation);
  UpstreamIndex AddUpstream(const UpstreamAnnouncement& aUpstream);
  void RebuildPools();
  void RebuildPool(Pool& aPool);
  void AssignLongPrefillUpstreams(const std::vector<UpstreamIndex>& aList);
  void EvaluatePools(core::Instant aNow);
  void PurgeRemovedUpstreams(core::Instant aNow);

  RouterSettings mSettings;
  core::RegionId mRegion;
  core::DataCentreId mDataCentre;
  OutlierDetector mOutlierDetector;
  PrefixIndex mPrefixes;
  std::vector<std::unique_ptr<UpstreamState>> mStates; ///< By index; null when unused.
  std::unordered_map<core::UpstreamId, UpstreamIndex> mIndexById;
  std::vector<Pool> mPools;
  /// By the hash of service and version.
  std::unordered_map<std::uint64_t, PoolIndex> mPoolByNameHash;
  std::vector<UpstreamHealth*> mHealthScratch;
  std::vector<UpstreamIndex> mSortScratch; ///< Used by AssignLongPrefillUpstreams().
  core::Instant mLastEvaluationAt{};
};

} // namespace cuminfield::request::routing
