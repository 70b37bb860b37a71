#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/request/Tiers.h"
#include "cuminfield/request/capacity/DemandReport.h"
#include "cuminfield/request/routing/PrefixIndex.h"
#include "cuminfield/request/routing/UpstreamState.h"

#include <array>
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
  std::vector<UpstreamIndex> local;       ///< Live, in the host's own region.
  std::vector<UpstreamIndex> remote;      ///< Live, in other regions.
  std::array<double, kTiers> tierShare{}; ///< Of a limit that each tier may fill, as of now.
  UpstreamIndex fastest = 0;              ///< The one with the highest prefill rate.

  bool Empty() const { return local.empty() && remote.empty(); }
};

/// The upstreams that a host knows, as small integers, and the pools that they form.
class Fleet
{
public:
  Fleet(const RouterSettings& aSettings, core::RegionId aRegion, core::DataCentreId aDataCentre);

  /// The upstream is known, or known anew with other facts. Returns its index.
  UpstreamIndex Up(const UpstreamAnnouncement& aUpstream);

  /// The upstream takes no new work.
  void Gone(const core::UpstreamId& aUpstream, core::Instant aNow);

  /// A load report was received.
  void Load(const LoadReport& aReport, core::Instant aNow);

  /// A cache event was received.
  void Cache(const CacheEvent& aEvent);

  /// Fills in what this host has in flight in its own data centre.
  void DescribeUse(capacity::DemandReport& aReport) const;

  /// Asks for the grants anew.
  void Grants(const capacity::CapacityView& aView);

  /// Adjusts limits, judges peers and forgets upstreams long gone.
  void Tick(core::Instant aNow);

  /// The pool of a service and version, made when it is first asked for.
  PoolIndex PoolOf(const core::ServiceId& aService, const core::VersionId& aVersion);

  /// Sets what share of its upstreams' limits each tier may fill.
  void ShareOut(PoolIndex aPool, const std::array<double, kTiers>& aShares)
  {
    mPools[aPool].tierShare = aShares;
  }

  /// Requests that this host can have in flight in its own region within the slots.
  double OwnCapacity(PoolIndex aPool) const;

  /// Requests that it can have in flight there beyond the slots, for a time.
  double OwnHeadroom(PoolIndex aPool) const;

  const Pool& PoolAt(PoolIndex aIndex) const { return mPools[aIndex]; }
  std::size_t PoolCount() const { return mPools.size(); }

  UpstreamState& At(UpstreamIndex aIndex) { return *mStates[aIndex]; }
  const UpstreamState& At(UpstreamIndex aIndex) const { return *mStates[aIndex]; }

  PrefixIndex& Prefixes() { return mPrefixes; }
  const PrefixIndex& Prefixes() const { return mPrefixes; }

  /// Judges health after the given policy.
  const PeerComparison& Peers() const { return mPeers; }

private:
  UpstreamState* Known(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation);
  UpstreamIndex Claim(const UpstreamAnnouncement& aUpstream);
  void Rebuild();
  void RebuildPool(Pool& aPool);
  void MarkLong(const Pool& aPool);
  void JudgePools(core::Instant aNow);
  void Forget(core::Instant aNow);

  RouterSettings mSettings;
  core::RegionId mRegion;
  core::DataCentreId mDataCentre;
  PeerComparison mPeers;
  PrefixIndex mPrefixes;
  std::vector<std::unique_ptr<UpstreamState>> mStates; ///< By index; empty when free.
  std::unordered_map<core::UpstreamId, UpstreamIndex> mById;
  std::vector<Pool> mPools;
  std::unordered_map<std::uint64_t, PoolIndex> mPoolByName; ///< By the hash of both names.
  std::vector<PeerHealth*> mScratch;
  core::Instant mJudged{};
};

} // namespace cuminfield::request::routing
