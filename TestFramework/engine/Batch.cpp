#include "TestFramework/engine/Batch.h"

#include <algorithm>
#include <utility>

namespace cuminfield::test_framework::engine {

void Batch::Add(Job aJob)
{
  mWaitingJobs.push_back(std::move(aJob));
}

bool Batch::Remove(const std::string& aId)
{
  const auto sizeBefore = mWaitingJobs.size() + mRunningJobs.size();
  std::erase_if(mWaitingJobs, [&](const Job& aJob) { return aJob.id == aId; });
  std::erase_if(mRunningJobs, [&](const RunningJob& aJob) { return aJob.job.id == aId; });
  return mWaitingJobs.size() + mRunningJobs.size() < sizeBefore;
}

core::Duration Batch::BeginStep()
{
  AdmitWaitingJobs();
  if (mRunningJobs.empty()) {
    return core::Duration::zero();
  }
  std::int64_t budget = mOptions.maxPrefillTokensPerStep;
  for (RunningJob& it : mRunningJobs) {
    it.plannedPrefillTokens = std::min(budget, static_cast<std::int64_t>(it.remainingPrefill));
    budget -= it.plannedPrefillTokens;
  }
  const std::int64_t prefill = mOptions.maxPrefillTokensPerStep - budget;
  const double prefillMicros = static_cast<double>(prefill) * 1e6 / mOptions.prefillTokensPerSecond;
  const std::size_t extraRequests =
    mRunningJobs.size() > mOptions.slots ? mRunningJobs.size() - mOptions.slots : 0;
  return mOptions.stepDuration + mOptions.extraDurationPerRequest * extraRequests +
         core::Duration(static_cast<std::int64_t>(prefillMicros));
}

Batch::StepResult Batch::FinishStep()
{
  StepResult result;
  for (RunningJob& it : mRunningJobs) {
    AdvanceJob(it, result);
  }
  std::erase_if(mRunningJobs, [](const RunningJob& aJob) {
    return aJob.generatedTokens >= aJob.job.outputTokens;
  });
  return result;
}

core::Tokens Batch::QueuedPrefillTokens() const
{
  core::Tokens sum;
  for (const Job& it : mWaitingJobs) {
    sum.value += it.prefillTokens;
  }
  for (const RunningJob& it : mRunningJobs) {
    sum.value += static_cast<std::int64_t>(it.remainingPrefill);
  }
  return sum;
}

void Batch::AdmitWaitingJobs()
{
  while (!mWaitingJobs.empty() && mRunningJobs.size() < mOptions.maxRequests) {
    Job job = std::move(mWaitingJobs.front());
    mWaitingJobs.pop_front();
    const double prefill = static_cast<double>(job.prefillTokens) * job.slowdown;
    mRunningJobs.push_back({ .job = std::move(job), .remainingPrefill = prefill });
  }
}

void Batch::AdvanceJob(RunningJob& aJob, StepResult& aResult) const
{
  if (aJob.remainingPrefill >= 1) {
    aJob.remainingPrefill -= static_cast<double>(aJob.plannedPrefillTokens);
    if (aJob.remainingPrefill < 1) {
      aResult.prefilled.push_back(aJob.job.id);
    }
    return;
  }
  aJob.tokenProgress += 1 / aJob.job.slowdown;
  if (aJob.tokenProgress < 1) {
    return;
  }
  aJob.tokenProgress -= 1;
  ++aJob.generatedTokens;
  aResult.decoded.push_back(aJob.job.id);
  if (aJob.generatedTokens >= aJob.job.outputTokens) {
    aResult.finished.push_back(aJob.job.id);
  }
}

} // namespace cuminfield::test_framework::engine
