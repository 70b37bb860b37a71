#include "cuminfield/process/settings/Values.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <span>
#include <utility>

namespace cuminfield::process::settings {

namespace {

constexpr std::int64_t kHundredthsPerUnit = 100;

/// A unit's suffix and its size in microseconds or bytes.
struct Unit
{
  std::string_view suffix;
  std::int64_t factor;
};

constexpr std::array<Unit, 4> kTimeUnits = { Unit{ "ms", 1'000 }, Unit{ "s", 1'000'000 },
                                             Unit{ "m", 60'000'000 }, Unit{ "h", 3'600'000'000 } };
constexpr std::array<Unit, 4> kSizeUnits = { Unit{ "B", 1 }, Unit{ "KiB", 1 << 10 },
                                             Unit{ "MiB", 1 << 20 }, Unit{ "GiB", 1 << 30 } };

bool IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool IsNameChar(char aChar)
{
  const bool letter = (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
  return letter || IsDigit(aChar) || aChar == '.' || aChar == '-' || aChar == '_';
}

std::optional<std::int64_t> ParseWithUnit(std::string_view aText, std::span<const Unit> aUnits)
{
  const auto end = std::ranges::find_if_not(aText, IsDigit);
  const auto length = static_cast<std::size_t>(end - aText.begin());
  const auto count = ParseCount(aText.substr(0, length));
  const auto unit = std::ranges::find(aUnits, aText.substr(length), &Unit::suffix);
  if (!count || unit == aUnits.end()) {
    return std::nullopt;
  }
  if (*count > std::numeric_limits<std::int64_t>::max() / unit->factor) {
    return std::nullopt;
  }
  return *count * unit->factor;
}

/// Parses the number at the start of aText; returns it with the length of its text.
std::optional<std::pair<double, std::size_t>> ParseLeadingNumber(std::string_view aText)
{
  // from_chars also accepts signs, `inf` and `nan`.
  if (aText.empty() || !IsDigit(aText.front())) {
    return std::nullopt;
  }
  double value = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (ec != std::errc()) {
    return std::nullopt;
  }
  return std::pair(value, static_cast<std::size_t>(end - aText.data()));
}

std::string FormatWithUnit(std::int64_t aValue, std::span<const Unit> aUnits)
{
  const Unit* largest = &aUnits.front();
  for (const Unit& unit : aUnits) {
    if (aValue != 0 && aValue % unit.factor == 0) {
      largest = &unit;
    }
  }
  return std::to_string(aValue / largest->factor) + std::string(largest->suffix);
}

/// Parses aLength digits of aText at aFrom; returns nullopt when one is no digit.
std::optional<int> ParseDigits(std::string_view aText, std::size_t aFrom, std::size_t aLength)
{
  const auto count = ParseCount(aText.substr(aFrom, aLength));
  if (!count) {
    return std::nullopt;
  }
  return static_cast<int>(*count);
}

/// True when aText has the format of 2026-12-05T18:00:00Z, with any digits.
bool HasTimeFormat(std::string_view aText)
{
  constexpr std::string_view kFormat = "0000-00-00T00:00:00Z";
  return std::ranges::equal(aText, kFormat, [](char aChar, char aFormat) {
    return aFormat == '0' ? IsDigit(aChar) : aChar == aFormat;
  });
}

} // namespace

bool IsValidName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength && std::ranges::all_of(aText, IsNameChar);
}

std::vector<std::string> SplitWords(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  std::vector<std::string> words;
  std::size_t from = aText.find_first_not_of(kBlanks);
  while (from != std::string_view::npos) {
    const std::size_t to = std::min(aText.find_first_of(kBlanks, from), aText.size());
    words.emplace_back(aText.substr(from, to - from));
    from = aText.find_first_not_of(kBlanks, to);
  }
  return words;
}

std::optional<std::int64_t> ParseCount(std::string_view aText)
{
  if (aText.empty() || !std::ranges::all_of(aText, IsDigit)) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (ec != std::errc()) {
    return std::nullopt;
  }
  return value;
}

std::optional<core::Duration> ParseDuration(std::string_view aText)
{
  const auto value = ParseWithUnit(aText, kTimeUnits);
  if (!value) {
    return std::nullopt;
  }
  return core::Duration(*value);
}

std::optional<double> ParseNumber(std::string_view aText)
{
  const auto number = ParseLeadingNumber(aText);
  if (!number || number->second != aText.size()) {
    return std::nullopt;
  }
  return number->first;
}

std::optional<core::Duration> ParseFractionalDuration(std::string_view aText)
{
  const auto number = ParseLeadingNumber(aText);
  if (!number) {
    return std::nullopt;
  }
  const auto unit = std::ranges::find(kTimeUnits, aText.substr(number->second), &Unit::suffix);
  if (unit == kTimeUnits.end()) {
    return std::nullopt;
  }
  const double microseconds = number->first * static_cast<double>(unit->factor);
  const double longest = static_cast<double>(core::Duration(kMaxFractionalDuration).count());
  return core::Duration(std::llround(std::min(microseconds, longest)));
}

std::optional<core::Bytes> ParseSize(std::string_view aText)
{
  const auto value = ParseWithUnit(aText, kSizeUnits);
  if (!value) {
    return std::nullopt;
  }
  return core::Bytes{ *value };
}

std::optional<std::int64_t> ParseHundredths(std::string_view aText)
{
  const std::size_t dot = std::min(aText.find('.'), aText.size());
  const auto integerPart = ParseCount(aText.substr(0, dot));
  if (!integerPart || *integerPart > std::numeric_limits<std::int32_t>::max()) {
    return std::nullopt;
  }
  if (dot == aText.size()) {
    return *integerPart * kHundredthsPerUnit;
  }
  std::string decimals(aText.substr(dot + 1));
  if (decimals.empty() || decimals.size() > 2) {
    return std::nullopt;
  }
  decimals.resize(2, '0');
  const auto fraction = ParseCount(decimals);
  if (!fraction) {
    return std::nullopt;
  }
  return *integerPart * kHundredthsPerUnit + *fraction;
}

std::optional<bool> ParseYesNo(std::string_view aText)
{
  if (aText == "yes") {
    return true;
  }
  if (aText == "no") {
    return false;
  }
  return std::nullopt;
}

std::optional<core::WallTime> ParseTime(std::string_view aText)
{
  if (!HasTimeFormat(aText)) {
    return std::nullopt;
  }
  const std::chrono::year year(*ParseDigits(aText, 0, 4));
  const std::chrono::month month(static_cast<unsigned>(*ParseDigits(aText, 5, 2)));
  const std::chrono::day day(static_cast<unsigned>(*ParseDigits(aText, 8, 2)));
  const std::chrono::year_month_day date(year, month, day);
  const std::chrono::hours hours(*ParseDigits(aText, 11, 2));
  const std::chrono::minutes minutes(*ParseDigits(aText, 14, 2));
  const std::chrono::seconds seconds(*ParseDigits(aText, 17, 2));
  if (!date.ok() || hours.count() > 23 || minutes.count() > 59 || seconds.count() > 59) {
    return std::nullopt;
  }
  return core::WallTime(std::chrono::sys_days(date)) + hours + minutes + seconds;
}

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  constexpr std::int64_t kMaxPort = 65535;
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string address(aText.substr(0, colon));
  const auto port = ParseCount(aText.substr(colon + 1));
  in_addr number{};
  if (inet_pton(AF_INET, address.c_str(), &number) != 1) {
    return std::nullopt;
  }
  if (!port || *port < 1 || *port > kMaxPort) {
    return std::nullopt;
  }
  return Endpoint{ .address = address, .port = static_cast<std::uint16_t>(*port) };
}

std::string FormatDuration(core::Duration aValue)
{
  return FormatWithUnit(aValue.count(), kTimeUnits);
}

std::string FormatSize(core::Bytes aValue)
{
  return FormatWithUnit(aValue.value, kSizeUnits);
}

std::string FormatHundredths(std::int64_t aHundredths)
{
  std::string text = std::to_string(aHundredths / kHundredthsPerUnit);
  const std::int64_t remainder = aHundredths % kHundredthsPerUnit;
  if (remainder != 0) {
    text += "." + std::to_string(remainder / 10) + std::to_string(remainder % 10);
  }
  return text;
}

} // namespace cuminfield::process::settings
