#include "cuminfield/process/metrics/GaugeText.h"

#include <cstdint>

namespace cuminfield::process::metrics {

void GaugeText::AddAge(std::string_view aName, std::optional<core::Duration> aAge)
{
  Add(aName, aAge ? static_cast<std::int64_t>(core::Milliseconds(*aAge)) : std::int64_t{ -1 });
}

void GaugeText::AddText(std::string_view aName, std::string_view aValue)
{
  mText += "cuminfield_";
  mText += aName;
  mText += ' ';
  mText += aValue;
  mText += '\n';
}

} // namespace cuminfield::process::metrics
