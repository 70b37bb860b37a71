#include "TestFramework/caller/Mix.h"

#include "TestFramework/engine/CompletionText.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace cuminfield::test_framework::caller {

namespace {

constexpr std::size_t kBytesPerToken = 4;

MixPart ParsePart(const nlohmann::json& aJson)
{
  MixPart part;
  part.weight = aJson.value("weight", part.weight);
  part.kind = aJson.value("kind", part.kind);
  part.tier = aJson.value("tier", part.tier);
  part.workspace = aJson.value("workspace", part.workspace);
  part.sharedPrefixTokens = aJson.value("shared", part.sharedPrefixTokens);
  part.isStreamed = aJson.value("stream", part.isStreamed);
  part.hasKey = aJson.value("keyed", part.hasKey);
  if (aJson.contains("prompt")) {
    part.minPromptTokens = aJson["prompt"].at(0);
    part.maxPromptTokens = aJson["prompt"].at(1);
  }
  if (aJson.contains("tokens")) {
    part.minOutputTokens = aJson["tokens"].at(0);
    part.maxOutputTokens = aJson["tokens"].at(1);
  }
  return part;
}

/// Returns aTokens tokens of text that depends only on aSeed.
std::string MakeSeededText(const std::string& aSeed, std::int64_t aTokens)
{
  const auto size = static_cast<std::size_t>(aTokens) * kBytesPerToken;
  std::string text;
  for (std::int64_t i = 0; text.size() < size; ++i) {
    text += engine::MakeCompletionWord(aSeed, i);
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
  , mKeyGenerator(aSeed + 1)
{
  for (const MixPart& it : mParts) {
    mTotalWeight += it.weight;
  }
}

CallSpec Mix::Next(core::WallTime aNow)
{
  const MixPart& part = ChoosePart();
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
  if (part.hasKey || part.kind == "payout") {
    spec.key = mFixedKey.IsEmpty() ? mKeyGenerator.Next(aNow) : mFixedKey;
  }
  return spec;
}

const MixPart& Mix::ChoosePart()
{
  double position = mRandom.Uniform() * mTotalWeight;
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
  aSpec.isCompletion = true;
  aSpec.isStreamed = aPart.isStreamed;
  aSpec.isChat = aPart.kind == "chat";
  aSpec.target = aSpec.isChat ? "/v1/chat/completions" : "/v1/completions";
  aSpec.outputTokens = DrawLength(aPart.minOutputTokens, aPart.maxOutputTokens);
  const std::string ownText =
    MakeRandomText(DrawLength(aPart.minPromptTokens, aPart.maxPromptTokens));
  const std::string text = MakeSeededText(aPart.workspace, aPart.sharedPrefixTokens) + ownText;
  nlohmann::json body = { { "max_tokens", aSpec.outputTokens }, { "stream", aSpec.isStreamed } };
  if (aSpec.isChat) {
    body["messages"] = { { { "role", "user" }, { "content", text } } };
  } else {
    body["prompt"] = text;
  }
  aSpec.prompt = engine::ExtractPrompt(body);
  aSpec.body = body.dump();
}

std::string Mix::MakeRandomText(std::int64_t aTokens)
{
  return MakeSeededText(std::to_string(mRandom.Bits()), aTokens);
}

std::int64_t Mix::DrawLength(std::int64_t aMin, std::int64_t aMax)
{
  const double logMin = std::log(static_cast<double>(std::max<std::int64_t>(aMin, 1)));
  const double logMax = std::log(static_cast<double>(std::max<std::int64_t>(aMax, 1)));
  return std::llround(std::exp(logMin + (logMax - logMin) * mRandom.Uniform()));
}

} // namespace cuminfield::test_framework::caller
