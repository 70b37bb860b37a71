#include "cuminfield/request/placement/UpstreamTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::placement {

namespace {

/// Tokens of an answer that are expected where its bound is not reached.
constexpr double kExpectedOutputRatio = 0.7;

/// What is compared over all upstreams of a service is summed up this often.
constexpr core::Duration kServiceSumsMaxAge = std::chrono::milliseconds(20);

/// Weight of an upstream in a draw that is full by the figures at hand.
constexpr double kMinSampleWeight = 0.25;

/// Pauses double this many times.
constexpr std::uint32_t kMaxBackoffDoublings = 4;

} // namespace

UpstreamTable::UpstreamTable(const UpstreamTableSettings& aSettings, core::DataCentreId aDataCentre,
                             core::Random& aRandom)
  : mSettings(aSettings)
  , mDataCentre(std::move(aDataCentre))
  , mRandom(aRandom)
{
}

void UpstreamTable::AddOrUpdateUpstream(const UpstreamAnnouncement& aUpstream)
{
  UpstreamEntry& entry = mEntries[aUpstream.id];
  if (entry.upstream.incarnation != aUpstream.incarnation) {
    // What was learned of an earlier life does not hold for this one; requests that are still in
    // flight there end by themselves.
    const std::uint32_t own = entry.localInFlight;
    const std::int64_t ownPrompt = entry.localPromptTokens;
    entry = UpstreamEntry();
    entry.localInFlight = own;
    entry.localPromptTokens = ownPrompt;
  }
  const bool moved = entry.upstream.service != aUpstream.service || !entry.acceptsNewWork;
  entry.upstream = aUpstream;
  entry.acceptsNewWork = true;
  if (moved) {
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
  ServiceUpstreams& board = mServices[aService];
  if (board.upstreamCount != board.entries.size() || aNow - board.summedAt >= kServiceSumsMaxAge) {
    board.upstreamCount = board.entries.size();
    board.summedAt = aNow;
    board.failureRatioSum = 0;
    for (const UpstreamEntry* it : board.entries) {
      board.failureRatioSum += FailureRatio(*it);
    }
  }
  return board;
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

UpstreamEntry* UpstreamTable::Find(const core::UpstreamId& aUpstream)
{
  const auto it = mEntries.find(aUpstream);
  return it == mEntries.end() ? nullptr : &it->second;
}

bool UpstreamTable::HasUpstream(const core::ServiceId& aService,
                                const core::VersionId& aVersion) const
{
  const auto it = mServices.find(aService);
  return it != mServices.end() &&
         std::any_of(it->second.entries.begin(), it->second.entries.end(), [&](const auto* aEntry) {
           return aVersion.Empty() || aEntry->upstream.version == aVersion;
         });
}

UpstreamEntry* UpstreamTable::Choose(const RequestSpec& aSpec, const core::VersionId& aVersion,
                                     Urgency aPressure, SlotFilter aFree, core::Instant aNow)
{
  ServiceUpstreams& service = UpstreamsOf(aSpec.service, aNow);
  const auto serves = [&](const UpstreamEntry& aEntry) {
    return aNow >= aEntry.ejectedUntil && (aVersion.Empty() || aEntry.upstream.version == aVersion);
  };
  // An answer that no upstream can give in time, idle or not, goes to whichever is best.
  const bool suitable =
    std::any_of(service.entries.begin(), service.entries.end(), [&](const UpstreamEntry* aEntry) {
      return serves(*aEntry) && IsSuitable(*aEntry, aSpec, aNow);
    });
  UpstreamEntry* avoided = nullptr;
  mCandidates.clear();
  for (UpstreamEntry* entry : service.entries) {
    const bool fits = serves(*entry) && (!suitable || IsSuitable(*entry, aSpec, aNow));
    const bool counts = aFree == SlotFilter::Any || HasFreedSlot(*entry, aNow);
    if (!fits || !counts || !IsUsable(*entry, service, aPressure, aNow)) {
      continue;
    }
    if (entry->upstream.id == aSpec.avoidUpstream) {
      avoided = entry;
      continue;
    }
    const bool near = entry->upstream.dataCentre == mDataCentre;
    mCandidates.push_back(
      { .entry = entry,
        .weight = FreeSlots(*entry, aPressure) * (near ? mSettings.sameDataCentreWeight : 1) });
  }
  UpstreamEntry* best = ChooseFromSample(aSpec);
  return best ? best : avoided;
}

double UpstreamTable::RemoteInFlight(const core::ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  double others = 0;
  if (it != mServices.end()) {
    for (const UpstreamEntry* entry : it->second.entries) {
      others += entry->remoteInFlight;
    }
  }
  return others;
}

bool UpstreamTable::HasFreedSlot(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  return aEntry.recentlyFreedSlots > 0 && aNow - aEntry.lastFreedAt <= mSettings.freedSlotLifetime;
}

double UpstreamTable::FreeEngineSlots(const core::ServiceId& aService, core::Instant aNow)
{
  double free = 0;
  for (const UpstreamEntry* entry : UpstreamsOf(aService, aNow).entries) {
    const bool usable = entry->upstream.isEngine && aNow >= entry->ejectedUntil &&
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
  const std::size_t compared = std::min(mSettings.sampleSize, mCandidates.size());
  for (std::size_t n = 0; n < compared; ++n) {
    double point = total * mRandom.Uniform();
    auto drawn = mCandidates.begin();
    while (drawn + 1 != mCandidates.end() && point >= drawn->weight) {
      point -= drawn->weight;
      ++drawn;
    }
    const double score = Score(*drawn->entry, aSpec);
    if (!best || score < bestScore) {
      best = drawn->entry;
      bestScore = score;
    }
    total -= drawn->weight;
    *drawn = mCandidates.back();
    mCandidates.pop_back();
  }
  return best;
}

double UpstreamTable::FreeSlots(const UpstreamEntry& aEntry, Urgency aPressure) const
{
  return std::max(kMinSampleWeight, SlotLimit(aEntry, aPressure) - aEntry.InFlight());
}

double UpstreamTable::SlotLimit(const UpstreamEntry& aEntry, Urgency aPressure) const
{
  const double slots = aEntry.upstream.slots;
  if (!aEntry.upstream.isEngine) {
    return slots * (1 + mSettings.plainQueueFactor);
  }
  switch (aPressure) {
    case Urgency::Top:
      return slots * mSettings.topFillFactor;
    case Urgency::Normal:
      return std::max(1.0, slots * mSettings.normalFillFactor);
    case Urgency::Late:
      return std::max(1.0, slots * mSettings.lateFillFactor);
  }
  return slots;
}

double UpstreamTable::SuitableEngineSlots(const RequestSpec& aSpec, core::Instant aNow)
{
  double all = 0;
  double suitable = 0;
  for (const UpstreamEntry* entry : UpstreamsOf(aSpec.service, aNow).entries) {
    const bool usable = entry->upstream.isEngine && !entry->unreachable &&
                        !IsSilent(*entry, aNow) && !IsSuspected(*entry, aNow);
    const double slots = usable ? entry->upstream.slots : 0;
    all += slots;
    suitable += IsSuitable(*entry, aSpec, aNow) ? slots : 0;
  }
  return suitable > 0 ? suitable : all;
}

bool UpstreamTable::HasFreeSlot(const UpstreamEntry& aEntry, Urgency aPressure) const
{
  if (aEntry.onProbation && aEntry.localInFlight > 0) {
    return false;
  }
  if (!aEntry.upstream.isEngine) {
    return aEntry.InFlight() < SlotLimit(aEntry, aPressure);
  }
  return aEntry.InFlight() + 1 <= SlotLimit(aEntry, aPressure);
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
  const core::Duration passed = aNow - aEntry.decayedAt;
  aEntry.localObservations.Decay(
    std::exp(-core::Seconds(passed) / core::Seconds(mSettings.observationDecayTime)));
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
  UpstreamObservations opinion = aEntry.localObservations;
  opinion.suspectingHosts = aEntry.unreachable || IsSilent(aEntry, aNow) ? 1 : 0;
  opinion.confirmingHosts = aNow - aEntry.lastReceivedAt <= mSettings.confirmationLifetime ? 1 : 0;
  return opinion;
}

void UpstreamTable::SetRemoteReachability(const core::UpstreamId& aUpstream,
                                          std::uint32_t aDoubting, std::uint32_t aTrusting,
                                          core::Instant aNow)
{
  UpstreamEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  const bool doubted =
    entry->remoteObservations.suspectingHosts > entry->remoteObservations.confirmingHosts;
  entry->remoteObservations.suspectingHosts = aDoubting;
  entry->remoteObservations.confirmingHosts = aTrusting;
  if (!doubted && aDoubting > aTrusting) {
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
  const double tokenMs = TokenIntervalMs(aEntry);
  const double answerMs = static_cast<double>(aSpec.maxOutputTokens.value) * tokenMs;
  if (answerMs > core::Milliseconds(aSpec.deadline - aNow) * mSettings.remainingTimeShare) {
    return false;
  }
  if (aSpec.tokenGapTarget.count() == 0) {
    return true;
  }
  // An engine that takes longer for a token takes longer for a prompt in the same measure. Its
  // times to the first event do not show that: they include waits in its queue.
  const double slowness = tokenMs / mSettings.tokenIntervalMs;
  // While the engine reads this prompt, the answers beside it pause for a chunk at each token.
  const double chunks = std::min(static_cast<double>(aSpec.promptTokens.value),
                                 mSettings.prefillChunkTokens * aSpec.tokensPerEvent);
  const double pause =
    tokenMs * aSpec.tokensPerEvent + chunks * slowness / mSettings.promptTokensPerMs;
  return pause <= core::Milliseconds(aSpec.tokenGapTarget) * mSettings.tokenGapTargetShare;
}

bool UpstreamTable::IsSilent(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  const core::Duration limit =
    aEntry.upstream.isEngine ? mSettings.engineSilenceTimeout : mSettings.plainSilenceTimeout;
  return aEntry.localInFlight > 0 && aNow - aEntry.lastActivityAt > limit;
}

bool UpstreamTable::IsSuspected(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  const bool heardHere = aNow - aEntry.lastReceivedAt <= mSettings.confirmationLifetime;
  return aEntry.remoteObservations.suspectingHosts > aEntry.remoteObservations.confirmingHosts &&
         !heardHere;
}

bool UpstreamTable::CanBeProbed(const UpstreamEntry& aEntry, core::Instant aNow) const
{
  // One request that hangs says little about an upstream that others hear from.
  const bool trusted =
    aEntry.remoteObservations.confirmingHosts > aEntry.remoteObservations.suspectingHosts;
  if (aEntry.probesSent == 0) {
    return trusted ||
           aNow - aEntry.lastActivityAt > mSettings.engineSilenceTimeout + mSettings.probeInterval;
  }
  return aNow >= aEntry.nextProbeAt;
}

bool UpstreamTable::IsUsable(const UpstreamEntry& aEntry, const ServiceUpstreams& aService,
                             Urgency aPressure, core::Instant aNow) const
{
  if (!HasFreeSlot(aEntry, aPressure)) {
    return false;
  }
  if (IsSilent(aEntry, aNow)) {
    return CanBeProbed(aEntry, aNow);
  }
  // One that this host could not reach itself has had its pause.
  if (IsSuspected(aEntry, aNow) && !aEntry.unreachable && aNow < aEntry.nextProbeAt) {
    return false;
  }
  const double share = FailureRatio(aEntry);
  const double rest = aService.upstreamCount > 1 ? (aService.failureRatioSum - share) /
                                                     static_cast<double>(aService.upstreamCount - 1)
                                                 : share;
  return share <= rest + mSettings.maxExcessFailureRatio || aEntry.onProbation;
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
    const double tokenMs = TokenIntervalMs(aEntry);
    const double fill =
      static_cast<double>(aEntry.InFlight()) / std::max(1U, aEntry.upstream.slots);
    const double tokens = static_cast<double>(aSpec.maxOutputTokens.value) * kExpectedOutputRatio;
    score += mSettings.streamDurationWeight * tokens * tokenMs * (1 + fill);
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
                                     core::Duration aTook, core::Duration aPredicted,
                                     core::Instant aNow)
{
  RecordActivity(aEntry, aNow);
  aEntry.localPromptTokens -= aSpec.promptTokens.value;
  DecayTo(aEntry, aNow);
  const double factor = core::Milliseconds(aTook) / std::max(1.0, core::Milliseconds(aPredicted));
  aEntry.localObservations.firstEventCount += 1;
  aEntry.localObservations.firstEventFactorSum +=
    std::clamp(factor, mSettings.minFirstEventFactor, mSettings.maxFirstEventFactor);
}

void UpstreamTable::RecordTokenInterval(UpstreamEntry& aEntry, double aTokenMs, core::Instant aNow)
{
  DecayTo(aEntry, aNow);
  aEntry.localObservations.tokenIntervalCount += 1;
  aEntry.localObservations.tokenIntervalSumMs += aTokenMs;
}

void UpstreamTable::Eject(UpstreamEntry& aEntry, core::Duration aPause, core::Instant aNow) const
{
  ++aEntry.consecutiveFailures;
  const core::Duration pause = std::min(aPause, mSettings.maxEjection);
  aEntry.ejectedUntil = std::max(aEntry.ejectedUntil, aNow + pause);
  aEntry.onProbation = true;
}

void UpstreamTable::RecordAttemptEnd(UpstreamEntry& aEntry, const RequestSpec& aSpec,
                                     AttemptOutcome aOutcome, bool aBegan, core::Instant aNow)
{
  if (aEntry.localInFlight > 0) {
    --aEntry.localInFlight;
  }
  if (!HasNotRun(aOutcome)) {
    aEntry.recentlyFreedSlots =
      aNow - aEntry.lastFreedAt <= mSettings.freedSlotLifetime ? aEntry.recentlyFreedSlots + 1 : 1;
    aEntry.lastFreedAt = aNow;
  }
  if (!aBegan) {
    aEntry.localPromptTokens -= aSpec.promptTokens.value;
  }
  const auto learnFailure = [&](double aFailed) {
    DecayTo(aEntry, aNow);
    aEntry.localObservations.attemptCount += 1;
    aEntry.localObservations.failureCount += aFailed;
  };
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::RejectedInput:
      RecordActivity(aEntry, aNow);
      aEntry.consecutiveFailures = 0;
      aEntry.onProbation = false;
      learnFailure(0);
      break;
    case AttemptOutcome::Refused:
      RecordActivity(aEntry, aNow);
      aEntry.ejectedUntil = std::max(aEntry.ejectedUntil, aNow + mSettings.refusalEjection);
      break;
    case AttemptOutcome::Unreachable:
      aEntry.unreachable = true;
      Eject(aEntry,
            mSettings.connectFailureEjection *
              (1U << std::min(aEntry.consecutiveFailures, kMaxBackoffDoublings)),
            aNow);
      break;
    case AttemptOutcome::Failed:
      learnFailure(1);
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
                                  std::int64_t aPrompt, core::Instant aNow)
{
  UpstreamEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  entry->remotePromptTokens = aPrompt;
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
