#pragma once

#include "cuminfield/core/Ids.h"
#include "cuminfield/core/Units.h"
#include "cuminfield/process/settings/HostSettings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reading and writing single values of settings files and documents. Every parser takes the whole
/// text or gives nothing: no leading or trailing rest, no silent rounding, no overflow.
namespace cuminfield::process::settings {

/// Longest name in settings, documents and messages.
inline constexpr std::size_t kMaxNameLength = 64;

/// True for 1 to 64 letters, digits, dots, hyphens and underscores.
bool IsName(std::string_view aText);

/// The parts of aText between runs of spaces and tabs.
std::vector<std::string> SplitWords(std::string_view aText);

/// A whole number without sign.
std::optional<std::int64_t> ParseCount(std::string_view aText);

/// A whole number with unit ms, s, m or h.
std::optional<core::Duration> ParseDuration(std::string_view aText);

/// A whole number with unit B, KiB, MiB or GiB.
std::optional<core::Bytes> ParseSize(std::string_view aText);

/// A number with at most two decimals, in hundredths.
std::optional<std::int64_t> ParseHundredths(std::string_view aText);

/// `yes` or `no`.
std::optional<bool> ParseYesNo(std::string_view aText);

/// Civil time in UTC as 2026-12-05T18:00:00Z; a day that no calendar has is no time.
std::optional<core::WallTime> ParseTime(std::string_view aText);

/// IPv4 number and port 1 to 65535 as 127.0.0.1:7301.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

/// The shortest text that ParseDuration reads back; for whole milliseconds.
std::string FormatDuration(core::Duration aValue);

/// The shortest text that ParseSize reads back.
std::string FormatSize(core::Bytes aValue);

/// Hundredths of a per cent as a decimal number.
std::string FormatPercent(std::int64_t aHundredths);

} // namespace cuminfield::process::settings
