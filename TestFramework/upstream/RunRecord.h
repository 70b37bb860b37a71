#pragma once

#include "cuminfield/core/Units.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>

namespace cuminfield::test_framework::upstream {

/// A request that a stand-in started to run.
struct RunInfo
{
  std::string requestId{}; ///< X-Request-Id, or a generated id.
  std::string key{};       ///< Header Idempotency-Key, or empty.
  std::string method{};
  std::string path{};
  std::int64_t promptTokens = 0;  ///< Length of the prompt.
  std::int64_t prefillTokens = 0; ///< Prompt tokens to compute.
  std::int64_t reusedTokens = 0;  ///< Prompt tokens found in the prefix cache.
};

/// Record of the requests that a stand-in ran, in memory and as JSON lines in a file that outlives
/// the process. The oracle compares outcomes with it: a rejected request must not appear in it.
class RunRecord
{
public:
  /// If aFile is empty, the record exists only in memory.
  RunRecord(std::string aUpstream, std::string aVersion, const std::string& aFile);

  /// Records the start of a run.
  void AddBegin(const RunInfo& aRun, core::WallTime aNow);

  /// Records the end of a run: `done`, `failed`, `cancelled` or `stalled`.
  void AddEnd(const std::string& aRequestId, const std::string& aOutcome, core::WallTime aNow);

  /// Records a control request and whether it was obeyed.
  void AddControlRequest(const nlohmann::json& aRequest, bool aObeyed, core::WallTime aNow);

  /// Returns the complete record: `{"upstream","version","prefill","reused","events":[...]}`.
  nlohmann::json ToJson() const;

private:
  void AddEvent(nlohmann::json aEvent, core::WallTime aNow);

  std::string mUpstream;
  std::string mVersion;
  std::ofstream mFile;
  nlohmann::json mEvents = nlohmann::json::array();
  std::int64_t mPrefillTokens = 0;
  std::int64_t mReusedTokens = 0;
};

} // namespace cuminfield::test_framework::upstream
