#include "TestFramework/caller/Mix.h"

#include "TestFramework/engine/Answer.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace cuminfield::test_framework::caller {

namespace {

constexpr std::size_t kTokenBytes = 4;

MixPart ParsePart(const nlohmann::json& aJson)
{
  MixPart part;
  part.weight = aJson.value("weight", part.weight);
  part.kind = aJson.value("kind", part.kind);
  part.tier = aJson.value("tier", part.tier);
  part.workspace = aJson.value("workspace", part.workspace);
  part.shared = aJson.value("shared", part.shared);
  part.stream = aJson.value("stream", part.stream);
  part.keyed = aJson.value("keyed", part.keyed);
  if (aJson.contains("prompt")) {
    part.promptLow = aJson["prompt"].at(0);
    part.promptHigh = aJson["prompt"].at(1);
  }
  if (aJson.contains("tokens")) {
    part.tokensLow = aJson["tokens"].at(0);
    part.tokensHigh = aJson["tokens"].at(1);
  }
  return part;
}

/// Returns aTokens tokens of text that depends only on aSeed.
std::string SeededText(const std::string& aSeed, std::int64_t aTokens)
{
  const auto size = static_cast<std::size_t>(aTokens) * kTokenBytes;
  std::string text;
  for (std::int64_t i = 0; text.size() < size; ++i) {
    text += engine::AnswerWord(aSeed, i);
  }
  text.resize(size);
  return text;
}

} // namespace

std::vector<MixPart> Mix::Parse(const std::string& aJson)
{
  std::vector<MixPart> parts;
  try {
    for (const auto& it : nlohmann::json::parse(aJson)) {
      parts.push_back(ParsePart(it));
    }
  } catch (const nlohmann::json::exception& error) {
    spdlog::error("--mix: {}; see TestFramework/caller/Mix.h", error.what());
    std::exit(2);
  }
  return parts;
}

Mix::Mix(std::vector<MixPart> aParts, std::uint64_t aSeed)
  : mParts(std::move(aParts))
  , mRandom(aSeed)
  , mKeys(aSeed + 1)
{
  for (const MixPart& it : mParts) {
    mWeight += it.weight;
  }
}

CallSpec Mix::Next(core::WallTime aNow)
{
  const MixPart& part = Choose();
  CallSpec spec{ .workspace = core::WorkspaceId(part.workspace), .tier = core::TierId(part.tier) };
  const std::string unique = fmt::format("{:016x}", mRandom.Bits());
  if (part.kind == "stock") {
    spec.method = "GET";
    spec.target = "/stock?isbn=" + unique;
  } else if (part.kind == "payout") {
    spec.target = "/payouts";
    spec.body = nlohmann::json{ { "account", unique } }.dump();
  } else {
    FillCompletion(part, spec);
  }
  if (part.keyed || part.kind == "payout") {
    spec.key = mFixedKey.IsEmpty() ? mKeys.Next(aNow) : mFixedKey;
  }
  return spec;
}

const MixPart& Mix::Choose()
{
  double position = mRandom.Uniform() * mWeight;
  for (const MixPart& it : mParts) {
    position -= it.weight;
    if (position < 0) {
      return it;
    }
  }
  return mParts.back();
}

void Mix::FillCompletion(const MixPart& aPart, CallSpec& aSpec)
{
  aSpec.engine = true;
  aSpec.stream = aPart.stream;
  aSpec.chat = aPart.kind == "chat";
  aSpec.target = aSpec.chat ? "/v1/chat/completions" : "/v1/completions";
  aSpec.tokens = Length(aPart.tokensLow, aPart.tokensHigh);
  const std::string ownText = Text(Length(aPart.promptLow, aPart.promptHigh));
  const std::string text = SeededText(aPart.workspace, aPart.shared) + ownText;
  nlohmann::json body = { { "max_tokens", aSpec.tokens }, { "stream", aSpec.stream } };
  if (aSpec.chat) {
    body["messages"] = { { { "role", "user" }, { "content", text } } };
  } else {
    body["prompt"] = text;
  }
  aSpec.prompt = engine::PromptOf(body);
  aSpec.body = body.dump();
}

std::string Mix::Text(std::int64_t aTokens)
{
  return SeededText(std::to_string(mRandom.Bits()), aTokens);
}

std::int64_t Mix::Length(std::int64_t aMin, std::int64_t aMax)
{
  const double logMin = std::log(static_cast<double>(std::max<std::int64_t>(aMin, 1)));
  const double logMax = std::log(static_cast<double>(std::max<std::int64_t>(aMax, 1)));
  return std::llround(std::exp(logMin + (logMax - logMin) * mRandom.Uniform()));
}

} // namespace cuminfield::test_framework::caller
