#include "cuminfield/request/placement/UpstreamPacer.h"

#include "cuminfield/core/Invariant.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::placement {

const char* ToString(PaceReason aReason)
{
  switch (aReason) {
    case PaceReason::Appeared:
      return "appeared";
    case PaceReason::Returned:
      return "out-of-reach";
    case PaceReason::Released:
      return "released";
    case PaceReason::Reported:
      return "cold";
  }
  return "";
}

UpstreamPacer::UpstreamPacer(const UpstreamPacerSettings& aSettings)
  : mSettings(aSettings)
{
}

UpstreamPacer::State* UpstreamPacer::Find(const core::UpstreamId& aUpstream)
{
  const auto it = mUpstreams.find(aUpstream);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

const UpstreamPacer::State* UpstreamPacer::Find(const core::UpstreamId& aUpstream) const
{
  const auto it = mUpstreams.find(aUpstream);
  return it == mUpstreams.end() ? nullptr : &it->second;
}

const PacedService* UpstreamPacer::FindRule(const core::ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? nullptr : &it->second;
}

void UpstreamPacer::SetServices(std::map<core::ServiceId, PacedService> aServices)
{
  mServices = std::move(aServices);
  for (auto& [id, state] : mUpstreams) {
    state.rule = FindRule(state.service);
  }
}

void UpstreamPacer::SetMembers(std::uint32_t aSelf, std::vector<std::uint32_t> aMembers,
                               core::Instant aNow)
{
  if (mMembers.Generation() == 0) {
    mMembersSettledAt = aNow + mSettings.membersSettleTime;
  }
  mMembers.Assign(aSelf, std::move(aMembers));
}

void UpstreamPacer::StartPace(const core::UpstreamId& aUpstream, State& aState, PaceReason aReason,
                              core::Instant aNow)
{
  aState.window.Start(aNow);
  if (!aState.isPaced) {
    aState.isPaced = true;
    aState.pacedSince = aNow;
    if (aState.rule) {
      mOnPaced.emit(aUpstream, aReason);
    }
  }
}

void UpstreamPacer::Doubt(const core::UpstreamId& aUpstream, State& aState, PaceReason aReason,
                          core::Instant aNow)
{
  aState.isFirstSight = aState.isFirstSight && aReason == PaceReason::Appeared;
  aState.isDoubted = true;
  aState.needsMark = true;
  aState.isMarkKnown = false;
  aState.noticedAt = aNow;
  StartPace(aUpstream, aState, aReason, aNow);
}

void UpstreamPacer::Restart(const core::UpstreamId& aUpstream, State& aState,
                            core::Incarnation aIncarnation, core::Instant aNow)
{
  aState.incarnation = aIncarnation;
  aState.coldUntil = core::Instant();
  aState.isUnreadable = false;
  aState.isSuspected = false;
  Doubt(aUpstream, aState, PaceReason::Appeared, aNow);
  // Whatever the new incarnation sends, it sends after its start.
  aState.needsMark = false;
  aState.countsFrom = 0;
}

void UpstreamPacer::OnAppeared(const UpstreamAnnouncement& aUpstream, core::Instant aNow)
{
  const auto [it, isNew] = mUpstreams.try_emplace(aUpstream.id, mSettings.window);
  State& state = it->second;
  const bool isBack = !std::exchange(state.isListed, true);
  state.service = aUpstream.service;
  state.slots = aUpstream.slots;
  state.rule = FindRule(aUpstream.service);
  state.isFirstSight = isNew;
  if (isNew) {
    state.hash = RendezvousSet::HashOf(aUpstream.id.Text());
    state.incarnation = aUpstream.incarnation;
    mIdsByHash[state.hash] = aUpstream.id;
  }
  if (state.incarnation != aUpstream.incarnation) {
    Restart(aUpstream.id, state, aUpstream.incarnation, aNow);
  } else if (isBack) {
    // What the list says may be older than the last failure, of which this host may not know.
    state.isSuspected = false;
    Doubt(aUpstream.id, state, PaceReason::Appeared, aNow);
  }
}

void UpstreamPacer::OnFoundInUse(const core::UpstreamId& aUpstream)
{
  State* state = Find(aUpstream);
  if (state && std::exchange(state->isFirstSight, false)) {
    state->isDoubted = false;
    state->needsMark = false;
    state->window.Stop();
    state->isPaced = false;
  }
}

void UpstreamPacer::OnRemoved(const core::UpstreamId& aUpstream, core::Instant aNow)
{
  if (State* state = Find(aUpstream); state && state->isListed) {
    state->isListed = false;
    state->removedAt = aNow;
  }
  std::erase_if(mUpstreams, [&](const auto& aItem) {
    const State& state = aItem.second;
    const bool isForgotten = !state.isListed && aNow - state.removedAt > mSettings.retention;
    if (isForgotten) {
      mIdsByHash.erase(state.hash);
    }
    return isForgotten;
  });
}

void UpstreamPacer::OnReturned(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                               core::Instant aNow)
{
  State* state = Find(aUpstream);
  if (state && state->incarnation == aIncarnation) {
    Doubt(aUpstream, *state, PaceReason::Returned, aNow);
  }
}

void UpstreamPacer::OnReleased(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                               core::Instant aNow)
{
  State* state = Find(aUpstream);
  if (state && state->incarnation == aIncarnation) {
    Doubt(aUpstream, *state, PaceReason::Released, aNow);
  }
}

void UpstreamPacer::SetSuspected(const core::UpstreamId& aUpstream, bool aIsSuspected,
                                 core::Instant aNow)
{
  State* state = Find(aUpstream);
  if (!state || std::exchange(state->isSuspected, aIsSuspected) == aIsSuspected) {
    return;
  }
  // At both ends: a heartbeat that was on its way when the suspicion began says nothing about the
  // state in which the upstream returned.
  Doubt(aUpstream, *state, PaceReason::Returned, aNow);
}

bool UpstreamPacer::IsMarkOpen(const State& aState, core::Instant aNow) const
{
  return aState.needsMark &&
         (!aState.isMarkKnown || aNow - aState.noticedAt < mSettings.noticeWindow);
}

bool UpstreamPacer::OnColdTime(const core::UpstreamId& aUpstream, core::Incarnation aIncarnation,
                               std::uint64_t aSequence, core::Duration aLeft, core::Instant aNow)
{
  State* state = Find(aUpstream);
  if (!state || aIncarnation != state->incarnation) {
    return false; // A newer one is listed before its heartbeats count.
  }
  const bool isNews = aSequence >= state->countsFrom;
  if (IsMarkOpen(*state, aNow)) {
    state->countsFrom = std::max(state->countsFrom, aSequence + 1);
    state->isMarkKnown = true;
    if (isNews && aLeft > core::Duration::zero() && aLeft <= mSettings.maxColdTime) {
      // Taken for true all the same: an upstream that was about to be cold may still be.
      ExtendColdTime(aUpstream, *state, aLeft, aNow);
    }
    return false;
  }
  if (!isNews) {
    return false;
  }
  state->countsFrom = aSequence + 1;
  state->needsMark = false;
  ApplyColdTime(aUpstream, *state, aLeft, aNow);
  return true;
}

void UpstreamPacer::OnColdTimeInResponse(const core::UpstreamId& aUpstream,
                                         core::Incarnation aIncarnation, core::Duration aLeft,
                                         core::Instant aSentAt, core::Instant aNow)
{
  State* state = Find(aUpstream);
  if (!state || state->incarnation != aIncarnation || aSentAt <= state->noticedAt) {
    return; // It may have been sent before what was noticed last.
  }
  ApplyColdTime(aUpstream, *state, aLeft, aNow);
  // Heartbeats that were sent before the response don't count.
  state->needsMark = true;
  state->isMarkKnown = false;
  state->noticedAt = aNow;
}

void UpstreamPacer::ApplyColdTime(const core::UpstreamId& aUpstream, State& aState,
                                  core::Duration aLeft, core::Instant aNow)
{
  const bool wasCold = IsCold(aState, aNow);
  aState.isDoubted = false;
  const bool isUnreadable = aLeft < core::Duration::zero() || aLeft > mSettings.maxColdTime;
  // An upstream that sends nothing else is not cold for good: only the first one counts.
  if (!isUnreadable) {
    aState.coldUntil = aNow + aLeft;
  } else if (!aState.isUnreadable) {
    aState.coldUntil = aNow + (aState.rule ? *aState.rule : PacedService()).coldStart;
  }
  aState.isUnreadable = isUnreadable;
  if (!wasCold && IsCold(aState, aNow)) {
    StartPace(aUpstream, aState, PaceReason::Reported, aNow);
  }
}

void UpstreamPacer::ExtendColdTime(const core::UpstreamId& aUpstream, State& aState,
                                   core::Duration aLeft, core::Instant aNow)
{
  const bool wasCold = IsCold(aState, aNow);
  aState.coldUntil = std::max(aState.coldUntil, aNow + aLeft);
  if (!wasCold) {
    StartPace(aUpstream, aState, PaceReason::Reported, aNow);
  }
}

void UpstreamPacer::OnAnswer(const core::UpstreamId& aUpstream, bool aAsPredicted,
                             core::Instant aNow)
{
  if (State* state = Find(aUpstream)) {
    state->window.Record(aAsPredicted, aNow);
  }
}

void UpstreamPacer::SetRemoteAnswers(const core::UpstreamId& aUpstream, double aGood, double aBad,
                                     core::Instant aNow)
{
  if (State* state = Find(aUpstream)) {
    state->window.SetRemote(aGood, aBad, aNow);
  }
}

void UpstreamPacer::SetConfirmingHosts(const core::UpstreamId& aUpstream, std::uint32_t aHosts)
{
  if (State* state = Find(aUpstream)) {
    state->confirmingHosts = aHosts;
  }
}

bool UpstreamPacer::IsInUseByOthers(const State& aState, core::Instant aNow) const
{
  return aState.confirmingHosts > mSettings.confirmingFactor * std::ceil(aState.window.Size(aNow));
}

UpstreamPacer::AnswerSums UpstreamPacer::LocalAnswers(const core::UpstreamId& aUpstream,
                                                      core::Instant aNow) const
{
  const State* state = Find(aUpstream);
  // After the end of slow start the sums go on to fade: other hosts may still be in it.
  return state && state->rule ? AnswerSums{ .good = state->window.LocalGood(aNow),
                                            .bad = state->window.LocalBad(aNow) }
                              : AnswerSums{};
}

bool UpstreamPacer::IsCold(const State& aState, core::Instant aNow)
{
  return aState.isDoubted || aState.isSuspected || aNow < aState.coldUntil;
}

bool UpstreamPacer::IsColdLimited(const State& aState, core::Instant aNow)
{
  return aState.rule && aState.rule->coldPerSecond > 0 && IsCold(aState, aNow);
}

core::Duration UpstreamPacer::SendInterval(const PacedService& aRule) const
{
  return std::max(mSettings.coldSendInterval,
                  core::Scaled(mSettings.coldSendInterval, 1 / aRule.coldPerSecond));
}

std::size_t UpstreamPacer::ColdSenderCount(const PacedService& aRule) const
{
  // Half of the bound, because each part of a partitioned cluster has its own first hosts.
  const double bound = aRule.coldPerSecond * mSettings.coldOvershoot + mSettings.coldSlack;
  const double senders = std::floor(std::min(aRule.coldPerSecond, bound / 2));
  return static_cast<std::size_t>(std::max(1.0, senders));
}

std::size_t UpstreamPacer::RankOf(State& aState) const
{
  if (aState.rankGeneration != mMembers.Generation()) {
    aState.rankGeneration = mMembers.Generation();
    aState.rank = mMembers.RankOfSelf(aState.hash);
  }
  return aState.rank;
}

bool UpstreamPacer::MaySendCold(State& aState, core::Instant aNow) const
{
  const bool isDue = !aState.lastSentAt || aNow - *aState.lastSentAt >= SendInterval(*aState.rule);
  return isDue && mMembers.ContainsSelf() && aNow >= mMembersSettledAt &&
         RankOf(aState) < ColdSenderCount(*aState.rule);
}

bool UpstreamPacer::MaySendInSlowStart(State& aState, std::uint32_t aLocalInFlight,
                                       core::Instant aNow) const
{
  // A host without a place in the list may still use an upstream that is not cold.
  return mMembers.ContainsSelf()
           ? aLocalInFlight < aState.window.Allowance(RankOf(aState), mMembers.Size(), aNow)
           : aLocalInFlight == 0;
}

UpstreamPacer::Verdict UpstreamPacer::Check(const core::UpstreamId& aUpstream,
                                            std::uint32_t aLocalInFlight, core::Instant aNow)
{
  State* state = Find(aUpstream);
  if (!state) {
    return Verdict::Unpaced;
  }
  const bool isCold = IsColdLimited(*state, aNow);
  state->window.Update(state->slots, IsCold(*state, aNow) ? aNow : state->coldUntil, aNow);
  if (!IsCold(*state, aNow) && IsInUseByOthers(*state, aNow)) {
    state->window.Stop();
  }
  if (!state->rule || (!isCold && !state->window.IsActive())) {
    if (std::exchange(state->isPaced, false) && state->rule) {
      mOnUnpaced.emit(aUpstream, aNow - state->pacedSince);
    }
    return Verdict::Unpaced;
  }
  const bool isAllowed =
    (!isCold || MaySendCold(*state, aNow)) &&
    (!state->window.IsActive() || MaySendInSlowStart(*state, aLocalInFlight, aNow));
  state->isGranted = isAllowed;
  return isAllowed ? Verdict::Allowed : Verdict::Denied;
}

void UpstreamPacer::RecordSend(const core::UpstreamId& aUpstream, core::Instant aNow)
{
  State* state = Find(aUpstream);
  if (!state) {
    return;
  }
  const bool isGranted = std::exchange(state->isGranted, false);
  CUMINFIELD_INVARIANT("pace.cold-send-allowed", !IsColdLimited(*state, aNow) || isGranted);
  state->lastSentAt = aNow;
}

std::vector<UpstreamPacer::AwaitedHeartbeat> UpstreamPacer::AwaitedHeartbeats(std::size_t aMax,
                                                                              core::Instant aNow)
{
  std::vector<AwaitedHeartbeat> awaited;
  for (const auto& [id, state] : mUpstreams) {
    if (state.rule && state.isListed && state.isDoubted) {
      awaited.push_back(
        { .upstream = state.hash, .fromSequence = IsMarkOpen(state, aNow) ? 0 : state.countsFrom });
    }
  }
  if (awaited.size() > aMax) {
    mAwaitedOffset = (mAwaitedOffset + aMax) % awaited.size();
    std::rotate(awaited.begin(), awaited.begin() + static_cast<std::ptrdiff_t>(mAwaitedOffset),
                awaited.end());
    awaited.resize(aMax);
  }
  return awaited;
}

const core::UpstreamId* UpstreamPacer::FindByHash(std::uint32_t aHash) const
{
  const auto it = mIdsByHash.find(aHash);
  return it == mIdsByHash.end() ? nullptr : &it->second;
}

UpstreamPacer::Counts UpstreamPacer::Count(core::Instant aNow) const
{
  Counts counts;
  for (const auto& [id, state] : mUpstreams) {
    if (!state.rule || !state.isListed) {
      continue;
    }
    if (IsColdLimited(state, aNow)) {
      ++counts.cold;
    } else if (state.window.IsActive()) {
      ++counts.inSlowStart;
    }
  }
  return counts;
}

} // namespace cuminfield::request::placement
