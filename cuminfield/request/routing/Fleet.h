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

/// Small integer that stands for one pool inside one process.
using PoolIndex = std::uint32_t;

/// The upstreams that can serve the same requests: one service at one version, or at any version
/// when the version is empty.
struct Pool
{
  core::ServiceId service;
  core::VersionId version;
  std::vector<UpstreamIndex> sameRegion;   ///< Live, in the host's own region.
  std::vector<UpstreamIndex> otherRegions; ///< Live, in other regions.
  TierShares tierShares =
    TierShares::Unrestricted(); ///< Of the limits that each tier may fill, as of now.
  UpstreamIndex fastest = 0;    ///< The one with the highest prefill rate.

  bool IsEmpty() const { return sameRegion.empty() && otherRegions.empty(); }
};

/// The upstreams that a host knows, as small integers, and the pools that they form.
class Fleet
{
public:
  Fleet(const RouterSettings& aSettings, core::RegionId aRegion, core::DataCentreId aDataCentre);

  /// The upstream is known, or known anew with other facts. Returns its index.
  UpstreamIndex AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream);

  /// The upstream takes no new work.
  void RemoveUpstream(const core::UpstreamId& aUpstream, core::Instant aNow);

  /// A load report was received.
  void ApplyLoadReport(const LoadReport& aReport, core::Instant aNow);

  /// A cache event was received.
  void ApplyCacheEvent(const CacheEvent& aEvent);

  /// Fills in what this host has in flight in its own data centre.
  void FillUpstreamUse(capacity::DemandReport& aReport) const;

  /// Asks for the grants anew.
  void UpdateGrants(const capacity::CapacityView& aView);

  /// Adjusts limits, judges peers and forgets upstreams long gone.
  void Tick(core::Instant aNow);

  /// The pool of a service and version, made when it is first asked for.
  PoolIndex FindOrAddPool(const core::ServiceId& aService, const core::VersionId& aVersion);

  /// Sets what share of its upstreams' limits each tier may fill.
  void SetTierShares(PoolIndex aPool, const TierShares& aShares)
  {
    mPools[aPool].tierShares = aShares;
  }

  /// Requests that this host can have in flight in its own region, given grants or others' load.
  HostCapacity EstimateCapacity(PoolIndex aPool) const;

  const Pool& PoolAt(PoolIndex aIndex) const { return mPools[aIndex]; }
  std::size_t PoolCount() const { return mPools.size(); }

  UpstreamState& At(UpstreamIndex aIndex) { return *mStates[aIndex]; }
  const UpstreamState& At(UpstreamIndex aIndex) const { return *mStates[aIndex]; }

  PrefixIndex& Prefixes() { return mPrefixes; }
  const PrefixIndex& Prefixes() const { return mPrefixes; }

  /// Judges health after the given policy.
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
  std::vector<std::unique_ptr<UpstreamState>> mStates; ///< By index; empty when free.
  std::unordered_map<core::UpstreamId, UpstreamIndex> mIndexById;
  std::vector<Pool> mPools;
  std::unordered_map<std::uint64_t, PoolIndex> mPoolByNameHash; ///< By the hash of both names.
  std::vector<UpstreamHealth*> mHealthScratch;
  std::vector<UpstreamIndex> mSortScratch; ///< Scratch of MarkLong().
  core::Instant mLastEvaluationAt{};
};

} // namespace cuminfield::request::routing
