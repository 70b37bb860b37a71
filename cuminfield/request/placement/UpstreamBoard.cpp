#include "cuminfield/request/placement/UpstreamBoard.h"

#include <algorithm>
#include <utility>

namespace cuminfield::request::placement {

namespace {

double Ms(core::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

core::Duration FromMs(double aMs)
{
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>(aMs));
}

/// Tokens of an answer that are expected where its bound is not reached.
constexpr double kExpectedShareOfBound = 0.7;

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
  entry.upstream = aUpstream;
  entry.up = true;
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
}

BoardEntry* UpstreamBoard::Find(const core::UpstreamId& aUpstream)
{
  const auto it = mEntries.find(aUpstream);
  return it == mEntries.end() ? nullptr : &it->second;
}

bool UpstreamBoard::Any(const core::ServiceId& aService, const core::VersionId& aVersion) const
{
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aItem) {
    const BoardEntry& entry = aItem.second;
    return entry.up && entry.upstream.service == aService &&
           (aVersion.Empty() || entry.upstream.version == aVersion);
  });
}

BoardEntry* UpstreamBoard::Choose(const RequestSpec& aSpec, const core::VersionId& aVersion,
                                  Pressure aPressure, core::Instant aNow)
{
  double failures = 0;
  std::size_t known = 0;
  for (const auto& [id, entry] : mEntries) {
    if (entry.up && entry.upstream.service == aSpec.service) {
      failures += entry.failShare;
      ++known;
    }
  }
  const double meanFailShare = known == 0 ? 0 : failures / static_cast<double>(known);
  const auto serves = [&](const BoardEntry& aEntry) {
    return aEntry.up && aEntry.upstream.service == aSpec.service && aNow >= aEntry.pausedUntil &&
           (aVersion.Empty() || aEntry.upstream.version == aVersion);
  };
  // An answer that no upstream can give in time, idle or not, goes to whichever is best.
  const bool suitable = std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aItem) {
    return serves(aItem.second) && Suits(aItem.second, aSpec, aNow);
  });
  BoardEntry* best = nullptr;
  BoardEntry* avoided = nullptr;
  double bestScore = 0;
  for (auto& [id, entry] : mEntries) {
    const bool fits = serves(entry) && (!suitable || Suits(entry, aSpec, aNow));
    if (!fits || !Usable(entry, aPressure, meanFailShare, aNow)) {
      continue;
    }
    if (id == aSpec.avoid) {
      avoided = &entry;
      continue;
    }
    const double score = Score(entry, aSpec);
    if (!best || score < bestScore) {
      best = &entry;
      bestScore = score;
    }
  }
  return best ? best : avoided;
}

double UpstreamBoard::EnginePlaces(const core::ServiceId& aService) const
{
  double places = 0;
  for (const auto& [id, entry] : mEntries) {
    if (entry.up && entry.upstream.engine && entry.upstream.service == aService) {
      places += entry.upstream.slots;
    }
  }
  return places;
}

bool UpstreamBoard::HasRoom(const BoardEntry& aEntry, Pressure aPressure) const
{
  if (aEntry.onTrial && aEntry.own > 0) {
    return false;
  }
  const double slots = aEntry.upstream.slots;
  if (!aEntry.upstream.engine) {
    return aEntry.Load() < slots * (1 + mSettings.plainQueue);
  }
  switch (aPressure) {
    case Pressure::Top:
      return aEntry.Load() < slots * mSettings.topFill;
    case Pressure::Lower:
      return aEntry.Load() + 1 <= std::max(1.0, slots * mSettings.lowerFill);
    case Pressure::Late:
      return aEntry.Load() + 1 <= std::max(1.0, slots * mSettings.lateFill);
  }
  return false;
}

double UpstreamBoard::TokenMs(const BoardEntry& aEntry) const
{
  return aEntry.tokenMs > 0 ? aEntry.tokenMs : mSettings.tokenMs;
}

bool UpstreamBoard::Suits(const BoardEntry& aEntry, const RequestSpec& aSpec,
                          core::Instant aNow) const
{
  if (!aSpec.engine || aSpec.maxAnswer.value == 0) {
    return true;
  }
  const double tokenMs = TokenMs(aEntry);
  const double answerMs = static_cast<double>(aSpec.maxAnswer.value) * tokenMs;
  if (answerMs > Ms(aSpec.deadline - aNow) * mSettings.durationShare) {
    return false;
  }
  if (aSpec.tokenGapTarget.count() == 0) {
    return true;
  }
  // While the engine reads this prompt, the answers beside it pause for a chunk at each token.
  const double chunks =
    std::min(static_cast<double>(aSpec.prompt.value), mSettings.chunkTokens * aSpec.eventTokens);
  const double pause =
    tokenMs * aSpec.eventTokens + chunks * aEntry.firstFactor / mSettings.promptTokensPerMs;
  return pause <= Ms(aSpec.tokenGapTarget) * mSettings.pauseShare;
}

bool UpstreamBoard::Silent(const BoardEntry& aEntry, core::Instant aNow) const
{
  const core::Duration limit =
    aEntry.upstream.engine ? mSettings.engineSilence : mSettings.plainSilence;
  return aEntry.own > 0 && aNow - aEntry.heard > limit;
}

bool UpstreamBoard::Usable(const BoardEntry& aEntry, Pressure aPressure, double aMeanFailShare,
                           core::Instant aNow) const
{
  if (!HasRoom(aEntry, aPressure) || Silent(aEntry, aNow)) {
    return false;
  }
  const bool failing = aEntry.failShare > aMeanFailShare + mSettings.failShareAbove;
  return !failing || aEntry.onTrial;
}

core::Duration UpstreamBoard::FirstIdle(const RequestSpec& aSpec) const
{
  if (!aSpec.engine) {
    return mSettings.plainWork;
  }
  return mSettings.firstBase +
         FromMs(static_cast<double>(aSpec.prompt.value) / mSettings.promptTokensPerMs);
}

core::Duration UpstreamBoard::First(const BoardEntry& aEntry, const RequestSpec& aSpec) const
{
  if (!aSpec.engine) {
    const double slots = std::max(1U, aEntry.upstream.slots);
    const double ahead = std::max(0.0, aEntry.Load() + 1 - slots) / slots;
    return FromMs(Ms(mSettings.plainWork) * aEntry.firstFactor * (1 + ahead));
  }
  const auto prompt =
    static_cast<double>(aEntry.ownPrompt + aEntry.othersPrompt + aSpec.prompt.value);
  const double first = Ms(mSettings.firstBase) + prompt / mSettings.promptTokensPerMs;
  return FromMs(first * aEntry.firstFactor);
}

double UpstreamBoard::Score(const BoardEntry& aEntry, const RequestSpec& aSpec)
{
  double score = Ms(First(aEntry, aSpec));
  if (aSpec.engine) {
    const double tokenMs = TokenMs(aEntry);
    const double fill = static_cast<double>(aEntry.Load()) / std::max(1U, aEntry.upstream.slots);
    const double tokens = static_cast<double>(aSpec.maxAnswer.value) * kExpectedShareOfBound;
    score += mSettings.durationWeight * tokens * tokenMs * (1 + fill);
  }
  if (aEntry.upstream.dataCentre != mDataCentre) {
    score += Ms(mSettings.otherDataCentre);
  }
  return score * (1 + mSettings.jitter * mRandom.Uniform());
}

void UpstreamBoard::Dispatched(BoardEntry& aEntry, const RequestSpec& aSpec, core::Instant aNow)
{
  if (aEntry.own == 0) {
    aEntry.heard = aNow;
  }
  ++aEntry.own;
  aEntry.ownPrompt += aSpec.prompt.value;
}

void UpstreamBoard::FirstCame(BoardEntry& aEntry, const RequestSpec& aSpec, core::Duration aTook,
                              core::Duration aPredicted, core::Instant aNow)
{
  aEntry.heard = aNow;
  aEntry.ownPrompt -= aSpec.prompt.value;
  const double observed = aEntry.firstFactor * Ms(aTook) / std::max(1.0, Ms(aPredicted));
  const double learned = aEntry.firstFactor + mSettings.learn * (observed - aEntry.firstFactor);
  aEntry.firstFactor = std::clamp(learned, mSettings.minFactor, mSettings.maxFactor);
}

void UpstreamBoard::Paced(BoardEntry& aEntry, double aTokenMs)
{
  aEntry.tokenMs =
    aEntry.tokenMs > 0 ? aEntry.tokenMs + mSettings.learn * (aTokenMs - aEntry.tokenMs) : aTokenMs;
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
  if (!aBegan) {
    aEntry.ownPrompt -= aSpec.prompt.value;
  }
  const auto learnFailure = [&](double aFailed) {
    aEntry.failShare += mSettings.learn * (aFailed - aEntry.failShare);
  };
  switch (aOutcome) {
    case TryOutcome::Succeeded:
    case TryOutcome::RejectedInput:
      aEntry.heard = aNow;
      aEntry.failuresInRow = 0;
      aEntry.onTrial = false;
      learnFailure(0);
      break;
    case TryOutcome::Refused:
      aEntry.heard = aNow;
      aEntry.pausedUntil = std::max(aEntry.pausedUntil, aNow + mSettings.fullPause);
      break;
    case TryOutcome::Unreachable:
      learnFailure(1);
      NoteFailure(aEntry, mSettings.pause * (1U << std::min(aEntry.failuresInRow, 4U)), aNow);
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

void UpstreamBoard::SetTold(const core::UpstreamId& aUpstream, std::uint32_t aRequests,
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
