#pragma once

#include "cuminfield/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cuminfield::test_framework::engine {

/// Capacity and step durations of an engine with continuous batching.
struct BatchOptions
{
  std::size_t slots = 8;        ///< Requests in the batch that do not lengthen a step.
  std::size_t maxRequests = 32; ///< Maximum batch size; further requests wait in FIFO order.
  std::int64_t maxPrefillTokensPerStep = 512;
  double prefillTokensPerSecond = 8'000;
  core::Duration stepDuration =
    std::chrono::milliseconds(20);               ///< A step decodes one token per request.
  core::Duration extraDurationPerRequest{ 500 }; ///< Added for each request above slots.
};

/// Continuous batching without I/O or timers. Each step computes a part of the outstanding prefill
/// and one token for each request whose prefill is done. There are no priorities.
class Batch
{
public:
  struct Job
  {
    std::string id;
    std::int64_t prefillTokens = 0; ///< Prompt tokens to compute.
    std::int64_t outputTokens = 0;  ///< Tokens to generate.
    double slowdown = 1;            ///< Factor on the time of this request.
  };

  /// Result of one step, as ids of requests.
  struct StepResult
  {
    std::vector<std::string> prefilled; ///< Requests whose prefill finished in this step.
    std::vector<std::string> decoded;   ///< Requests that generated one token.
    std::vector<std::string> finished;  ///< Requests that generated their last token.
  };

  explicit Batch(BatchOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// Appends a request to the queue.
  void Add(Job aJob);

  /// Removes a queued or running request. Returns false if there is none with this id.
  bool Remove(const std::string& aId);

  /// Admits waiting requests and plans the next step. Returns its duration, or zero if there is
  /// nothing to do.
  core::Duration BeginStep();

  /// Completes the step that BeginStep() planned.
  StepResult FinishStep();

  std::size_t RunningCount() const { return mRunningJobs.size(); }
  std::size_t WaitingCount() const { return mWaitingJobs.size(); }
  /// Prompt tokens not yet computed.
  core::Tokens QueuedPrefillTokens() const;

private:
  struct RunningJob
  {
    Job job;
    double remainingPrefill = 0;           ///< Prompt tokens times slowdown.
    std::int64_t plannedPrefillTokens = 0; ///< Prefill in the current step.
    double tokenProgress = 0;              ///< Fraction of the next token.
    std::int64_t generatedTokens = 0;
  };

  void AdmitWaitingJobs();
  void AdvanceJob(RunningJob& aJob, StepResult& aResult) const;

  BatchOptions mOptions;
  std::deque<Job> mWaitingJobs;
  std::vector<RunningJob> mRunningJobs;
};

} // namespace cuminfield::test_framework::engine
