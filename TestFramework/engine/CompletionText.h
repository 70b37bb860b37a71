#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfield::test_framework::engine {

/// Returns the prompt of a completions call: `prompt`, or `role` and `content` of each of
/// `messages`, each followed by a line feed.
std::string ExtractPrompt(const nlohmann::json& aBody);

/// Number of tokens in a prompt: its length divided by four bytes, rounded up.
std::int64_t CountTokens(const std::string& aPrompt);

/// Returns word aIndex of the completion of aPrompt, followed by a space. Each word is one token.
std::string MakeCompletionWord(const std::string& aPrompt, std::int64_t aIndex);

/// Returns the complete text for aPrompt: aTokens words. A caller that receives any other text got
/// an incomplete response or that of another request.
std::string MakeCompletionText(const std::string& aPrompt, std::int64_t aTokens);

/// Returns the chained XXH64 hashes of the complete 256-byte blocks of aPrompt.
std::vector<std::uint64_t> ComputePrefixHashes(const std::string& aPrompt);

/// Formats a hash as 16 hexadecimal digits.
std::string FormatHash(std::uint64_t aHash);

} // namespace cuminfield::test_framework::engine
