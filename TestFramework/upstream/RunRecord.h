#pragma once

#include "cuminfield/core/Units.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>

namespace cuminfield::test_framework::upstream {

/// A request that a stand-in started to run.
struct Run
{
  std::string requestId{}; ///< X-Request-Id, or a generated id.
  std::string key{};       ///< Header Idempotency-Key, or empty.
  std::string method{};
  std::string path{};
  std::int64_t prompt = 0;  ///< Length of the prompt.
  std::int64_t prefill = 0; ///< Prompt tokens to compute.
  std::int64_t reused = 0;  ///< Prompt tokens found in the prefix cache.
};

/// Record of the requests that a stand-in ran, in memory and as JSON lines in a file that outlives
/// the process. The oracle compares outcomes with it: a rejected request must not appear in it.
class RunRecord
{
public:
  /// If aFile is empty, the record exists only in memory.
  RunRecord(std::string aUpstream, std::string aVersion, const std::string& aFile);

  /// Records the start of a run.
  void Begin(const Run& aRun, core::WallTime aNow);

  /// Records the end of a run: `done`, `failed`, `cancelled` or `stalled`.
  void End(const std::string& aRequestId, const std::string& aOutcome, core::WallTime aNow);

  /// Records a control request and whether it was obeyed.
  void Order(const nlohmann::json& aRequest, bool aObeyed, core::WallTime aNow);

  /// Returns the complete record: `{"upstream","version","prefill","reused","events":[...]}`.
  nlohmann::json Json() const;

private:
  void Add(nlohmann::json aEvent, core::WallTime aNow);

  std::string mUpstream;
  std::string mVersion;
  std::ofstream mFile;
  nlohmann::json mEvents = nlohmann::json::array();
  std::int64_t mPrefill = 0;
  std::int64_t mReused = 0;
};

} // namespace cuminfield::test_framework::upstream
