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
  std::size_t slots = 8;  ///< Requests in the batch that do not lengthen a step.
  std::size_t limit = 32; ///< Maximum batch size; further requests wait in FIFO order.
  std::int64_t chunk = 512;
  double prefillRate = 8'000;
  core::Duration step = std::chrono::milliseconds(20); ///< A step decodes one token per request.
  core::Duration perExtra{ 500 };                      ///< Added for each request above slots.
};

/// Continuous batching without I/O or timers. Each step computes a part of the outstanding prefill
/// and one token for each request whose prefill is done. There are no priorities.
class Batch
{
public:
  struct Job
  {
    std::string id;
    std::int64_t prefill = 0; ///< Prompt tokens to compute.
    std::int64_t tokens = 0;  ///< Tokens to generate.
    double slow = 1;          ///< Factor on the time of this request.
  };

  /// Result of one step, as ids of requests.
  struct StepResult
  {
    std::vector<std::string> prefilled; ///< Requests whose prefill finished in this step.
    std::vector<std::string> tokens;    ///< Requests that generated one token.
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
  core::Duration Begin();

  /// Completes the step that BeginStep() planned.
  StepResult Finish();

  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }
  /// Prompt tokens not yet computed.
  core::Tokens QueuedPrefill() const;

private:
  struct Member
  {
    Job job;
    double prefillLeft = 0;   ///< Prompt tokens times slowdown.
    std::int64_t planned = 0; ///< Prefill in the current step.
    double progress = 0;      ///< Fraction of the next token.
    std::int64_t answered = 0;
  };

  void Admit();
  void Advance(Member& aJob, StepResult& aResult) const;

  BatchOptions mOptions;
  std::deque<Job> mWaiting;
  std::vector<Member> mRunning;
};

} // namespace cuminfield::test_framework::engine
