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

/// How long this host's responses in slow start are reported after its end: three times the time
/// constant of their decay.
constexpr core::Duration kPacedAnswerLifetime = std::chrono::seconds(9);

} // namespace

UpstreamTable::UpstreamTable(const UpstreamTableSettings& aSettings, core::DataCentreId aDataCentre,
                             core::Random& aRandom)
  : mSettings(aSettings)
  , mNotices(aSettings.notices)
  , mPacer(aSettings.pacer)
  , mDataCentre(std::move(aDataCentre))
  , mRandom(aRandom)
{
}

void UpstreamTable::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream, core::Instant aNow)
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
  mPacer.OnAppeared(aUpstream, aNow);
  entry.isPaced = true;
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

void UpstreamTable::SetPacedServices(std::map<core::ServiceId, PacedService> aServices)
{
  mPacer.SetServices(std::move(aServices));
  for (auto& [id, entry] : mEntries) {
    entry.isPaced = true;
  }
}

void UpstreamTable::RecordColdTime(const core::UpstreamId& aUpstream,
                                   core::Incarnation aIncarnation, std::uint64_t aSequence,
                                   core::Duration aLeft, core::Instant aNow)
{
  const bool counts = mPacer.OnColdTime(aUpstream, aIncarnation, aSequence, aLeft, aNow);
  UpstreamEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  entry->isPaced = true;
  if (counts && entry->upstream.incarnation == aIncarnation &&
      mPacer.IsPacedService(entry->upstream.service)) {
    // Most hosts may not send it a request by which they would see that it is back, and would
    // suspect it for good.
    entry->unreachable = false;
  }
}

void UpstreamTable::RecordColdTimeInResponse(const core::UpstreamId& aUpstream,
                                             core::Incarnation aIncarnation, core::Duration aLeft,
                                             core::Instant aSentAt, core::Instant aNow)
{
  mPacer.OnColdTimeInResponse(aUpstream, aIncarnation, aLeft, aSentAt, aNow);
  if (UpstreamEntry* entry = Find(aUpstream)) {
    entry->isPaced = true;
  }
}

void UpstreamTable::RecordOutOfReach(const core::UpstreamId& aUpstream,
                                     core::Incarnation aIncarnation, core::Instant aNow)
{
  UpstreamEntry* entry = Find(aUpstream);
  if (entry && entry->upstream.incarnation == aIncarnation) {
    NoticeOutOfReach(*entry, aNow);
  }
}

void UpstreamTable::ReleaseUpstreams(const std::vector<core::UpstreamId>& aUpstreams,
                                     core::Instant aNow)
{
  for (const core::UpstreamId& it : aUpstreams) {
    if (UpstreamEntry* entry = Find(it)) {
      mPacer.OnReleased(it, entry->upstream.incarnation, aNow);
      entry->isPaced = true;
    }
  }
}

void UpstreamTable::NoticeOutOfReach(UpstreamEntry& aEntry, core::Instant aNow)
{
  mPacer.OnReturned(aEntry.upstream.id, aEntry.upstream.incarnation, aNow);
  aEntry.isPaced = true;
}

bool UpstreamTable::MaySend(UpstreamEntry& aEntry, core::Instant aNow)
{
  if (!aEntry.isPaced) {
    return true;
  }
  const auto verdict = mPacer.Check(aEntry.upstream.id, aEntry.localInFlight, aNow);
  aEntry.isPaced = verdict != UpstreamPacer::Verdict::Unpaced;
  aEntry.lastPacedAt = aNow;
  return verdict != UpstreamPacer::Verdict::Denied;
}

UpstreamPacer::AnswerSums UpstreamTable::LocalPacedAnswers(const UpstreamEntry& aEntry,
                                                           core::Instant aNow) const
{
  // The sums fade after the end, as other hosts may still be in slow start.
  const bool hasFaded = !aEntry.isPaced && aNow - aEntry.lastPacedAt > kPacedAnswerLifetime;
  return hasFaded ? UpstreamPacer::AnswerSums{} : mPacer.LocalAnswers(aEntry.upstream.id, aNow);
}

void UpstreamTable::SetRemotePacedAnswers(const core::UpstreamId& aUpstream, double aGood,
                                          double aBad, core::Instant aNow)
{
  const UpstreamEntry* entry = Find(aUpstream);
  if (entry && entry->isPaced) {
    mPacer.SetRemoteAnswers(aUpstream, aGood, aBad, aNow);
  }
}

void UpstreamTable::RecordPacedAnswer(UpstreamEntry& aEntry, core::Duration aLatency,
                                      core::Duration aPredicted, core::Instant aNow)
{
  if (!mPacer.IsPacedService(aEntry.upstream.service)) {
    return;
  }
  double& typical = mTypicalFactors.try_emplace(aEntry.upstream.service, 1.0).first->second;
  const double expectedFactor = std::max(typical, FirstEventFactor(aEntry));
  const double factor =
    core::Milliseconds(aLatency) / std::max(1.0, core::Milliseconds(aPredicted));
  typical += mSettings.typicalFactorLearningRate *
             (std::clamp(factor, 1.0, mSettings.maxFirstEventFactor) - typical);
  const bool isSlow = factor > mSettings.slowStartLatencyFactor * expectedFactor &&
                      aLatency > mSettings.slowStartMinLatency;
  if (aEntry.isPaced) {
    mPacer.OnAnswer(aEntry.upstream.id, !isSlow, aNow);
  }
}

void UpstreamTable::RemoveUpstream(const core::UpstreamId& aUpstream, core::Instant aNow)
{
  const auto it = mEntries.find(aUpstream);
  if (it == mEntries.end()) {
    return;
  }
  mPacer.OnRemoved(aUpstream, aNow);
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
    RemoveUpstream(aUpstream, aNow);
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
    if (!isMatch || !passesFilter || !IsUsable(*entry, failures, aUrgency, aNow) ||
        !MaySend(*entry, aNow)) {
      continue;
    }
    if (entry->upstream.id == aSpec.avoidUpstream) {
      avoided = entry;
      continue;
    }
    mCandidates.push_back({ .entry = entry,
                            .weight = SampleWeight(*entry, aUrgency, aNow) *
                                      (entry->isPaced ? mSettings.slowStartWeight : 1) });
  }
  UpstreamEntry* best = ChooseFromSample(aSpec, aNow);
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

UpstreamTable::PlainRoom UpstreamTable::FindPlainRoom(const core::ServiceId& aService,
                                                      core::Instant aNow)
{
  PlainRoom room;
  for (const UpstreamEntry* entry : UpstreamsOf(aService, aNow).entries) {
    if (entry->upstream.isEngine || !entry->speed.IsKnown() || !IsOpen(*entry, aNow) ||
        IsSilent(*entry, aNow) || IsSuspected(*entry, aNow)) {
      continue;
    }
    const double limit = SlotLimit(*entry, Urgency::Normal);
    room.limit += limit;
    room.free += std::max(0.0, limit - entry->InFlight());
  }
  return room;
}

double UpstreamTable::SampleWeight(const UpstreamEntry& aEntry, Urgency aUrgency,
                                   core::Instant aNow) const
{
  const bool isNear = aEntry.upstream.dataCentre == mDataCentre;
  const double weight = FreeSlots(aEntry, aUrgency) * (isNear ? mSettings.sameDataCentreWeight : 1);
  // Few upstreams of a plain service are compared, so most of the choice is made here. It stays
  // random, as all hosts have the same figures; in full proportion to the speed, they overfill the
  // fast ones.
  return aEntry.upstream.isEngine ? weight : weight / std::sqrt(FirstEventCorrection(aEntry, aNow));
}

UpstreamEntry* UpstreamTable::ChooseFromSample(const RequestSpec& aSpec, core::Instant aNow)
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
    const double score = Score(*candidate->entry, aSpec, aNow);
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

UpstreamObservations UpstreamTable::LocalObservations(UpstreamEntry& aEntry, core::Instant aNow)
{
  DecayTo(aEntry, aNow);
  UpstreamObservations observations = aEntry.localObservations;
  const bool isSilent = IsSilent(aEntry, aNow);
  // A single hanging request says little about an upstream that other hosts confirm.
  if (isSilent &&
      aEntry.remoteObservations.confirmingHosts <= aEntry.remoteObservations.suspectingHosts) {
    NoticeOutOfReach(aEntry, aNow);
  }
  observations.suspectingHosts = aEntry.unreachable || isSilent ? 1 : 0;
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
  if (entry->isPaced) {
    mPacer.SetConfirmingHosts(aUpstream, aConfirming);
  }
  const bool isSuspected = IsSuspected(*entry, aNow);
  if (isSuspected || wasSuspected) {
    mPacer.SetSuspected(aUpstream, isSuspected, aNow);
    entry->isPaced = true;
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
                                                       const RequestSpec& aSpec,
                                                       core::Instant aNow) const
{
  return core::Scaled(PredictNominalFirstEventLatency(aEntry, aSpec),
                      FirstEventFactor(aEntry) * FirstEventCorrection(aEntry, aNow));
}

double UpstreamTable::FirstEventCorrection(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  return aEntry.speed.Correction(aEntry.localObservations.firstEventCount +
                                   aEntry.remoteObservations.firstEventCount,
                                 mSettings.speedPriorWeight, aNow, mSettings.speed);
}

double UpstreamTable::CurrentTokenIntervalMs(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  return TokenIntervalMs(aEntry) *
         aEntry.speed.Correction(aEntry.localObservations.tokenIntervalCount +
                                   aEntry.remoteObservations.tokenIntervalCount,
                                 mSettings.speedPriorWeight, aNow, mSettings.speed);
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

double UpstreamTable::Score(const UpstreamEntry& aEntry, const RequestSpec& aSpec,
                            core::Instant aNow)
{
  double score = core::Milliseconds(PredictFirstEventLatency(aEntry, aSpec, aNow));
  if (aSpec.needsEngine) {
    const double intervalMs = TokenIntervalMs(aEntry);
    const double fill =
      static_cast<double>(aEntry.InFlight()) / std::max(1U, aEntry.upstream.slots);
    const double tokens = static_cast<double>(aSpec.maxOutputTokens.value) * kExpectedOutputRatio;
    const double streamMs = tokens * intervalMs;
    // Streams outlast the current speed.
    const double currentMs = std::min(streamMs, core::Milliseconds(mSettings.speedHorizon));
    const double correction = CurrentTokenIntervalMs(aEntry, aNow) / intervalMs;
    score +=
      mSettings.streamDurationWeight * (streamMs + currentMs * (correction - 1)) * (1 + fill);
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
  mPacer.RecordSend(aEntry.upstream.id, aNow);
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
  RecordPacedAnswer(aEntry, aLatency, aPredicted, aNow);
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
      NoticeOutOfReach(aEntry, aNow);
      Eject(aEntry,
            mSettings.connectFailureEjection *
              (1U << std::min(aEntry.consecutiveFailures, kMaxBackoffDoublings)),
            aNow);
      break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::BrokenOff:
      recordResult(1);
      if (aEntry.isPaced) {
        mPacer.OnAnswer(aEntry.upstream.id, false, aNow);
      }
      ++aEntry.consecutiveFailures;
      if (aEntry.consecutiveFailures > 2) {
        Eject(aEntry, mSettings.failureEjection, aNow);
        if (aOutcome == AttemptOutcome::BrokenOff) {
          NoticeOutOfReach(aEntry, aNow); // One after the other broke off: it may have restarted.
        }
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
  const bool isPlainWithSpeed = !entry->upstream.isEngine && entry->speed.IsKnown();
  const core::Duration lifetime =
    isPlainWithSpeed ? mSettings.plainLoadReportLifetime : mSettings.loadReportLifetime;
  if (aNow - entry->loadReportedAt < lifetime) {
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

void UpstreamTable::SetReportedSpeed(const core::UpstreamId& aUpstream, std::uint32_t aPercent,
                                     core::Instant aNow)
{
  if (UpstreamEntry* entry = Find(aUpstream)) {
    entry->speed.SetReported(aPercent, aNow, mSettings.speed);
  }
}

void UpstreamTable::SetRemoteSpeed(const core::UpstreamId& aUpstream, std::uint64_t aPercentSum,
                                   std::uint32_t aSamples, core::Instant aNow)
{
  if (UpstreamEntry* entry = Find(aUpstream)) {
    entry->speed.SetRemote(aPercentSum, aSamples, aNow, mSettings.speed);
  }
}

std::optional<std::uint32_t> UpstreamTable::TakeSpeedReport(UpstreamEntry& aEntry,
                                                            core::Instant aNow) const
{
  return aEntry.speed.TakeReport(aNow, mSettings.speed);
}

std::size_t UpstreamTable::CountSpeedsKnown() const
{
  return static_cast<std::size_t>(
    std::count_if(mEntries.begin(), mEntries.end(), [](const auto& aItem) {
      return aItem.second.acceptsNewWork && aItem.second.speed.IsKnown();
    }));
}

} // namespace cuminfield::request::placement
