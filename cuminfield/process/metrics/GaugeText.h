#pragma once

#include "cuminfield/core/Units.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace cuminfield::process::metrics {

/// Builds lines of the Prometheus text exposition format for values without labels.
class GaugeText
{
public:
  /// aName is without the prefix `cuminfield_`.
  template<std::integral Value>
  void Add(std::string_view aName, Value aValue)
  {
    AddText(aName, std::to_string(aValue));
  }

  /// Adds an age in milliseconds; -1 when there is none.
  void AddAge(std::string_view aName, std::optional<core::Duration> aAge);

  const std::string& Text() const { return mText; }

private:
  void AddText(std::string_view aName, std::string_view aValue);

  std::string mText;
};

} // namespace cuminfield::process::metrics
