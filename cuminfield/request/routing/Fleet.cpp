#include "cuminfield/request/routing/Fleet.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cuminfield::request::routing {

namespace {

constexpr double kTrustAfterGap = 0.9; ///< Factor on the trust in the index after a lost event.
constexpr double kTrustRegained = 0.1; ///< Part of the missing trust that an event restores.
constexpr core::Tokens kReferencePrefill{ 1'000 };

std::uint64_t KeyOf(const core::ServiceId& aService, const core::VersionId& aVersion)
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
  , mPeers(aSettings.peers)
  , mPrefixes(aSettings.prefix)
{
}

UpstreamIndex Fleet::Up(const UpstreamAnnouncement& aUpstream)
{
  const auto known = mById.find(aUpstream.id);
  if (known == mById.end()) {
    const UpstreamIndex index = Claim(aUpstream);
    Rebuild();
    return index;
  }
  const UpstreamIndex index = known->second;
  UpstreamState& state = At(index);
  if (state.announcement.incarnation < aUpstream.incarnation) {
    // A restarted upstream has an empty cache and numbers its reports anew.
    mPrefixes.Forget(index);
    state.load.Restarted();
    state.cacheSequence = 0;
    state.health = PeerHealth{};
  }
  state.announcement = aUpstream;
  state.local = aUpstream.region == mRegion;
  state.live = true;
  Rebuild();
  return index;
}

UpstreamIndex Fleet::Claim(const UpstreamAnnouncement& aUpstream)
{
  auto state = std::make_unique<UpstreamState>(aUpstream, mSettings);
  state->local = aUpstream.region == mRegion;
  const std::string& text = aUpstream.id.Text();
  state->hash = XXH64(text.data(), text.size(), 0);
  std::size_t index = 0;
  while (index < mStates.size() && mStates[index] != nullptr) {
    ++index;
  }
  if (index == mStates.size()) {
    mStates.emplace_back();
  }
  mStates[index] = std::move(state);
  mById[aUpstream.id] = static_cast<UpstreamIndex>(index);
  return static_cast<UpstreamIndex>(index);
}

void Fleet::Gone(const core::UpstreamId& aUpstream, core::Instant aNow)
{
  const auto known = mById.find(aUpstream);
  if (known == mById.end()) {
    return;
  }
  At(known->second).live = false;
  At(known->second).goneAt = aNow;
  Rebuild();
}

UpstreamState* Fleet::Known(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation)
{
  const auto known = mById.find(aUpstream);
  if (known == mById.end()) {
    return nullptr;
  }
  UpstreamState& state = At(known->second);
  return state.announcement.incarnation == aIncarnation ? &state : nullptr;
}

void Fleet::Load(const LoadReport& aReport, core::Instant aNow)
{
  UpstreamState* state = Known(aReport.id, aReport.incarnation);
  if (state != nullptr) {
    state->load.Reported(aReport, aNow);
  }
}

void Fleet::Cache(const CacheEvent& aEvent)
{
  UpstreamState* state = Known(aEvent.id, aEvent.incarnation);
  if (state == nullptr || aEvent.sequence <= state->cacheSequence) {
    return;
  }
  const bool gap = state->cacheSequence != 0 && aEvent.sequence != state->cacheSequence + 1;
  state->cacheSequence = aEvent.sequence;
  if (gap) {
    state->cacheTrust *= kTrustAfterGap;
  }
  state->cacheTrust += kTrustRegained * (1 - state->cacheTrust);
  // A prefix in another region is no reason to send a request there.
  if (!state->local) {
    return;
  }
  const UpstreamIndex index = mById[aEvent.id];
  for (const PrefixHash hash : aEvent.removed) {
    mPrefixes.Remove(hash, index);
  }
  for (const PrefixHash hash : aEvent.stored) {
    mPrefixes.Add(hash, index);
  }
}

void Fleet::DescribeUse(capacity::DemandReport& aReport) const
{
  for (const auto& it : mStates) {
    const bool own = it != nullptr && it->announcement.dataCentre == mDataCentre;
    if (own && it->load.Own() > 0) {
      aReport.uses.push_back({ .upstream = it->announcement.id, .inFlight = it->load.Own() });
    }
  }
}

void Fleet::Grants(const capacity::CapacityView& aView)
{
  for (auto& it : mStates) {
    if (it != nullptr && it->announcement.dataCentre == mDataCentre) {
      it->grant = aView.Slots(it->announcement);
    }
  }
}

PoolIndex Fleet::PoolOf(const core::ServiceId& aService, const core::VersionId& aVersion)
{
  const std::uint64_t key = KeyOf(aService, aVersion);
  const auto known = mPoolByName.find(key);
  if (known != mPoolByName.end()) {
    return known->second;
  }
  const auto index = static_cast<PoolIndex>(mPools.size());
  mPools.push_back(Pool{ .service = aService, .version = aVersion, .local = {}, .remote = {} });
  mPools.back().tierShare.fill(1.0);
  mPoolByName[key] = index;
  RebuildPool(mPools.back());
  return index;
}

double Fleet::OwnCapacity(PoolIndex aPool) const
{
  double sum = 0;
  for (const UpstreamIndex it : mPools[aPool].local) {
    const UpstreamState& state = At(it);
    const double others = state.load.InFlight() - state.load.Own();
    const bool granted = state.grant != capacity::CapacityView::kUnlimited;
    const double slots = state.announcement.slots;
    sum += granted ? state.grant : std::max(0.0, std::min(slots, state.limit.Value()) - others);
  }
  return sum;
}

double Fleet::OwnHeadroom(PoolIndex aPool) const
{
  double sum = 0;
  for (const UpstreamIndex it : mPools[aPool].local) {
    const UpstreamState& state = At(it);
    const double slots = std::max(1U, state.announcement.slots);
    const bool granted = state.grant != capacity::CapacityView::kUnlimited;
    const double part = granted ? std::min(1.0, state.grant / slots) : 1.0;
    sum += part * std::max(0.0, state.limit.Value() - slots);
  }
  return sum;
}

void Fleet::Rebuild()
{
  for (Pool& it : mPools) {
    RebuildPool(it);
  }
}

void Fleet::RebuildPool(Pool& aPool)
{
  aPool.local.clear();
  aPool.remote.clear();
  for (std::size_t n = 0; n < mStates.size(); ++n) {
    const UpstreamState* state = mStates[n].get();
    if (state == nullptr || !state->live || state->announcement.service != aPool.service) {
      continue;
    }
    if (!aPool.version.Empty() && state->announcement.version != aPool.version) {
      continue;
    }
    auto& list = state->local ? aPool.local : aPool.remote;
    list.push_back(static_cast<UpstreamIndex>(n));
  }
  if (!aPool.Empty()) {
    aPool.fastest = aPool.local.empty() ? aPool.remote.front() : aPool.local.front();
  }
  MarkLong(aPool);
}

void Fleet::MarkLong(const Pool& aPool)
{
  // Every host must mark the same ones: the order depends on announced facts alone.
  const auto mark = [this](std::vector<UpstreamIndex> aList) {
    std::sort(aList.begin(), aList.end(), [this](UpstreamIndex aLeft, UpstreamIndex aRight) {
      return At(aLeft).hash < At(aRight).hash;
    });
    const double share = std::ceil(static_cast<double>(aList.size()) * mSettings.longShare);
    for (std::size_t n = 0; n < aList.size(); ++n) {
      At(aList[n]).takesLong = static_cast<double>(n) < share;
    }
  };
  mark(aPool.local);
  mark(aPool.remote);
}

void Fleet::Tick(core::Instant aNow)
{
  for (auto& it : mStates) {
    if (it != nullptr) {
      it->limit.Adjust(it->rates.Gap() + it->rates.GapDeviation(), it->gapTarget,
                       it->load.InFlight(), aNow);
    }
  }
  if (aNow - mJudged < mSettings.judgePeriod) {
    return;
  }
  mJudged = aNow;
  JudgePools(aNow);
  Forget(aNow);
}

void Fleet::JudgePools(core::Instant aNow)
{
  for (Pool& pool : mPools) {
    mScratch.clear();
    for (const auto* list : { &pool.local, &pool.remote }) {
      for (const UpstreamIndex it : *list) {
        mScratch.push_back(&At(it).health);
        const bool faster = At(it).rates.Prefill(kReferencePrefill) <
                            At(pool.fastest).rates.Prefill(kReferencePrefill);
        pool.fastest = faster ? it : pool.fastest;
      }
    }
    if (mSettings.health == HealthPolicy::Peers) {
      mPeers.Judge(mScratch, aNow);
    }
  }
}

void Fleet::Forget(core::Instant aNow)
{
  for (std::size_t n = 0; n < mStates.size(); ++n) {
    const UpstreamState* state = mStates[n].get();
    if (state == nullptr || state->live || state->load.Own() > 0 ||
        aNow - state->goneAt < mSettings.forgetAfter) {
      continue;
    }
    mPrefixes.Forget(static_cast<UpstreamIndex>(n));
    mById.erase(state->announcement.id);
    mStates[n].reset();
  }
}

} // namespace cuminfield::request::routing
