#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfield::test_framework::engine {

/// The prompt of a completions call: `prompt`, or `role`, line end, `content`, line end of each of
/// `messages`.
std::string PromptOf(const nlohmann::json& aCall);

/// Tokens of a prompt: one for each four bytes begun.
std::int64_t CountTokens(const std::string& aPrompt);

/// The aIndex-th word, with a space after it, that a stand-in engine answers to aPrompt.
std::string AnswerWord(const std::string& aPrompt, std::int64_t aIndex);

/// The whole answer to aPrompt: aTokens words. A caller that finds anything else has got an answer
/// that is not its own or not whole.
std::string Answer(const std::string& aPrompt, std::int64_t aTokens);

/// Chained XXH64 hashes of the whole blocks of 256 bytes of aPrompt.
std::vector<std::uint64_t> PrefixHashes(const std::string& aPrompt);

/// A hash as 16 hexadecimal digits.
std::string HashText(std::uint64_t aHash);

} // namespace cuminfield::test_framework::engine
