#pragma once

#include "cuminfield/core/Units.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>

namespace cuminfield::test_framework::upstream {

/// One request that a stand-in began to run.
struct Run
{
  std::string requestId{}; ///< Header X-Request-Id.
  std::string key{};       ///< Header Idempotency-Key, or empty.
  std::string method{};
  std::string path{};
  std::int64_t prompt = 0;  ///< Tokens of prompt.
  std::int64_t prefill = 0; ///< Tokens of prompt computed.
  std::int64_t reused = 0;  ///< Tokens of prompt taken from the cache.
};

/// What a stand-in ran, kept in memory and appended line by line to a file that survives it.
/// The oracle of every proof: a request that was refused is not in it.
class RunRecord
{
public:
  /// aFile may be empty: kept in memory alone.
  RunRecord(std::string aUpstream, std::string aVersion, const std::string& aFile);

  /// Notes that aRun began.
  void Begin(const Run& aRun, core::WallTime aNow);

  /// Notes how a run ended: `done`, `failed`, `cancelled`.
  void End(const std::string& aRequestId, const std::string& aOutcome, core::WallTime aNow);

  /// Notes an order and whether it was obeyed.
  void Order(const nlohmann::json& aOrder, bool aObeyed, core::WallTime aNow);

  /// Everything so far: `{"upstream","version","prefill","reused","events":[...]}`.
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
