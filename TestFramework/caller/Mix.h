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
  std::int64_t promptLow = 20; ///< `prompt`: [minimum, maximum] tokens, log-uniform.
  std::int64_t promptHigh = 200;
  std::int64_t shared = 0;    ///< `shared`: common prompt prefix of the workspace.
  std::int64_t tokensLow = 4; ///< `tokens`: [minimum, maximum] output tokens.
  std::int64_t tokensHigh = 16;
  bool stream = true;
  bool keyed = false; ///< `keyed`: has an idempotency key.
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
  void UseKey(core::IdempotencyKey aKey) { mFixedKey = std::move(aKey); }

private:
  const MixPart& Choose();
  void FillCompletion(const MixPart& aPart, CallSpec& aSpec);
  std::string Text(std::int64_t aTokens);
  std::int64_t Length(std::int64_t aMin, std::int64_t aMax);

  std::vector<MixPart> mParts;
  double mWeight = 0;
  core::Random mRandom;
  KeyGenerator mKeys;
  core::IdempotencyKey mFixedKey; ///< Replaces generated keys unless empty.
};

} // namespace cuminfield::test_framework::caller
