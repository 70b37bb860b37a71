#include "TestFramework/engine/Batch.h"

#include <algorithm>
#include <utility>

namespace cuminfield::test_framework::engine {

void Batch::Add(Job aJob)
{
  mWaiting.push_back(std::move(aJob));
}

bool Batch::Remove(const std::string& aId)
{
  const auto before = mWaiting.size() + mRunning.size();
  std::erase_if(mWaiting, [&](const Job& aJob) { return aJob.id == aId; });
  std::erase_if(mRunning, [&](const Member& aMember) { return aMember.job.id == aId; });
  return mWaiting.size() + mRunning.size() < before;
}

core::Duration Batch::Begin()
{
  Admit();
  if (mRunning.empty()) {
    return core::Duration::zero();
  }
  std::int64_t budget = mOptions.chunk;
  for (Member& it : mRunning) {
    it.planned = std::min(budget, static_cast<std::int64_t>(it.prefillLeft));
    budget -= it.planned;
  }
  const std::int64_t prefill = mOptions.chunk - budget;
  const double prefillMicros = static_cast<double>(prefill) * 1e6 / mOptions.prefillRate;
  const std::size_t extra = mRunning.size() > mOptions.slots ? mRunning.size() - mOptions.slots : 0;
  return mOptions.step + mOptions.perExtra * extra +
         core::Duration(static_cast<std::int64_t>(prefillMicros));
}

Batch::StepResult Batch::Finish()
{
  StepResult result;
  for (Member& it : mRunning) {
    Advance(it, result);
  }
  std::erase_if(mRunning,
                [](const Member& aMember) { return aMember.answered >= aMember.job.tokens; });
  return result;
}

core::Tokens Batch::QueuedPrefill() const
{
  core::Tokens sum;
  for (const Job& it : mWaiting) {
    sum.value += it.prefill;
  }
  for (const Member& it : mRunning) {
    sum.value += static_cast<std::int64_t>(it.prefillLeft);
  }
  return sum;
}

void Batch::Admit()
{
  while (!mWaiting.empty() && mRunning.size() < mOptions.limit) {
    Job job = std::move(mWaiting.front());
    mWaiting.pop_front();
    const double work = static_cast<double>(job.prefill) * job.slow;
    mRunning.push_back({ .job = std::move(job), .prefillLeft = work });
  }
}

void Batch::Advance(Member& aMember, StepResult& aResult) const
{
  if (aMember.prefillLeft >= 1) {
    aMember.prefillLeft -= static_cast<double>(aMember.planned);
    if (aMember.prefillLeft < 1) {
      aResult.prefilled.push_back(aMember.job.id);
    }
    return;
  }
  aMember.progress += 1 / aMember.job.slow;
  if (aMember.progress < 1) {
    return;
  }
  aMember.progress -= 1;
  ++aMember.answered;
  aResult.tokens.push_back(aMember.job.id);
  if (aMember.answered >= aMember.job.tokens) {
    aResult.finished.push_back(aMember.job.id);
  }
}

} // namespace cuminfield::test_framework::engine
