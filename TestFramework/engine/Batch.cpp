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
  const auto sizeBefore = mWaiting.size() + mRunning.size();
  std::erase_if(mWaiting, [&](const Job& aJob) { return aJob.id == aId; });
  std::erase_if(mRunning, [&](const Member& aJob) { return aJob.job.id == aId; });
  return mWaiting.size() + mRunning.size() < sizeBefore;
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
  const std::size_t extraRequests =
    mRunning.size() > mOptions.slots ? mRunning.size() - mOptions.slots : 0;
  return mOptions.step + mOptions.perExtra * extraRequests +
         core::Duration(static_cast<std::int64_t>(prefillMicros));
}

Batch::StepResult Batch::Finish()
{
  StepResult result;
  for (Member& it : mRunning) {
    Advance(it, result);
  }
  std::erase_if(mRunning, [](const Member& aJob) { return aJob.answered >= aJob.job.tokens; });
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
    const double prefill = static_cast<double>(job.prefill) * job.slow;
    mRunning.push_back({ .job = std::move(job), .prefillLeft = prefill });
  }
}

void Batch::Advance(Member& aJob, StepResult& aResult) const
{
  if (aJob.prefillLeft >= 1) {
    aJob.prefillLeft -= static_cast<double>(aJob.planned);
    if (aJob.prefillLeft < 1) {
      aResult.prefilled.push_back(aJob.job.id);
    }
    return;
  }
  aJob.progress += 1 / aJob.job.slow;
  if (aJob.progress < 1) {
    return;
  }
  aJob.progress -= 1;
  ++aJob.answered;
  aResult.tokens.push_back(aJob.job.id);
  if (aJob.answered >= aJob.job.tokens) {
    aResult.finished.push_back(aJob.job.id);
  }
}

} // namespace cuminfield::test_framework::engine
