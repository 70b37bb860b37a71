#pragma once

#include "cuminfield/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cuminfield::test_framework::engine {

/// Pace of a continuously batching engine.
struct BatchOptions
{
  std::size_t slots = 8;      ///< Requests in the batch at full pace.
  std::size_t limit = 32;     ///< Most requests in the batch; others wait in order of arrival.
  std::int64_t chunk = 512;   ///< Most tokens of prefill in one step.
  double prefillRate = 8'000; ///< Tokens of prefill per second.
  core::Duration step = std::chrono::milliseconds(20); ///< One token for each request.
  core::Duration perExtra{ 500 };                      ///< More for each request over slots.
};

/// Continuous batching, free of I/O: each step computes some prefill and one token of each request
/// whose prefill is done. Knows no priorities.
class Batch
{
public:
  /// A request to run.
  struct Job
  {
    std::string id;
    std::int64_t prefill = 0; ///< Tokens of prompt to compute.
    std::int64_t tokens = 0;  ///< Tokens to answer.
    double slow = 1;          ///< Takes so many times longer.
  };

  /// What a step brought.
  struct StepResult
  {
    std::vector<std::string> prefilled; ///< Requests whose prefill is now done.
    std::vector<std::string> tokens;    ///< Requests that have one more token.
    std::vector<std::string> finished;  ///< Requests that have all their tokens.
  };

  explicit Batch(BatchOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /// Adds a request behind the ones that wait.
  void Add(Job aJob);

  /// Takes a request out; false if it is not here.
  bool Remove(const std::string& aId);

  /// Admits waiting requests and plans a step; its length. Zero when there is nothing to do.
  core::Duration Begin();

  /// Ends the step that Begin() planned.
  StepResult Finish();

  std::size_t Running() const { return mRunning.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }
  /// Tokens of prefill not yet computed.
  core::Tokens QueuedPrefill() const;

private:
  struct Member
  {
    Job job;
    double prefillLeft = 0;
    std::int64_t planned = 0; ///< Tokens of prefill in this step.
    double progress = 0;      ///< Towards the next token.
    std::int64_t answered = 0;
  };

  void Admit();
  void Advance(Member& aRunning, StepResult& aResult) const;

  BatchOptions mOptions;
  std::deque<Job> mWaiting;
  std::vector<Member> mRunning;
};

} // namespace cuminfield::test_framework::engine
