#include "cuminfield/process/settings/KeySpec.h"

#include "cuminfield/process/settings/Values.h"

#include <cstring>

namespace cuminfield::process::settings {

namespace {

constexpr const char* kAnyNameKey = "NAME";
constexpr std::int64_t kNoMax = std::numeric_limits<std::int64_t>::max();

/// Describes the type, without the range.
std::string DescribeType(const KeySpec& aSpec)
{
  switch (aSpec.type) {
    case ValueType::Name:
      return "name";
    case ValueType::NameList:
      return "names separated by spaces";
    case ValueType::Duration:
      return "duration with unit ms, s, m or h";
    case ValueType::FractionalDuration:
      return "duration as 7.5s with unit ms, s, m or h";
    case ValueType::Size:
      return "size with unit B, KiB, MiB or GiB";
    case ValueType::Count:
      return "whole number";
    case ValueType::Number:
      return "number as 2500.5";
    case ValueType::Percent:
      return "per cent without unit";
    case ValueType::Ratio:
      return "share as 0.25";
    case ValueType::YesNo:
      return "yes or no";
    case ValueType::UtcTime:
      return "UTC time as 2026-12-05T18:00:00Z";
    case ValueType::Endpoint:
      return "IPv4 number and port as 127.0.0.1:7301";
    case ValueType::Peer:
      return "IPv4 number, port and data centre as 127.0.0.1:7302@gent-a";
    case ValueType::Choice:
      return std::string("one of ") + aSpec.choices;
    case ValueType::Text:
      return "text";
  }
  return "text";
}

std::string FormatBound(ValueType aType, std::int64_t aValue)
{
  if (aType == ValueType::Duration || aType == ValueType::FractionalDuration) {
    return FormatDuration(core::Duration(aValue));
  }
  if (aType == ValueType::Size) {
    return FormatSize(core::Bytes{ aValue });
  }
  if (aType == ValueType::Percent || aType == ValueType::Ratio) {
    return FormatHundredths(aValue);
  }
  return std::to_string(aValue);
}

} // namespace

bool KeySpec::IsRequired() const
{
  return std::strcmp(defaultValue, "required") == 0;
}

bool KeySpec::HasNamedSection() const
{
  return std::strchr(section, ' ') != nullptr;
}

std::string KeySpec::Kind() const
{
  const std::string text = section;
  return text.substr(0, text.find(' '));
}

bool KeySpec::MatchesKey(const std::string& aKey) const
{
  if (std::strcmp(key, kAnyNameKey) == 0) {
    return IsValidName(aKey);
  }
  return aKey == key;
}

std::string KeySpec::DescribeValue() const
{
  std::string form = DescribeType(*this);
  if (max != kNoMax) {
    form += ", " + FormatBound(type, min) + " to " + FormatBound(type, max);
  }
  return form;
}

std::string KeySpec::FormatTableRow() const
{
  return std::string("| `[") + section + "]` | `" + key + "` | " + DescribeValue() + " | " +
         defaultValue + " | " + description + " |";
}

} // namespace cuminfield::process::settings
