#pragma once

#include "cuminfield/core/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::process::state {

/// UUID of version 7 (RFC 9562), used as an idempotency key. It contains the time of its creation.
/// Texts that differ only in case are the same key. Canonical texts sort by their timestamps.
class UuidV7
{
public:
  /// Returns no value if aText is not a UUID of version 7.
  static std::optional<UuidV7> Parse(std::string_view aText);

  /// Returns the canonical text: 36 characters in lower case.
  const std::string& Text() const { return mText; }

  /// Returns the time of creation by the caller's clock, with millisecond precision.
  core::WallTime Timestamp() const { return mTimestamp; }

private:
  std::string mText;
  core::WallTime mTimestamp{};
};

} // namespace cuminfield::process::state
