#pragma once

#include "TestFramework/caller/Call.h"
#include "TestFramework/caller/KeyGenerator.h"
#include "cuminfield/core/Random.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace cuminfield::test_framework::caller {

/// One kind of request in a mix. The JSON keys are `weight`, `kind`, `tier`, `workspace`, `stream`
/// and those named below.
struct MixPart
{
  double weight = 1;
  std::string kind = "completion"; ///< `completion`, `chat`, `stock` or `payout`.
  std::string tier = "standard";
  std::string workspace = "default";
  std::int64_t minPromptTokens = 20; ///< `prompt`: [minimum, maximum] tokens, log-uniform.
  std::int64_t maxPromptTokens = 200;
  std::int64_t sharedPrefixTokens = 0; ///< `shared`: common prompt prefix of the workspace.
  std::int64_t minOutputTokens = 4;    ///< `tokens`: [minimum, maximum] output tokens.
  std::int64_t maxOutputTokens = 16;
  bool isStreamed = true;
  bool hasKey = false; ///< `keyed`: has an idempotency key.
};

/// Draws requests from weighted kinds, reproducibly for a given seed.
class Mix
{
public:
  /// Parses a JSON array of parts. Exits the program if the JSON is invalid.
  static std::vector<MixPart> Parse(const std::string& aJson);

  Mix(std::vector<MixPart> aParts, std::uint64_t aSeed);

  /// Draws the next request.
  CallSpec Next(core::WallTime aNow);

  /// Uses this key for all further requests that have a key.
  void SetFixedKey(core::IdempotencyKey aKey) { mFixedKey = std::move(aKey); }

private:
  const MixPart& ChoosePart();
  void FillCompletion(const MixPart& aPart, CallSpec& aSpec);
  std::string MakeRandomText(std::int64_t aTokens);
  std::int64_t DrawLength(std::int64_t aMin, std::int64_t aMax);

  std::vector<MixPart> mParts;
  double mTotalWeight = 0;
  core::Random mRandom;
  KeyGenerator mKeyGenerator;
  core::IdempotencyKey mFixedKey; ///< Replaces generated keys unless empty.
};

} // namespace cuminfield::test_framework::caller
