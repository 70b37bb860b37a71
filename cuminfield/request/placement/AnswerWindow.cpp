#include "cuminfield/request/placement/AnswerWindow.h"

#include <algorithm>
#include <cmath>

namespace cuminfield::request::placement {

void AnswerWindow::Start(core::Instant aNow)
{
  mIsActive = true;
  mStartedAt = aNow;
  mLocal = { .good = 0, .bad = 0, .at = aNow };
}

double AnswerWindow::DecayOf(const Sums& aSums, core::Instant aNow) const
{
  return std::exp(-core::Seconds(aNow - aSums.at) / core::Seconds(mSettings->decayTime));
}

void AnswerWindow::Record(bool aAsPredicted, core::Instant aNow)
{
  if (!mIsActive) {
    return;
  }
  const double decay = DecayOf(mLocal, aNow);
  mLocal = { .good = mLocal.good * decay + (aAsPredicted ? 1 : 0),
             .bad = mLocal.bad * decay + (aAsPredicted ? 0 : 1),
             .at = aNow };
}

void AnswerWindow::SetRemote(double aGood, double aBad, core::Instant aNow)
{
  mRemote = { .good = aGood, .bad = aBad, .at = aNow };
}

double AnswerWindow::LocalGood(core::Instant aNow) const
{
  return mLocal.good * DecayOf(mLocal, aNow);
}

double AnswerWindow::LocalBad(core::Instant aNow) const
{
  return mLocal.bad * DecayOf(mLocal, aNow);
}

double AnswerWindow::Bad(core::Instant aNow) const
{
  return LocalBad(aNow) + mRemote.bad * DecayOf(mRemote, aNow);
}

double AnswerWindow::Size(core::Instant aNow) const
{
  const double good = LocalGood(aNow) + mRemote.good * DecayOf(mRemote, aNow);
  // Without the second term, an upstream that was slow for 4 s takes 5 s to recover.
  const double halvings =
    std::clamp(Bad(aNow) - good * mSettings->goodPerBad, 0.0, mSettings->maxBad);
  return std::max(1.0, (mSettings->initial + good) * std::exp2(-halvings));
}

void AnswerWindow::Update(std::size_t aSlots, core::Instant aWarmSince, core::Instant aNow)
{
  if (!mIsActive) {
    return;
  }
  const bool isOver = aNow - std::max(mStartedAt, aWarmSince) >= mSettings->limit;
  mIsActive =
    Size(aNow) < static_cast<double>(aSlots) && !(isOver && Bad(aNow) <= mSettings->fewBad);
}

std::size_t AnswerWindow::Allowance(std::size_t aRank, std::size_t aHosts, core::Instant aNow) const
{
  const auto window = static_cast<std::size_t>(std::ceil(Size(aNow)));
  const std::size_t hosts = std::max<std::size_t>(1, aHosts);
  // One request for each of the first hosts; a second one only where the window exceeds the hosts.
  return window / hosts + (aRank < window % hosts ? 1 : 0);
}

} // namespace cuminfield::request::placement
