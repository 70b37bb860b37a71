#include "cuminfield/process/state/UuidV7.h"

#include <charconv>
#include <cstdint>

namespace cuminfield::process::state {

namespace {

constexpr std::string_view kUuidV7Pattern = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
constexpr int kHexadecimalBase = 16;

char ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'F' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

bool IsHexDigit(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
}

/// Returns true if the lower-case character matches a pattern character: x is a hexadecimal digit,
/// v the UUID variant, any other character stands for itself.
bool MatchesPattern(char aChar, char aPattern)
{
  if (aPattern == 'x') {
    return IsHexDigit(aChar);
  }
  if (aPattern == 'v') {
    return aChar == '8' || aChar == '9' || aChar == 'a' || aChar == 'b';
  }
  return aChar == aPattern;
}

} // namespace

std::optional<UuidV7> UuidV7::Parse(std::string_view aText)
{
  if (aText.size() != kUuidV7Pattern.size()) {
    return std::nullopt;
  }
  UuidV7 key;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char lower = ToLower(aText[i]);
    if (!MatchesPattern(lower, kUuidV7Pattern[i])) {
      return std::nullopt;
    }
    key.mText.push_back(lower);
  }
  // The first 48 bits are milliseconds since the Unix epoch.
  const std::string digits = key.mText.substr(0, 8) + key.mText.substr(9, 4);
  std::int64_t millis = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), millis, kHexadecimalBase);
  key.mTimestamp = core::WallTime(std::chrono::milliseconds(millis));
  return key;
}

} // namespace cuminfield::process::state
