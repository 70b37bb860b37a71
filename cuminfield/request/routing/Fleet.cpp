#include "cuminfield/request/routing/Fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cuminfield::request::routing {

namespace {

constexpr double kConfidenceFactorAfterGap = 0.9; ///< Applied when a cache event was lost.
/// Fraction of the lost confidence that each event restores.
constexpr double kConfidenceRecovery = 0.1;
constexpr double kSlotTolerance = 0.5; ///< Slots that may be missing from the share.
constexpr core::Tokens kReferencePrefillTokens{ 1'000 };

std::uint64_t HashPoolName(const core::ServiceId& aService, const core::VersionId& aVersion)
{
  const std::uint64_t seed = XXH64(aService.Text().data(), aService.Text().size(), 0);
  return XXH64(aVersion.Text().data(), aVersion.Text().size(), seed);
}

} // namespace

Fleet::Fleet(const RouterSettings& aSettings, core::RegionId aRegion,
             core::DataCentreId aDataCentre)
  : mSettings(aSettings)
  , mRegion(std::move(aRegion))
  , mDataCentre(std::move(aDataCentre))
  , mOutlierDetector(aSettings.outlierDetector)
  , mPrefixes(aSettings.prefixIndex)
{
}

UpstreamIndex Fleet::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream)
{
  const auto existing = mIndexById.find(aUpstream.id);
  if (existing == mIndexById.end()) {
    const UpstreamIndex index = AddUpstream(aUpstream);
    RebuildPools();
    return index;
  }
  const UpstreamIndex index = existing->second;
  UpstreamState& state = At(index);
  if (state.announcement.incarnation < aUpstream.incarnation) {
    // A restarted upstream has an empty cache and restarts its report sequence.
    mPrefixes.RemoveUpstream(index);
    state.load.ResetReportSequence();
    state.lastCacheSequence = 0;
    state.health = UpstreamHealth{};
  }
  state.announcement = aUpstream;
  state.sameRegion = aUpstream.region == mRegion;
  state.live = true;
  RebuildPools();
  return index;
}

UpstreamIndex Fleet::AddUpstream(const UpstreamAnnouncement& aUpstream)
{
  auto state = std::make_unique<UpstreamState>(aUpstream, mSettings);
  state->sameRegion = aUpstream.region == mRegion;
  const std::string& id = aUpstream.id.Text();
  state->idHash = XXH64(id.data(), id.size(), 0);
  std::size_t index = 0;
  while (index < mStates.size() && mStates[index] != nullptr) {
    ++index;
  }
  if (index == mStates.size()) {
    mStates.emplace_back();
  }
  mStates[index] = std::move(state);
  mIndexById[aUpstream.id] = static_cast<UpstreamIndex>(index);
  return static_cast<UpstreamIndex>(index);
}

void Fleet::RemoveUpstream(const core::UpstreamId& aUpstream, core::Instant aNow)
{
  const auto existing = mIndexById.find(aUpstream);
  if (existing == mIndexById.end()) {
    return;
  }
  At(existing->second).live = false;
  At(existing->second).removedAt = aNow;
  RebuildPools();
}

UpstreamState* Fleet::FindIncarnation(const core::UpstreamId& aUpstream,
                                      core::Incarnation aIncarnation)
{
  const auto existing = mIndexById.find(aUpstream);
  if (existing == mIndexById.end()) {
    return nullptr;
  }
  UpstreamState& state = At(existing->second);
  return state.announcement.incarnation == aIncarnation ? &state : nullptr;
}

void Fleet::ApplyLoadReport(const LoadReport& aReport, core::Instant aNow)
{
  UpstreamState* state = FindIncarnation(aReport.id, aReport.incarnation);
  if (state != nullptr) {
    state->load.ApplyReport(aReport, aNow);
  }
}

void Fleet::ApplyCacheEvent(const CacheEvent& aEvent)
{
  UpstreamState* state = FindIncarnation(aEvent.id, aEvent.incarnation);
  if (state == nullptr || aEvent.sequence <= state->lastCacheSequence) {
    return;
  }
  const bool gap = state->lastCacheSequence != 0 && aEvent.sequence != state->lastCacheSequence + 1;
  state->lastCacheSequence = aEvent.sequence;
  if (gap) {
    state->cacheConfidence *= kConfidenceFactorAfterGap;
  }
  state->cacheConfidence += kConfidenceRecovery * (1 - state->cacheConfidence);
  // A cached prefix is no reason to send a request to another region.
  if (!state->sameRegion) {
    return;
  }
  const UpstreamIndex index = mIndexById[aEvent.id];
  for (const PrefixHash hash : aEvent.removed) {
    mPrefixes.RemoveBlock(hash, index);
  }
  for (const PrefixHash hash : aEvent.stored) {
    mPrefixes.AddBlock(hash, index);
  }
}

void Fleet::FillUpstreamUse(capacity::DemandReport& aReport) const
{
  for (const auto& it : mStates) {
    const bool sameDataCentre = it != nullptr && it->announcement.dataCentre == mDataCentre;
    if (sameDataCentre && it->load.LocalInFlight() > 0) {
      aReport.uses.push_back(
        { .upstream = it->announcement.id, .inFlight = it->load.LocalInFlight() });
    }
  }
}

void Fleet::UpdateGrants(const capacity::CapacityView& aView)
{
  for (auto& it : mStates) {
    if (it != nullptr && it->announcement.dataCentre == mDataCentre) {
      it->grantedSlots = aView.AvailableSlots(it->announcement);
    }
  }
}

PoolIndex Fleet::FindOrAddPool(const core::ServiceId& aService, const core::VersionId& aVersion)
{
  const std::uint64_t key = HashPoolName(aService, aVersion);
  const auto existing = mPoolByNameHash.find(key);
  if (existing != mPoolByNameHash.end()) {
    return existing->second;
  }
  const auto index = static_cast<PoolIndex>(mPools.size());
  mPools.push_back(
    Pool{ .service = aService, .version = aVersion, .sameRegion = {}, .otherRegions = {} });
  mPoolByNameHash[key] = index;
  RebuildPool(mPools.back());
  return index;
}

HostCapacity Fleet::EstimateCapacity(PoolIndex aPool) const
{
  HostCapacity sum;
  for (const UpstreamIndex it : mPools[aPool].sameRegion) {
    const UpstreamState& state = At(it);
    const double slots = std::max(1U, state.announcement.slots);
    const double remote = state.load.InFlight() - state.load.LocalInFlight();
    const bool granted = state.grantedSlots != capacity::CapacityView::kUnlimited;
    const double free = std::max(0.0, std::min(slots, state.limit.Value()) - remote);
    const double available = granted ? std::min<double>(state.grantedSlots, slots) : free;
    (state.acceptsLongPrefill ? sum.longPrefill : sum.shortPrefill) += available;
    sum.headroom += available / slots * std::max(0.0, state.limit.Value() - slots);
  }
  return sum;
}

void Fleet::RebuildPools()
{
  for (Pool& it : mPools) {
    RebuildPool(it);
  }
}

void Fleet::RebuildPool(Pool& aPool)
{
  aPool.sameRegion.clear();
  aPool.otherRegions.clear();
  for (std::size_t n = 0; n < mStates.size(); ++n) {
    const UpstreamState* state = mStates[n].get();
    if (state == nullptr || !state->live || state->announcement.service != aPool.service) {
      continue;
    }
    if (!aPool.version.IsEmpty() && state->announcement.version != aPool.version) {
      continue;
    }
    auto& list = state->sameRegion ? aPool.sameRegion : aPool.otherRegions;
    list.push_back(static_cast<UpstreamIndex>(n));
  }
  if (!aPool.IsEmpty()) {
    aPool.fastest =
      aPool.sameRegion.empty() ? aPool.otherRegions.front() : aPool.sameRegion.front();
  }
  AssignLongPrefillUpstreams(aPool.sameRegion);
  AssignLongPrefillUpstreams(aPool.otherRegions);
}

void Fleet::AssignLongPrefillUpstreams(const std::vector<UpstreamIndex>& aList)
{
  // All hosts must choose the same upstreams, so the order depends only on announced properties.
  mSortScratch = aList;
  std::sort(mSortScratch.begin(), mSortScratch.end(),
            [this](UpstreamIndex aLeft, UpstreamIndex aRight) {
              const UpstreamState& left = At(aLeft);
              const UpstreamState& right = At(aRight);
              if (left.announcement.slots != right.announcement.slots) {
                return left.announcement.slots > right.announcement.slots;
              }
              return left.idHash < right.idHash;
            });
  double total = 0;
  for (const UpstreamIndex it : mSortScratch) {
    total += At(it).announcement.slots;
  }
  double marked = 0;
  for (const UpstreamIndex it : mSortScratch) {
    At(it).acceptsLongPrefill = marked < total * mSettings.longPrefillShare - kSlotTolerance;
    marked += At(it).announcement.slots;
  }
}

void Fleet::Tick(core::Instant aNow)
{
  for (auto& it : mStates) {
    if (it != nullptr) {
      it->limit.Adjust(it->rates.TokenInterval() + it->rates.TokenIntervalDeviation(),
                       it->tokenIntervalTarget, it->load.InFlight(), aNow);
    }
  }
  if (aNow - mLastEvaluationAt < mSettings.evaluationPeriod) {
    return;
  }
  mLastEvaluationAt = aNow;
  EvaluatePools(aNow);
  PurgeRemovedUpstreams(aNow);
}

void Fleet::EvaluatePools(core::Instant aNow)
{
  for (Pool& pool : mPools) {
    mHealthScratch.clear();
    for (const auto* list : { &pool.sameRegion, &pool.otherRegions }) {
      for (const UpstreamIndex it : *list) {
        mHealthScratch.push_back(&At(it).health);
        const bool faster = At(it).rates.PredictPrefill(kReferencePrefillTokens) <
                            At(pool.fastest).rates.PredictPrefill(kReferencePrefillTokens);
        pool.fastest = faster ? it : pool.fastest;
      }
    }
    if (mSettings.healthPolicy == HealthPolicy::OutlierDetection) {
      mOutlierDetector.Evaluate(mHealthScratch, aNow);
    }
  }
}

void Fleet::PurgeRemovedUpstreams(core::Instant aNow)
{
  for (std::size_t n = 0; n < mStates.size(); ++n) {
    const UpstreamState* state = mStates[n].get();
    if (state == nullptr || state->live || state->load.LocalInFlight() > 0 ||
        aNow - state->removedAt < mSettings.removedRetention) {
      continue;
    }
    mPrefixes.RemoveUpstream(static_cast<UpstreamIndex>(n));
    mIndexById.erase(state->announcement.id);
    mStates[n].reset();
  }
}

} // namespace cuminfield::request::routing
