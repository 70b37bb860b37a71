#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Parsing and formatting of single values in settings files and documents. A parser must consume
/// the complete text: it returns nullopt on leading or trailing characters, on overflow, and,
/// unless it says otherwise, on rounding.
namespace cuminfield::process::settings {

/// Maximum length of a name in settings, documents and messages.
inline constexpr std::size_t kMaxNameLength = 64;

/// True for 1 to 64 letters, digits, dots, hyphens and underscores.
bool IsValidName(std::string_view aText);

/// Splits aText at runs of spaces and tabs.
std::vector<std::string> SplitWords(std::string_view aText);

/// Parses an unsigned integer.
std::optional<std::int64_t> ParseCount(std::string_view aText);

/// Parses an unsigned integer with unit ms, s, m or h.
std::optional<core::Duration> ParseDuration(std::string_view aText);

/// Parses an unsigned number, such as 8, 0.125 or 1e-3; rounds to the nearest double.
std::optional<double> ParseNumber(std::string_view aText);

/// Longest duration that ParseFractionalDuration() returns, about a hundred years.
inline constexpr std::chrono::hours kMaxFractionalDuration{ 24 * 365 * 100 };

/// Parses a number as ParseNumber() with unit ms, s, m or h. Rounds to microseconds, and a longer
/// duration to kMaxFractionalDuration.
std::optional<core::Duration> ParseFractionalDuration(std::string_view aText);

/// Parses an unsigned integer with unit B, KiB, MiB or GiB.
std::optional<core::Bytes> ParseSize(std::string_view aText);

/// Parses a number with at most two decimals; returns hundredths.
std::optional<std::int64_t> ParseHundredths(std::string_view aText);

/// Parses `yes` or `no`.
std::optional<bool> ParseYesNo(std::string_view aText);

/// Parses a UTC time such as 2026-12-05T18:00:00Z; rejects dates that do not exist.
std::optional<core::WallTime> ParseTime(std::string_view aText);

/// Parses an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:7301.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

/// Formats a whole number of milliseconds as the shortest text that ParseDuration accepts.
std::string FormatDuration(core::Duration aValue);

/// Formats a size as the shortest text that ParseSize accepts.
std::string FormatSize(core::Bytes aValue);

/// Formats hundredths as a decimal number.
std::string FormatHundredths(std::int64_t aHundredths);

} // namespace cuminfield::process::settings
