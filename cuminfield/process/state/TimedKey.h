#pragma once

#include "cuminfield/core/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::process::state {

/// An idempotency key: a UUID of version 7 (RFC 9562), which carries the time of its making. Two
/// spellings of one UUID are the same key. The canonical texts of two keys compare as their times.
class TimedKey
{
public:
  /// Reads a key; nothing when aText is no UUID of version 7.
  static std::optional<TimedKey> Parse(std::string_view aText);

  /// Canonical spelling: 36 characters in lower case.
  const std::string& Text() const { return mText; }

  /// When the caller made the key, by its own clock, to the millisecond.
  core::WallTime Time() const { return mTime; }

private:
  std::string mText;
  core::WallTime mTime{};
};

} // namespace cuminfield::process::state
