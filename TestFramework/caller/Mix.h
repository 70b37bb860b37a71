#pragma once

#include "TestFramework/caller/Call.h"
#include "TestFramework/caller/KeyGenerator.h"
#include "cuminfield/core/Random.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace cuminfield::test_framework::caller {

/// One kind of request in a mix, as JSON with these names.
struct MixPart
{
  double weight = 1;
  std::string kind = "completion"; ///< completion, chat, stock or payout.
  std::string tier = "standard";
  std::string workspace = "default";
  std::int64_t promptLow = 20; ///< `prompt`: [low, high] tokens; lengths are log-uniform.
  std::int64_t promptHigh = 200;
  std::int64_t shared = 0;    ///< `shared`: tokens that all prompts of the workspace begin with.
  std::int64_t tokensLow = 4; ///< `tokens`: [low, high] of the answer.
  std::int64_t tokensHigh = 16;
  bool stream = true;
  bool keyed = false;
};

/// A mix of requests with seeded randomness.
class Mix
{
public:
  /// Reads an array of parts. Ends the program on an unknown name.
  static std::vector<MixPart> Parse(const std::string& aJson);

  Mix(std::vector<MixPart> aParts, std::uint64_t aSeed);

  /// The next request.
  CallSpec Next(core::WallTime aNow);

  /// Gives all requests from now on this key.
  void UseKey(core::IdempotencyKey aKey) { mFixedKey = std::move(aKey); }

private:
  const MixPart& Choose();
  void FillCompletion(const MixPart& aPart, CallSpec& aSpec);
  std::string Text(std::int64_t aTokens);
  std::int64_t Length(std::int64_t aLow, std::int64_t aHigh);

  std::vector<MixPart> mParts;
  double mWeight = 0;
  core::Random mRandom;
  KeyGenerator mKeys;
  core::IdempotencyKey mFixedKey; ///< In place of new ones, unless empty.
};

} // namespace cuminfield::test_framework::caller
