#pragma once

#include <string_view>

namespace cuminfield::process::metrics {

/// Path of the metrics on every HTTP interface that serves them.
inline constexpr std::string_view kMetricsPath = "/metrics";

} // namespace cuminfield::process::metrics
