#include "TestFramework/engine/CompletionText.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <string_view>

namespace cuminfield::test_framework::engine {

namespace {

constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::string_view kConsonants = "bdfgklmnprstvz";
constexpr std::string_view kVowels = "aeiou";
constexpr int kSyllablesPerWord = 3;

} // namespace

std::string ExtractPrompt(const nlohmann::json& aBody)
{
  if (aBody.contains("prompt") && aBody["prompt"].is_string()) {
    return aBody["prompt"];
  }
  std::string prompt;
  for (const auto& it : aBody.value("messages", nlohmann::json::array())) {
    prompt += it.value("role", "") + "\n" + it.value("content", "") + "\n";
  }
  return prompt;
}

std::int64_t CountTokens(const std::string& aPrompt)
{
  return static_cast<std::int64_t>((aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken);
}

std::string MakeCompletionWord(const std::string& aPrompt, std::int64_t aIndex)
{
  std::uint64_t hash = XXH64(aPrompt.data(), aPrompt.size(), static_cast<std::uint64_t>(aIndex));
  std::string word;
  for (int i = 0; i < kSyllablesPerWord; ++i) {
    word += kConsonants[hash % kConsonants.size()];
    hash /= kConsonants.size();
    word += kVowels[hash % kVowels.size()];
    hash /= kVowels.size();
  }
  return word + " ";
}

std::string MakeCompletionText(const std::string& aPrompt, std::int64_t aTokens)
{
  std::string text;
  for (std::int64_t i = 0; i < aTokens; ++i) {
    text += MakeCompletionWord(aPrompt, i);
  }
  return text;
}

std::vector<std::uint64_t> ComputePrefixHashes(const std::string& aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t previousHash = 0;
  for (std::size_t i = 0; i + kPrefixBlockBytes <= aPrompt.size(); i += kPrefixBlockBytes) {
    previousHash = XXH64(aPrompt.data() + i, kPrefixBlockBytes, previousHash);
    hashes.push_back(previousHash);
  }
  return hashes;
}

std::string FormatHash(std::uint64_t aHash)
{
  return fmt::format("{:016x}", aHash);
}

} // namespace cuminfield::test_framework::engine
