#include "cuminfield/request/placement/UpstreamBoard.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfield::request::placement {

namespace {

/// Tokens of an answer that are expected where its bound is not reached.
constexpr double kExpectedShareOfBound = 0.7;

/// What is compared over all upstreams of a service is summed up this often.
constexpr core::Duration kSumsLast = std::chrono::milliseconds(20);

/// Weight of an upstream in a draw that is full by the figures at hand.
constexpr double kLeastWeight = 0.25;

/// Pauses double this many times.
constexpr std::uint32_t kMostDoublings = 4;

} // namespace

UpstreamBoard::UpstreamBoard(const UpstreamBoardSettings& aSettings, core::DataCentreId aDataCentre,
                             core::Random& aRandom)
  : mSettings(aSettings)
  , mDataCentre(std::move(aDataCentre))
  , mRandom(aRandom)
{
}

void UpstreamBoard::Up(const UpstreamAnnouncement& aUpstream)
{
  BoardEntry& entry = mEntries[aUpstream.id];
  if (entry.upstream.incarnation != aUpstream.incarnation) {
    // What was learned of an earlier life does not hold for this one; requests that are still in
    // flight there end by themselves.
    const std::uint32_t own = entry.own;
    const std::int64_t ownPrompt = entry.ownPrompt;
    entry = BoardEntry();
    entry.own = own;
    entry.ownPrompt = ownPrompt;
  }
  const bool moved = entry.upstream.service != aUpstream.service || !entry.up;
  entry.upstream = aUpstream;
  entry.up = true;
  if (moved) {
    Index();
  }
}

void UpstreamBoard::Index()
{
  mServices.clear();
  for (auto& [id, entry] : mEntries) {
    if (entry.up) {
      mServices[entry.upstream.service].entries.push_back(&entry);
    }
  }
}

UpstreamBoard::ServiceBoard& UpstreamBoard::BoardOf(const core::ServiceId& aService,
                                                    core::Instant aNow)
{
  ServiceBoard& board = mServices[aService];
  if (board.up != board.entries.size() || aNow - board.summedAt >= kSumsLast) {
    board.up = board.entries.size();
    board.summedAt = aNow;
    board.failShares = 0;
    for (const BoardEntry* it : board.entries) {
      board.failShares += FailShare(*it);
    }
  }
  return board;
}

void UpstreamBoard::Gone(const core::UpstreamId& aUpstream)
{
  const auto it = mEntries.find(aUpstream);
  if (it == mEntries.end()) {
    return;
  }
  it->second.up = false;
  if (it->second.own == 0) {
    mEntries.erase(it);
  }
  Index();
}

BoardEntry* UpstreamBoard::Find(const core::UpstreamId& aUpstream)
{
  const auto it = mEntries.find(aUpstream);
  return it == mEntries.end() ? nullptr : &it->second;
}

bool UpstreamBoard::Any(const core::ServiceId& aService, const core::VersionId& aVersion) const
{
  const auto it = mServices.find(aService);
  return it != mServices.end() &&
         std::any_of(it->second.entries.begin(), it->second.entries.end(), [&](const auto* aEntry) {
           return aVersion.Empty() || aEntry->upstream.version == aVersion;
         });
}

BoardEntry* UpstreamBoard::Choose(const RequestSpec& aSpec, const core::VersionId& aVersion,
                                  Pressure aPressure, Free aFree, core::Instant aNow)
{
  ServiceBoard& service = BoardOf(aSpec.service, aNow);
  const auto serves = [&](const BoardEntry& aEntry) {
    return aNow >= aEntry.pausedUntil && (aVersion.Empty() || aEntry.upstream.version == aVersion);
  };
  // An answer that no upstream can give in time, idle or not, goes to whichever is best.
  const bool suitable =
    std::any_of(service.entries.begin(), service.entries.end(), [&](const BoardEntry* aEntry) {
      return serves(*aEntry) && Suits(*aEntry, aSpec, aNow);
    });
  BoardEntry* avoided = nullptr;
  mCandidates.clear();
  for (BoardEntry* entry : service.entries) {
    const bool fits = serves(*entry) && (!suitable || Suits(*entry, aSpec, aNow));
    const bool counts = aFree == Free::Any || HasFreedPlace(*entry, aNow);
    if (!fits || !counts || !Usable(*entry, service, aPressure, aNow)) {
      continue;
    }
    if (entry->upstream.id == aSpec.avoid) {
      avoided = entry;
      continue;
    }
    const bool near = entry->upstream.dataCentre == mDataCentre;
    mCandidates.push_back(
      { .entry = entry,
        .weight = FreePlaces(*entry, aPressure) * (near ? mSettings.nearWeight : 1) });
  }
  BoardEntry* best = BestOfFew(aSpec);
  return best ? best : avoided;
}

double UpstreamBoard::OthersInFlight(const core::ServiceId& aService) const
{
  const auto it = mServices.find(aService);
  double others = 0;
  if (it != mServices.end()) {
    for (const BoardEntry* entry : it->second.entries) {
      others += entry->others;
    }
  }
  return others;
}

bool UpstreamBoard::HasFreedPlace(const BoardEntry& aEntry, core::Instant aNow) const
{
  return aEntry.freed > 0 && aNow - aEntry.freedAt <= mSettings.freedLasts;
}

double UpstreamBoard::FreeEnginePlaces(const core::ServiceId& aService, core::Instant aNow)
{
  double free = 0;
  for (const BoardEntry* entry : BoardOf(aService, aNow).entries) {
    const bool usable = entry->upstream.engine && aNow >= entry->pausedUntil &&
                        !Silent(*entry, aNow) && !IsDoubted(*entry, aNow);
    free += usable ? std::max(0.0, Places(*entry, Pressure::Top) - entry->Load()) : 0;
  }
  return free;
}

BoardEntry* UpstreamBoard::BestOfFew(const RequestSpec& aSpec)
{
  double total = 0;
  for (const Candidate& it : mCandidates) {
    total += it.weight;
  }
  BoardEntry* best = nullptr;
  double bestScore = 0;
  const std::size_t compared = std::min(mSettings.compared, mCandidates.size());
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

double UpstreamBoard::FreePlaces(const BoardEntry& aEntry, Pressure aPressure) const
{
  return std::max(kLeastWeight, Places(aEntry, aPressure) - aEntry.Load());
}

double UpstreamBoard::Places(const BoardEntry& aEntry, Pressure aPressure) const
{
  const double slots = aEntry.upstream.slots;
  if (!aEntry.upstream.engine) {
    return slots * (1 + mSettings.plainQueue);
  }
  switch (aPressure) {
    case Pressure::Top:
      return slots * mSettings.topFill;
    case Pressure::Lower:
      return std::max(1.0, slots * mSettings.lowerFill);
    case Pressure::Late:
      return std::max(1.0, slots * mSettings.lateFill);
  }
  return slots;
}

double UpstreamBoard::EnginePlaces(const RequestSpec& aSpec, core::Instant aNow)
{
  double all = 0;
  double suitable = 0;
  for (const BoardEntry* entry : BoardOf(aSpec.service, aNow).entries) {
    const bool usable = entry->upstream.engine && !entry->unreachable && !Silent(*entry, aNow) &&
                        !IsDoubted(*entry, aNow);
    const double slots = usable ? entry->upstream.slots : 0;
    all += slots;
    suitable += Suits(*entry, aSpec, aNow) ? slots : 0;
  }
  return suitable > 0 ? suitable : all;
}

bool UpstreamBoard::HasRoom(const BoardEntry& aEntry, Pressure aPressure) const
{
  if (aEntry.onTrial && aEntry.own > 0) {
    return false;
  }
  if (!aEntry.upstream.engine) {
    return aEntry.Load() < Places(aEntry, aPressure);
  }
  return aEntry.Load() + 1 <= Places(aEntry, aPressure);
}

double UpstreamBoard::TokenMs(const BoardEntry& aEntry) const
{
  const double prior = mSettings.speedPrior;
  return (prior * mSettings.tokenMs + aEntry.seen.tokenMs + aEntry.told.tokenMs) /
         (prior + aEntry.seen.paces + aEntry.told.paces);
}

double UpstreamBoard::FirstFactor(const BoardEntry& aEntry) const
{
  const double prior = mSettings.speedPrior;
  const double factor = (prior + aEntry.seen.firstFactor + aEntry.told.firstFactor) /
                        (prior + aEntry.seen.firsts + aEntry.told.firsts);
  return std::clamp(factor, mSettings.minFactor, mSettings.maxFactor);
}

double UpstreamBoard::FailShare(const BoardEntry& aEntry) const
{
  return (aEntry.seen.failures + aEntry.told.failures) /
         (mSettings.answerPrior + aEntry.seen.answers + aEntry.told.answers);
}

void UpstreamBoard::FadeTo(BoardEntry& aEntry, core::Instant aNow) const
{
  const core::Duration passed = aNow - aEntry.fadedAt;
  aEntry.seen.Fade(std::exp(-core::Seconds(passed) / core::Seconds(mSettings.opinionLasts)));
  aEntry.fadedAt = aNow;
}

void UpstreamBoard::Heard(BoardEntry& aEntry, core::Instant aNow)
{
  aEntry.heard = aNow;
  aEntry.lastByte = aNow;
  aEntry.probes = 0;
  aEntry.nextProbe = {};
  aEntry.unreachable = false;
}

UpstreamOpinion UpstreamBoard::Opinion(BoardEntry& aEntry, core::Instant aNow) const
{
  FadeTo(aEntry, aNow);
  UpstreamOpinion opinion = aEntry.seen;
  opinion.doubting = aEntry.unreachable || Silent(aEntry, aNow) ? 1 : 0;
  opinion.trusting = aNow - aEntry.lastByte <= mSettings.trustLasts ? 1 : 0;
  return opinion;
}

void UpstreamBoard::SetTrust(const core::UpstreamId& aUpstream, std::uint32_t aDoubting,
                             std::uint32_t aTrusting, core::Instant aNow)
{
  BoardEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  const bool doubted = entry->told.doubting > entry->told.trusting;
  entry->told.doubting = aDoubting;
  entry->told.trusting = aTrusting;
  if (!doubted && aDoubting > aTrusting) {
    entry->nextProbe = std::max(entry->nextProbe, NextDoubtedProbe(aNow));
  }
}

core::Instant UpstreamBoard::NextDoubtedProbe(core::Instant aNow)
{
  return aNow + core::Scaled(mSettings.doubtedPause, 0.5 + mRandom.Uniform());
}

void UpstreamBoard::SetTold(const core::UpstreamId& aUpstream, const UpstreamOpinion& aSums)
{
  if (BoardEntry* entry = Find(aUpstream)) {
    const UpstreamOpinion before = entry->told;
    entry->told = aSums;
    entry->told.doubting = before.doubting;
    entry->told.trusting = before.trusting;
  }
}

bool UpstreamBoard::Suits(const BoardEntry& aEntry, const RequestSpec& aSpec,
                          core::Instant aNow) const
{
  if (!aSpec.engine || aSpec.maxAnswer.value == 0) {
    return true;
  }
  const double tokenMs = TokenMs(aEntry);
  const double answerMs = static_cast<double>(aSpec.maxAnswer.value) * tokenMs;
  if (answerMs > core::Milliseconds(aSpec.deadline - aNow) * mSettings.durationShare) {
    return false;
  }
  if (aSpec.tokenGapTarget.count() == 0) {
    return true;
  }
  // An engine that takes longer for a token takes longer for a prompt in the same measure. Its
  // times to the first event do not show that: they include waits in its queue.
  const double slowness = tokenMs / mSettings.tokenMs;
  // While the engine reads this prompt, the answers beside it pause for a chunk at each token.
  const double chunks =
    std::min(static_cast<double>(aSpec.prompt.value), mSettings.chunkTokens * aSpec.eventTokens);
  const double pause =
    tokenMs * aSpec.eventTokens + chunks * slowness / mSettings.promptTokensPerMs;
  return pause <= core::Milliseconds(aSpec.tokenGapTarget) * mSettings.pauseShare;
}

bool UpstreamBoard::Silent(const BoardEntry& aEntry, core::Instant aNow) const
{
  const core::Duration limit =
    aEntry.upstream.engine ? mSettings.engineSilence : mSettings.plainSilence;
  return aEntry.own > 0 && aNow - aEntry.heard > limit;
}

bool UpstreamBoard::IsDoubted(const BoardEntry& aEntry, core::Instant aNow) const
{
  const bool heardHere = aNow - aEntry.lastByte <= mSettings.trustLasts;
  return aEntry.told.doubting > aEntry.told.trusting && !heardHere;
}

bool UpstreamBoard::MayBeProbed(const BoardEntry& aEntry, core::Instant aNow) const
{
  // One request that hangs says little about an upstream that others hear from.
  const bool trusted = aEntry.told.trusting > aEntry.told.doubting;
  if (aEntry.probes == 0) {
    return trusted || aNow - aEntry.heard > mSettings.engineSilence + mSettings.probePause;
  }
  return aNow >= aEntry.nextProbe;
}

bool UpstreamBoard::Usable(const BoardEntry& aEntry, const ServiceBoard& aService,
                           Pressure aPressure, core::Instant aNow) const
{
  if (!HasRoom(aEntry, aPressure)) {
    return false;
  }
  if (Silent(aEntry, aNow)) {
    return MayBeProbed(aEntry, aNow);
  }
  // One that this host could not reach itself has had its pause.
  if (IsDoubted(aEntry, aNow) && !aEntry.unreachable && aNow < aEntry.nextProbe) {
    return false;
  }
  const double share = FailShare(aEntry);
  const double rest =
    aService.up > 1 ? (aService.failShares - share) / static_cast<double>(aService.up - 1) : share;
  return share <= rest + mSettings.failShareAbove || aEntry.onTrial;
}

core::Duration UpstreamBoard::FirstIdle(const RequestSpec& aSpec) const
{
  if (!aSpec.engine) {
    return mSettings.plainWork;
  }
  return mSettings.firstBase + core::FromMilliseconds(static_cast<double>(aSpec.prompt.value) /
                                                      mSettings.promptTokensPerMs);
}

core::Duration UpstreamBoard::First(const BoardEntry& aEntry, const RequestSpec& aSpec) const
{
  return core::Scaled(FirstAtUsualSpeed(aEntry, aSpec), FirstFactor(aEntry));
}

core::Duration UpstreamBoard::FirstAtUsualSpeed(const BoardEntry& aEntry,
                                                const RequestSpec& aSpec) const
{
  if (!aSpec.engine) {
    const double slots = std::max(1U, aEntry.upstream.slots);
    const double ahead = std::max(0.0, aEntry.Load() + 1 - slots) / slots;
    return core::FromMilliseconds(core::Milliseconds(mSettings.plainWork) * (1 + ahead));
  }
  const auto prompt =
    static_cast<double>(aEntry.ownPrompt + aEntry.othersPrompt + aSpec.prompt.value);
  return mSettings.firstBase + core::FromMilliseconds(prompt / mSettings.promptTokensPerMs);
}

double UpstreamBoard::Score(const BoardEntry& aEntry, const RequestSpec& aSpec)
{
  double score = core::Milliseconds(First(aEntry, aSpec));
  if (aSpec.engine) {
    const double tokenMs = TokenMs(aEntry);
    const double fill = static_cast<double>(aEntry.Load()) / std::max(1U, aEntry.upstream.slots);
    const double tokens = static_cast<double>(aSpec.maxAnswer.value) * kExpectedShareOfBound;
    score += mSettings.durationWeight * tokens * tokenMs * (1 + fill);
  }
  score += FailShare(aEntry) * core::Milliseconds(mSettings.failPenalty);
  if (aEntry.upstream.dataCentre != mDataCentre) {
    score += core::Milliseconds(mSettings.otherDataCentre);
  }
  return score * (1 + mSettings.jitter * mRandom.Uniform());
}

void UpstreamBoard::Dispatched(BoardEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow)
{
  if (Silent(aEntry, aNow)) {
    aEntry.nextProbe =
      aNow + mSettings.probePause * (1U << std::min(aEntry.probes, kMostDoublings));
    ++aEntry.probes;
  } else if (IsDoubted(aEntry, aNow)) {
    aEntry.nextProbe = NextDoubtedProbe(aNow);
  }
  if (aEntry.own == 0) {
    aEntry.heard = aNow;
  }
  ++aEntry.own;
  if (aEntry.freed > 0) {
    --aEntry.freed;
  }
  aEntry.ownPrompt += aSpec.prompt.value;
}

void UpstreamBoard::FirstCame(BoardEntry& aEntry, const RequestSpec& aSpec, core::Duration aTook,
                              core::Duration aPredicted, core::Instant aNow)
{
  Heard(aEntry, aNow);
  aEntry.ownPrompt -= aSpec.prompt.value;
  FadeTo(aEntry, aNow);
  const double factor = core::Milliseconds(aTook) / std::max(1.0, core::Milliseconds(aPredicted));
  aEntry.seen.firsts += 1;
  aEntry.seen.firstFactor += std::clamp(factor, mSettings.minFactor, mSettings.maxFactor);
}

void UpstreamBoard::Paced(BoardEntry& aEntry, double aTokenMs, core::Instant aNow)
{
  FadeTo(aEntry, aNow);
  aEntry.seen.paces += 1;
  aEntry.seen.tokenMs += aTokenMs;
}

void UpstreamBoard::NoteFailure(BoardEntry& aEntry, core::Duration aPause, core::Instant aNow) const
{
  ++aEntry.failuresInRow;
  const core::Duration pause = std::min(aPause, mSettings.longestPause);
  aEntry.pausedUntil = std::max(aEntry.pausedUntil, aNow + pause);
  aEntry.onTrial = true;
}

void UpstreamBoard::Ended(BoardEntry& aEntry, const RequestSpec& aSpec, TryOutcome aOutcome,
                          bool aBegan, core::Instant aNow)
{
  if (aEntry.own > 0) {
    --aEntry.own;
  }
  if (!NothingRan(aOutcome)) {
    aEntry.freed = aNow - aEntry.freedAt <= mSettings.freedLasts ? aEntry.freed + 1 : 1;
    aEntry.freedAt = aNow;
  }
  if (!aBegan) {
    aEntry.ownPrompt -= aSpec.prompt.value;
  }
  const auto learnFailure = [&](double aFailed) {
    FadeTo(aEntry, aNow);
    aEntry.seen.answers += 1;
    aEntry.seen.failures += aFailed;
  };
  switch (aOutcome) {
    case TryOutcome::Succeeded:
    case TryOutcome::RejectedInput:
      Heard(aEntry, aNow);
      aEntry.failuresInRow = 0;
      aEntry.onTrial = false;
      learnFailure(0);
      break;
    case TryOutcome::Refused:
      Heard(aEntry, aNow);
      aEntry.pausedUntil = std::max(aEntry.pausedUntil, aNow + mSettings.fullPause);
      break;
    case TryOutcome::Unreachable:
      aEntry.unreachable = true;
      NoteFailure(aEntry, mSettings.pause * (1U << std::min(aEntry.failuresInRow, kMostDoublings)),
                  aNow);
      break;
    case TryOutcome::Failed:
      learnFailure(1);
      ++aEntry.failuresInRow;
      if (aEntry.failuresInRow > 2) {
        NoteFailure(aEntry, mSettings.failPause, aNow);
      }
      break;
    case TryOutcome::Cancelled:
      break;
  }
  if (!aEntry.up && aEntry.own == 0) {
    mEntries.erase(aEntry.upstream.id);
  }
}

void UpstreamBoard::SetOthers(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                              std::int64_t aPrompt, core::Instant aNow)
{
  BoardEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  entry->othersPrompt = aPrompt;
  if (aNow - entry->toldAt < mSettings.toldLasts) {
    return;
  }
  entry->others = aRequests;
  entry->othersAt = aNow;
}

void UpstreamBoard::SetLoad(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
                            core::Instant aNow)
{
  BoardEntry* entry = Find(aUpstream);
  if (!entry) {
    return;
  }
  entry->toldAt = aNow;
  entry->othersAt = aNow;
  entry->others = aRequests > entry->own ? aRequests - entry->own : 0;
}

} // namespace cuminfield::request::placement
