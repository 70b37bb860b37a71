#pragma once

#include <cstdint>
#include <limits>
#include <string>

namespace cuminfield::process::settings {

/// Form of a key's value.
enum class ValueType
{
  Name,     ///< Letters, digits, dot, hyphen and underscore; at most 64.
  Names,    ///< Names separated by spaces, none twice.
  Duration, ///< A whole number with unit: 250ms, 3s, 2m, 1h.
  Size,     ///< A whole number with unit: 512B, 64KiB, 32MiB, 1GiB.
  Count,    ///< A whole number without unit.
  Percent,  ///< A number without unit, decimals allowed; its range is in hundredths.
  Ratio,    ///< A share of a whole as 0.25, up to two decimals; its range is in hundredths.
  YesNo,    ///< yes or no.
  Time,     ///< Civil time in UTC: 2026-12-05T18:00:00Z.
  Endpoint, ///< IPv4 number and port: 127.0.0.1:7301.
  Peer,     ///< Endpoint and data centre: 127.0.0.1:7302@gent-a.
  Choice,   ///< One of the words in `choices`.
  Text,     ///< Any text but the empty one.
};

/// What a settings file may hold under one key: the parser checks by it and docs/Settings.md is
/// checked against it.
struct KeySpec
{
  /// Section name; `tier NAME` stands for any section of the kind `tier` with a name of its own.
  const char* section = "";
  /// Key; `NAME` stands for any key that is a name.
  const char* key = "";
  ValueType type = ValueType::Text;
  /// Value of an absent key as it would be written; `required` or `none` where there is none.
  const char* fallback = "none";
  /// One line for the reference page.
  const char* meaning = "";
  /// Smallest and largest value in microseconds, bytes, units or hundredths of a per cent.
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
  /// The words of a Choice, separated by spaces.
  const char* choices = "";

  /// True when the key must be given.
  bool Required() const;

  /// True when the section's name is the kind followed by a name of its own.
  bool NamedSection() const;

  /// The section's kind: `tier` for `tier NAME`.
  std::string Kind() const;

  /// True when aKey may stand for this key.
  bool Matches(const std::string& aKey) const;

  /// What a value looks like, with its range, for messages and the reference page.
  std::string Form() const;

  /// The key's row in docs/Settings.md.
  std::string Row() const;
};

} // namespace cuminfield::process::settings
