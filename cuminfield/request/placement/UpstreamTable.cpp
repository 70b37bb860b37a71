#include "cuminfield/request/placement/UpstreamTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::placement {

namespace {

/// Expected length of a response relative to its limit.
constexpr double kExpectedOutputRatio = 0.7;

/// Maximum age of the sums over the upstreams of a service.
constexpr core::Duration kServiceSumsMaxAge = std::chrono::milliseconds(20);

/// Minimum sampling weight, for an upstream that is full according to the current figures.
constexpr double kMinSampleWeight = 0.25;

/// Maximum number of times that an ejection or probe interval is doubled.
constexpr std::uint32_t kMaxBackoffDoublings = 4;

} // namespace

UpstreamTable::UpstreamTable(const UpstreamTableSettings& aSettings, core::DataCentreId aDataCentre,
                             core::Random& aRandom)
  : mSettings(aSettings)
  , mNotices(aSettings.notices)
  , mDataCentre(std::move(aDataCentre))
  , mRandom(aRandom)
{
}

void UpstreamTable::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream)
{
  const UpstreamNotices::Entry* notice = mNotices.Find(aUpstream.id, aUpstream.incarnation);
  if (notice && notice->isLeaving) {
    return; // The announcement may be older than the upstream's own word.
  }
  UpstreamEntry& entry = mEntries[aUpstream.id];
  if (entry.upstream.incarnation != aUpstream.incarnation) {
    // Observations of an earlier incarnation don't apply to this one. Requests still in flight stay
    // counted until they end.
    const std::uint32_t inFlight = entry.localInFlight;
    const std::int64_t promptTokens = entry.localPromptTokens;
    entry = UpstreamEntry();
    entry.localInFlight = inFlight;
    entry.localPromptTokens = promptTokens;
  }
  const bool indexChanged = entry.upstream.service != aUpstream.service ||
                            entry.upstream.version != aUpstream.version ||
                            entry.upstream.dataCentre != aUpstream.dataCentre ||
                            entry.upstream.region != aUpstream.region || !entry.acceptsNewWork;
  entry.upstream = aUpstream;
  entry.acceptsNewWork = true;
  entry.isEvacuated = IsEvacuated(aUpstream.dataCentre);
  entry.quietUntil = notice ? notice->quietUntil : core::Instant();
  if (indexChanged) {
    RebuildIndex();
  }
}

void UpstreamTable::RebuildIndex()
{
  mServices.clear();
  for (auto& [id, entry] : mEntries) {
    if (entry.acceptsNewWork) {
      mServices[entry.upstream.service].entries.push_back(&entry);
    }
  }
}

UpstreamTable::ServiceUpstreams& UpstreamTable::UpstreamsOf(const core::ServiceId& aService,
                                                            core::Instant aNow)
{
  ServiceUpstreams& upstreams = mServices[aService];
  if (upstreams.upstreamCount != upstreams.entries.size() ||
      aNow - upstreams.summedAt >= kServiceSumsMaxAge) {
    upstreams.upstreamCount = upstreams.entries.size();
    upstreams.summedAt = aNow;
    upstreams.failureRatioSum = 0;
    for (const UpstreamEntry* it : upstreams.entries) {
      upstreams.failureRatioSum += FailureRatio(*it);
    }
  }
  return upstreams;
}

void UpstreamTable::RemoveUpstream(const core::UpstreamId& aUpstream)
{
  const auto it = mEntries.find(aUpstream);
  if (it == mEntries.end()) {
    return;
  }
  it->second.acceptsNewWork = false;
  if (it->second.localInFlight == 0) {
    mEntries.erase(it);
  }
  RebuildIndex();
}

std::vector<UpstreamAnnouncement> UpstreamTable::SetEvacuated(
  std::set<core::DataCentreId> aDataCentres)
{
  mEvacuated = std::move(aDataCentres);
  std::vector<UpstreamAnnouncement> released;
  for (auto& [id, entry] : mEntries) {
    const bool wasEvacuated =
      std::exchange(entry.isEvacuated, IsEvacuated(entry.upstream.dataCentre));
    if (wasEvacuated && !entry.isEvacuated) {
      released.push_back(entry.upstream);
    }
  }
  return released;
}

bool UpstreamTable::RecordNotice(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                                 const UpstreamNotice& aNotice, core::Instant aNow)
{
  const bool isNews = mNotices.Record(aUpstream, aIncarnation, aNotice, aNow);
  UpstreamEntry* entry = Find(aUpstream);
  if (!isNews || !entry || entry->upstream.incarnation != aIncarnation) {
    return isNews;
  }
  if (aNotice.retryAfter) {
    entry->quietUntil = std::max(entry->quietUntil, aNow + *aNotice.retryAfter);
    // Its load comes back one request at a time.
    entry->onProbation = true;
  }
  if (aNotice.isLeaving) {
    RemoveUpstream(aUpstream);
  }
  return true;
}

std::optional<core::Instant> UpstreamTable::EarliestQuietEnd(const core::ServiceId& aService,
                                                             const core::VersionId& aVersion,
                                                             core::Instant aNow,
                                                             const core::RegionSet* aRegions) const
{
  const auto it = mServices.find(aService);
  if (aNow >= mNotices.LatestQuietEnd() || it == mServices.end()) {
    return std::nullopt;
  }
  std::optional<core::Instant> earliest;
  for (const UpstreamEntry* entry : it->second.entries) {
    const bool isOther = !aVersion.IsEmpty() && entry->upstream.version != aVersion;
    if (isOther || !IsAllowed(*entry, aRegions)) {
      continue;
    }
    if (aNow >= entry->quietUntil) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(entry->quietUntil), entry->quietUntil);
  }
  return earliest;
}

std::optional<core::Instant> UpstreamTable::EarliestOpening(const core::ServiceId& aService,
                                                            const core::VersionId& aVersion,
                                                            core::Instant aNow,
                                                            const core::RegionSet* aRegions) const
{
  const auto it = mServices.find(aService);
  const core::Instant latest = std::max(mNotices.LatestQuietEnd(), mLatestEjectionEnd);
  if (aNow >= latest || it == mServices.end()) {
    return std::nullopt;
  }
  std::optional<core::Instant> earliest;
  for (const UpstreamEntry* entry : it->second.entries) {
    const bool isOther = !aVersion.IsEmpty() && entry->upstream.version != aVersion;
    if (isOther || !IsAllowed(*entry, aRegions)) {
      continue;
    }
    if (IsOpen(*entry, aNow)) {
      return std::nullopt;
    }
    const core::Instant end = std::max(entry->quietUntil, entry->ejectedUntil);
    earliest = std::min(earliest.value_or(end), end);
  }
  return earliest;
}

bool UpstreamTable::IsAllowed(const UpstreamEntry& aEntry, const core::RegionSet* aRegions)
{
  return !aEntry.isEvacuated && (!aRegions || aRegions->Contains(aEntry.upstream.region));
}

const std::vector<UpstreamTable::UpstreamGroup>& UpstreamTable::GroupsOf(
  const ServiceUpstreams& aService)
{
  if (aService.groups.empty()) {
    for (const UpstreamEntry* entry : aService.entries) {
      const UpstreamAnnouncement& upstream = entry->upstream;
      const bool isKnown =
        std::any_of(aService.groups.begin(), aService.groups.end(), [&](const UpstreamGroup& aIt) {
          return aIt.dataCentre == upstream.dataCentre && aIt.region == upstream.region &&
                 aIt.version == upstream.version;
        });
      if (!isKnown) {
        aService.groups.push_back({ .dataCentre = upstream.dataCentre,
                                    .region = upstream.region,
                                    .version = upstream.version });
      }
    }
  }
  return aService.groups;
}

bool UpstreamTable::IsOpen(const UpstreamEntry& aEntry, core::Instant aNow)
{
  return aNow >= aEntry.ejectedUntil && aNow >= aEntry.quietUntil;
}

UpstreamEntry* UpstreamTable::Find(const core::UpstreamId& aUpstream)
{
  const auto it = mEntries.find(aUpstream);
  return it == mEntries.end() ? nullptr : &it->second;
}

bool UpstreamTable::HasUpstream(const core::ServiceId& aService, const core::VersionId& aVersion,
                                const core::RegionSet* aRegions, bool aIncludeEvacuated) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return false;
  }
  const std::vector<UpstreamGroup>& groups = GroupsOf(it->second);
  return std::any_of(groups.begin(), groups.end(), [&](const UpstreamGroup& aGroup) {
    return (aVersion.IsEmpty() || aGroup.version == aVersion) &&
           (!aRegions || aRegions->Contains(aGroup.region)) &&
           (aIncludeEvacuated || !IsEvacuated(aGroup.dataCentre));
  });
}

UpstreamEntry* UpstreamTable::Choose(const RequestSpec& aSpec, const core::VersionId& aVersion,
                                     Urgency aUrgency, SlotFilter aSlotFilter, core::Instant aNow,
                                     const core::RegionSet* aRegions)
{
  ServiceUpstreams& service = UpstreamsOf(aSpec.service, aNow);
  const auto isEligible = [&](const UpstreamEntry& aEntry) {
    return IsOpen(aEntry, aNow) && (aVersion.IsEmpty() || aEntry.upstream.version == aVersion) &&
           IsAllowed(aEntry, aRegions);
  };
  // If no upstream can finish in time, not even an idle one, the best of all is used.
  const bool anySuitable =
    std::any_of(service.entries.begin(), service.entries.end(), [&](const UpstreamEntry* aEntry) {
      return isEligible(*aEntry) && IsSuitable(*aEntry, aSpec, aNow);
    });
  const FailureSum failures = SumFailures(service, aRegions);
  UpstreamEntry* avoided = nullptr;
  mCandidates.clear();
  for (UpstreamEntry* entry : service.entries) {
    const bool isMatch = isEligible(*entry) && (!anySuitable || IsSuitable(*entry, aSpec, aNow));
    const bool passesFilter = aSlotFilter == SlotFilter::Any || HasFreedSlot(*entry, aNow);
    if (!isMatch || !passesFilter || !IsUsable(*entry, failures, aUrgency, aNow)) {
      continue;
    }
    if (entry->upstream.id == aSpec.avoidUpstream) {
      avoided = entry;
      continue;
    }
    const bool isNear = entry->upstream.dataCentre == mDataCentre;
    mCandidates.push_back(
      { .entry = entry,
        .weight = FreeSlots(*entry, aUrgency) * (isNear ? mSettings.sameDataCentreWeight : 1) });
  }
  UpstreamEntry* best = ChooseFromSample(aSpec);
  return best ? best : avoided;
}

double UpstreamTable::RemoteInFlight(const core::ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  double requests = 0;
  if (it != mServices.end()) {
    for (const UpstreamEntry* entry : it->second.entries) {
      requests += entry->remoteInFlight;
    }
  }
  return requests;
}

bool UpstreamTable::HasFreedSlot(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  return aEntry.recentlyFreedSlots > 0 && aNow - aEntry.lastFreedAt <= mSettings.freedSlotLifetime;
}

double UpstreamTable::FreeEngineSlots(const core::ServiceId& aService, core::Instant aNow)
{
  double free = 0;
  for (const UpstreamEntry* entry : UpstreamsOf(aService, aNow).entries) {
    const bool usable = entry->upstream.isEngine && !entry->isEvacuated && IsOpen(*entry, aNow) &&
                        !IsSilent(*entry, aNow) && !IsSuspected(*entry, aNow);
    free += usable ? std::max(0.0, SlotLimit(*entry, Urgency::Top) - entry->InFlight()) : 0;
  }
  return free;
}

UpstreamEntry* UpstreamTable::ChooseFromSample(const RequestSpec& aSpec)
{
  double total = 0;
  for (const Candidate& it : mCandidates) {
    total += it.weight;
  }
  UpstreamEntry* best = nullptr;
  double bestScore = 0;
  const std::size_t compared = std::min(
    aSpec.needsEngine ? mSettings.sampleSize : mSettings.plainSampleSize, mCandidates.size());
  for (std::size_t n = 0; n < compared; ++n) {
    double point = total * mRandom.Uniform();
    auto candidate = mCandidates.begin();
    while (candidate + 1 != mCandidates.end() && point >= candidate->weight) {
      point -= candidate->weight;
      ++candidate;
    }
    const double score = Score(*candidate->entry, aSpec);
    if (!best || score < bestScore) {
      best = candidate->entry;
      bestScore = score;
    }
    total -= candidate->weight;
    *candidate = mCandidates.back();
    mCandidates.pop_back();
  }
  return best;
}

double UpstreamTable::FreeSlots(const UpstreamEntry& aEntry, Urgency aUrgency) const
{
  return std::max(kMinSampleWeight, SlotLimit(aEntry, aUrgency) - aEntry.InFlight());
}

double UpstreamTable::SlotLimit(const UpstreamEntry& aEntry, Urgency aUrgency) const
{
  const double slots = aEntry.upstream.slots;
  if (!aEntry.upstream.isEngine) {
    return slots * (1 + mSettings.plainQueueFactor);
  }
  switch (aUrgency) {
    case Urgency::Top:
      return slots * mSettings.topFillFactor;
    case Urgency::Normal:
      return std::max(1.0, slots * mSettings.normalFillFactor);
    case Urgency::Late:
      return std::max(1.0, slots * mSettings.lateFillFactor);
  }
  return slots;
}

double UpstreamTable::SuitableEngineSlots(const RequestSpec& aSpec, core::Instant aNow,
                                          const core::RegionSet* aRegions)
{
  double all = 0;
  double suitable = 0;
  for (const UpstreamEntry* entry : UpstreamsOf(aSpec.service, aNow).entries) {
    const bool usable = entry->upstream.isEngine && IsAllowed(*entry, aRegions) &&
                        !entry->unreachable && aNow >= entry->quietUntil &&
                        !IsSilent(*entry, aNow) && !IsSuspected(*entry, aNow);
    const double slots = usable ? entry->upstream.slots : 0;
    all += slots;
    suitable += IsSuitable(*entry, aSpec, aNow) ? slots : 0;
  }
  return suitable > 0 ? suitable : all;
}

bool UpstreamTable::HasFreeSlot(const UpstreamEntry& aEntry, Urgency aUrgency) const
{
  if (aEntry.onProbation && aEntry.localInFlight > 0) {
    return false;
  }
  if (!aEntry.upstream.isEngine) {
    return aEntry.InFlight() < SlotLimit(aEntry, aUrgency);
  }
  return aEntry.InFlight() + 1 <= SlotLimit(aEntry, aUrgency);
}

double UpstreamTable::TokenIntervalMs(const UpstreamEntry& aEntry) const
{
  const double prior = mSettings.speedPriorWeight;
  return (prior * mSettings.tokenIntervalMs + aEntry.localObservations.tokenIntervalSumMs +
          aEntry.remoteObservations.tokenIntervalSumMs) /
         (prior + aEntry.localObservations.tokenIntervalCount +
          aEntry.remoteObservations.tokenIntervalCount);
}

double UpstreamTable::FirstEventFactor(const UpstreamEntry& aEntry) const
{
  const double prior = mSettings.speedPriorWeight;
  const double factor =
    (prior + aEntry.localObservations.firstEventFactorSum +
     aEntry.remoteObservations.firstEventFactorSum) /
    (prior + aEntry.localObservations.firstEventCount + aEntry.remoteObservations.firstEventCount);
  return std::clamp(factor, mSettings.minFirstEventFactor, mSettings.maxFirstEventFactor);
}

double UpstreamTable::FailureRatio(const UpstreamEntry& aEntry) const
{
  return (aEntry.localObservations.failureCount + aEntry.remoteObservations.failureCount) /
         (mSettings.attemptPriorWeight + aEntry.localObservations.attemptCount +
          aEntry.remoteObservations.attemptCount);
}

void UpstreamTable::DecayTo(UpstreamEntry& aEntry, core::Instant aNow) const
{
  const core::Duration elapsed = aNow - aEntry.decayedAt;
  aEntry.localObservations.Decay(
    std::exp(-core::Seconds(elapsed) / core::Seconds(mSettings.observationDecayTime)));
  aEntry.decayedAt = aNow;
}

void UpstreamTable::RecordActivity(UpstreamEntry& aEntry, core::Instant aNow)
{
  aEntry.lastActivityAt = aNow;
  aEntry.lastReceivedAt = aNow;
  aEntry.probesSent = 0;
  aEntry.nextProbeAt = {};
  aEntry.unreachable = false;
}

UpstreamObservations UpstreamTable::LocalObservations(UpstreamEntry& aEntry,
                                                      core::Instant aNow) const
{
  DecayTo(aEntry, aNow);
  UpstreamObservations observations = aEntry.localObservations;
  observations.suspectingHosts = aEntry.unreachable || IsSilent(aEntry, aNow) ? 1 : 0;
  observations.confirmingHosts =
    aNow - aEntry.lastReceivedAt <= mSettings.confirmationLifetime ? 1 : 0;
  return observations;
}

void UpstreamTable::SetRemoteReachability(const core::UpstreamId& aUpstream,
                                          std::uint32_t aSuspecting, std::uint32_t aConfirming,
                                          core::Instant aNow)
{
  UpstreamEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  const bool wasSuspected =
    entry->remoteObservations.suspectingHosts > entry->remoteObservations.confirmingHosts;
  entry->remoteObservations.suspectingHosts = aSuspecting;
  entry->remoteObservations.confirmingHosts = aConfirming;
  if (!wasSuspected && aSuspecting > aConfirming) {
    entry->nextProbeAt = std::max(entry->nextProbeAt, NextSuspectProbe(aNow));
  }
}

core::Instant UpstreamTable::NextSuspectProbe(core::Instant aNow)
{
  return aNow + core::Scaled(mSettings.suspectProbeInterval, 0.5 + mRandom.Uniform());
}

void UpstreamTable::SetRemoteObservations(const core::UpstreamId& aUpstream,
                                          const UpstreamObservations& aSums)
{
  if (UpstreamEntry* entry = Find(aUpstream)) {
    const UpstreamObservations before = entry->remoteObservations;
    entry->remoteObservations = aSums;
    entry->remoteObservations.suspectingHosts = before.suspectingHosts;
    entry->remoteObservations.confirmingHosts = before.confirmingHosts;
  }
}

bool UpstreamTable::IsSuitable(const UpstreamEntry& aEntry, const RequestSpec& aSpec,
                               core::Instant aNow) const
{
  if (!aSpec.needsEngine || aSpec.maxOutputTokens.value == 0) {
    return true;
  }
  const double intervalMs = TokenIntervalMs(aEntry);
  const double responseMs = static_cast<double>(aSpec.maxOutputTokens.value) * intervalMs;
  if (responseMs > core::Milliseconds(aSpec.deadline - aNow) * mSettings.remainingTimeShare) {
    return false;
  }
  if (aSpec.tokenGapTarget.count() == 0) {
    return true;
  }
  // The prefill speed is assumed to scale with the token interval. First event latencies don't show
  // it, as they include queueing in the engine.
  const double slowness = intervalMs / mSettings.tokenIntervalMs;
  // While the engine processes this prompt, its other streams wait for one chunk per token.
  const double chunks = std::min(static_cast<double>(aSpec.promptTokens.value),
                                 mSettings.prefillChunkTokens * aSpec.tokensPerEvent);
  const double gapMs =
    intervalMs * aSpec.tokensPerEvent + chunks * slowness / mSettings.promptTokensPerMs;
  return gapMs <= core::Milliseconds(aSpec.tokenGapTarget) * mSettings.tokenGapTargetShare;
}

bool UpstreamTable::IsSilent(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  const core::Duration limit =
    aEntry.upstream.isEngine ? mSettings.engineSilenceTimeout : mSettings.plainSilenceTimeout;
  return aEntry.localInFlight > 0 && aNow - aEntry.lastActivityAt > limit;
}

bool UpstreamTable::IsSuspected(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  const bool isConfirmedHere = aNow - aEntry.lastReceivedAt <= mSettings.confirmationLifetime;
  return aEntry.remoteObservations.suspectingHosts > aEntry.remoteObservations.confirmingHosts &&
         !isConfirmedHere;
}

bool UpstreamTable::CanBeProbed(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  // A single hanging request says little about an upstream that other hosts confirm.
  const bool isConfirmed =
    aEntry.remoteObservations.confirmingHosts > aEntry.remoteObservations.suspectingHosts;
  if (aEntry.probesSent == 0) {
    return isConfirmed ||
           aNow - aEntry.lastActivityAt > mSettings.engineSilenceTimeout + mSettings.probeInterval;
  }
  return aNow >= aEntry.nextProbeAt;
}

UpstreamTable::FailureSum UpstreamTable::SumFailures(const ServiceUpstreams& aService,
                                                     const core::RegionSet* aRegions) const
{
  if (!aRegions) {
    return { .ratios = aService.failureRatioSum, .upstreams = aService.upstreamCount };
  }
  // Upstreams outside are no alternative to one that fails more often than they do.
  FailureSum sum;
  for (const UpstreamEntry* it : aService.entries) {
    if (IsAllowed(*it, aRegions)) {
      sum.ratios += FailureRatio(*it);
      ++sum.upstreams;
    }
  }
  return sum;
}

bool UpstreamTable::IsUsable(const UpstreamEntry& aEntry, const FailureSum& aFailures,
                             Urgency aUrgency, core::Instant aNow) const
{
  if (!HasFreeSlot(aEntry, aUrgency)) {
    return false;
  }
  if (IsSilent(aEntry, aNow)) {
    return CanBeProbed(aEntry, aNow);
  }
  // An upstream that this host itself could not reach has already served its ejection.
  if (IsSuspected(aEntry, aNow) && !aEntry.unreachable && aNow < aEntry.nextProbeAt) {
    return false;
  }
  const double failureRatio = FailureRatio(aEntry);
  const double meanOfOthers =
    aFailures.upstreams > 1
      ? (aFailures.ratios - failureRatio) / static_cast<double>(aFailures.upstreams - 1)
      : failureRatio;
  return failureRatio <= meanOfOthers + mSettings.maxExcessFailureRatio || aEntry.onProbation;
}

core::Duration UpstreamTable::PredictIdleFirstEventLatency(const RequestSpec& aSpec) const
{
  if (!aSpec.needsEngine) {
    return mSettings.plainServiceTime;
  }
  return mSettings.baseFirstEventLatency +
         core::FromMilliseconds(static_cast<double>(aSpec.promptTokens.value) /
                                mSettings.promptTokensPerMs);
}

core::Duration UpstreamTable::PredictFirstEventLatency(const UpstreamEntry& aEntry,
                                                       const RequestSpec& aSpec) const
{
  return core::Scaled(PredictNominalFirstEventLatency(aEntry, aSpec), FirstEventFactor(aEntry));
}

core::Duration UpstreamTable::PredictNominalFirstEventLatency(const UpstreamEntry& aEntry,
                                                              const RequestSpec& aSpec) const
{
  if (!aSpec.needsEngine) {
    const double slots = std::max(1U, aEntry.upstream.slots);
    const double ahead = std::max(0.0, aEntry.InFlight() + 1 - slots) / slots;
    return core::FromMilliseconds(core::Milliseconds(mSettings.plainServiceTime) * (1 + ahead));
  }
  const auto prompt = static_cast<double>(aEntry.localPromptTokens + aEntry.remotePromptTokens +
                                          aSpec.promptTokens.value);
  return mSettings.baseFirstEventLatency +
         core::FromMilliseconds(prompt / mSettings.promptTokensPerMs);
}

double UpstreamTable::Score(const UpstreamEntry& aEntry, const RequestSpec& aSpec)
{
  double score = core::Milliseconds(PredictFirstEventLatency(aEntry, aSpec));
  if (aSpec.needsEngine) {
    const double intervalMs = TokenIntervalMs(aEntry);
    const double fill =
      static_cast<double>(aEntry.InFlight()) / std::max(1U, aEntry.upstream.slots);
    const double tokens = static_cast<double>(aSpec.maxOutputTokens.value) * kExpectedOutputRatio;
    score += mSettings.streamDurationWeight * tokens * intervalMs * (1 + fill);
  }
  score += FailureRatio(aEntry) * core::Milliseconds(mSettings.failurePenalty);
  if (aEntry.upstream.dataCentre != mDataCentre) {
    score += core::Milliseconds(mSettings.otherDataCentrePenalty);
  }
  return score * (1 + mSettings.scoreJitter * mRandom.Uniform());
}

void UpstreamTable::RecordDispatch(UpstreamEntry& aEntry, const RequestSpec& aSpec,
                                   core::Instant aNow)
{
  if (IsSilent(aEntry, aNow)) {
    aEntry.nextProbeAt =
      aNow + mSettings.probeInterval * (1U << std::min(aEntry.probesSent, kMaxBackoffDoublings));
    ++aEntry.probesSent;
  } else if (IsSuspected(aEntry, aNow)) {
    aEntry.nextProbeAt = NextSuspectProbe(aNow);
  }
  if (aEntry.localInFlight == 0) {
    aEntry.lastActivityAt = aNow;
  }
  ++aEntry.localInFlight;
  if (aEntry.recentlyFreedSlots > 0) {
    --aEntry.recentlyFreedSlots;
  }
  aEntry.localPromptTokens += aSpec.promptTokens.value;
}

void UpstreamTable::RecordFirstEvent(UpstreamEntry& aEntry, const RequestSpec& aSpec,
                                     core::Duration aLatency, core::Duration aPredicted,
                                     core::Instant aNow)
{
  RecordActivity(aEntry, aNow);
  aEntry.localPromptTokens -= aSpec.promptTokens.value;
  DecayTo(aEntry, aNow);
  const double factor =
    core::Milliseconds(aLatency) / std::max(1.0, core::Milliseconds(aPredicted));
  aEntry.localObservations.firstEventCount += 1;
  aEntry.localObservations.firstEventFactorSum +=
    std::clamp(factor, mSettings.minFirstEventFactor, mSettings.maxFirstEventFactor);
}

void UpstreamTable::RecordTokenInterval(UpstreamEntry& aEntry, double aTokenIntervalMs,
                                        core::Instant aNow)
{
  DecayTo(aEntry, aNow);
  aEntry.localObservations.tokenIntervalCount += 1;
  aEntry.localObservations.tokenIntervalSumMs += aTokenIntervalMs;
}

void UpstreamTable::Eject(UpstreamEntry& aEntry, core::Duration aDuration, core::Instant aNow)
{
  ++aEntry.consecutiveFailures;
  EjectUntil(aEntry, aNow + std::min(aDuration, mSettings.maxEjection));
  aEntry.onProbation = true;
}

void UpstreamTable::EjectUntil(UpstreamEntry& aEntry, core::Instant aEnd)
{
  aEntry.ejectedUntil = std::max(aEntry.ejectedUntil, aEnd);
  mLatestEjectionEnd = std::max(mLatestEjectionEnd, aEnd);
}

void UpstreamTable::RecordAttemptEnd(UpstreamEntry& aEntry, const RequestSpec& aSpec,
                                     AttemptOutcome aOutcome, bool aHasFirstEvent,
                                     core::Instant aNow)
{
  if (aEntry.localInFlight > 0) {
    --aEntry.localInFlight;
  }
  if (!HasNotRun(aOutcome)) {
    aEntry.recentlyFreedSlots =
      aNow - aEntry.lastFreedAt <= mSettings.freedSlotLifetime ? aEntry.recentlyFreedSlots + 1 : 1;
    aEntry.lastFreedAt = aNow;
  }
  if (!aHasFirstEvent) {
    aEntry.localPromptTokens -= aSpec.promptTokens.value;
  }
  const auto recordResult = [&](double aFailed) {
    DecayTo(aEntry, aNow);
    aEntry.localObservations.attemptCount += 1;
    aEntry.localObservations.failureCount += aFailed;
  };
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::RejectedInput:
      RecordActivity(aEntry, aNow);
      aEntry.consecutiveFailures = 0;
      aEntry.onProbation = aEntry.onProbation && aNow < aEntry.quietUntil;
      recordResult(0);
      break;
    case AttemptOutcome::Refused:
      RecordActivity(aEntry, aNow);
      EjectUntil(aEntry, aNow + mSettings.refusalEjection);
      break;
    case AttemptOutcome::Unreachable:
      aEntry.unreachable = true;
      Eject(aEntry,
            mSettings.connectFailureEjection *
              (1U << std::min(aEntry.consecutiveFailures, kMaxBackoffDoublings)),
            aNow);
      break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::BrokenOff:
      recordResult(1);
      ++aEntry.consecutiveFailures;
      if (aEntry.consecutiveFailures > 2) {
        Eject(aEntry, mSettings.failureEjection, aNow);
      }
      break;
    case AttemptOutcome::Cancelled:
      break;
  }
  if (!aEntry.acceptsNewWork && aEntry.localInFlight == 0) {
    mEntries.erase(aEntry.upstream.id);
  }
}

void UpstreamTable::SetRemoteLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                                  std::int64_t aPromptTokens, core::Instant aNow)
{
  UpstreamEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  entry->remotePromptTokens = aPromptTokens;
  if (aNow - entry->loadReportedAt < mSettings.loadReportLifetime) {
    return;
  }
  entry->remoteInFlight = aRequests;
  entry->remoteReceivedAt = aNow;
}

void UpstreamTable::SetReportedLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                                    core::Instant aNow)
{
  UpstreamEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  entry->loadReportedAt = aNow;
  entry->remoteReceivedAt = aNow;
  entry->remoteInFlight = aRequests > entry->localInFlight ? aRequests - entry->localInFlight : 0;
}

} // namespace cuminfield::request::placement
