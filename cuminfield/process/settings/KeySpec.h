#pragma once

#include <cstdint>
#include <limits>
#include <string>

namespace cuminfield::process::settings {

/// Type of a key's value.
enum class ValueType
{
  Name,               ///< Letters, digits, dot, hyphen and underscore; at most 64.
  NameList,           ///< Distinct names separated by spaces.
  Duration,           ///< A whole number with unit: 250ms, 3s, 2m, 1h.
  FractionalDuration, ///< A number with unit: 3s, 7.5s, 1e-3s; rounded to microseconds.
  Size,               ///< A whole number with unit: 512B, 64KiB, 32MiB, 1GiB.
  Count,              ///< A whole number without unit.
  Number,             ///< A number without unit: 8, 2500.5, 1e-3; its range is in whole units.
  Percent,            ///< A number without unit, up to two decimals; its range is in hundredths.
  Ratio,              ///< A fraction such as 0.25, up to two decimals; its range is in hundredths.
  YesNo,              ///< yes or no.
  UtcTime,            ///< Civil time in UTC: 2026-12-05T18:00:00Z.
  Endpoint,           ///< IPv4 address and port: 127.0.0.1:7301.
  Peer,               ///< Endpoint and data centre: 127.0.0.1:7302@gent-a.
  Choice,             ///< One of the words in `choices`.
  Text,               ///< Any text that is not empty.
};

/// Specifies a key of a settings file. IniReader validates values against it, and a test compares
/// docs/Settings.md with it.
struct KeySpec
{
  /// Section name; `tier NAME` matches every section of kind `tier` that has a name.
  const char* section = "";
  /// Key; `NAME` matches every key that is a valid name.
  const char* key = "";
  ValueType type = ValueType::Text;
  /// Default as written in the file; `required` for a required key, `none` for one without default.
  const char* defaultValue = "none";
  /// One-line description in docs/Settings.md.
  const char* description = "";
  /// Inclusive range, in microseconds, bytes, units or hundredths as the type has it.
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
  /// Permitted words of a Choice, separated by spaces.
  const char* choices = "";

  bool IsRequired() const;

  /// True when the section name is a kind followed by a name.
  bool HasNamedSection() const;

  /// First word of the section name: `tier` for `tier NAME`.
  std::string Kind() const;

  /// True when this specification applies to aKey.
  bool MatchesKey(const std::string& aKey) const;

  /// Describes the type and range of a value, for error messages and docs/Settings.md.
  std::string DescribeValue() const;

  /// Formats the key's row in docs/Settings.md.
  std::string FormatTableRow() const;
};

} // namespace cuminfield::process::settings
